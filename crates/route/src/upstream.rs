//! What the router knows of one upstream.

use crate::evidence::Evidence;
use std::net::SocketAddr;
use types::{Announcement, DomainName, ServiceName, UpstreamName, UpstreamState};

/// What the router knows of one upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Its name.
    pub(crate) name: UpstreamName,
    /// The service that it runs.
    pub(crate) service: ServiceName,
    /// Where it takes requests.
    pub(crate) address: SocketAddr,
    /// Its region's index.
    pub(crate) region: usize,
    /// Its failure domain.
    pub(crate) failure_domain: DomainName,
    /// Requests that it runs at once.
    pub(crate) slots: u32,
    /// Requests that it says it runs.
    pub(crate) reported_load: u32,
    /// Where it stands in its life.
    pub(crate) state: UpstreamState,
    /// Start of its present run.
    pub(crate) epoch_ms: u64,
    /// Whether its announcement holds.
    pub(crate) present: bool,
    /// Whether a drain names it.
    pub(crate) drained: bool,
    /// Requests in flight there from this entry.
    pub(crate) in_flight: u32,
    /// Of its slots, those dealt to this entry.
    pub(crate) home_slots: u32,
    /// What the entry has seen of it.
    pub(crate) evidence: Evidence,
    /// The group that lists it, and its place among those with room.
    pub(crate) place: Option<Place>,
}

/// Where an upstream is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    /// The service's index.
    pub(crate) service: usize,
    /// The group's index within the service.
    pub(crate) group: usize,
    /// The place in one of the group's lists of upstreams with room.
    pub(crate) open: Option<Open>,
}

/// A place among upstreams with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Open {
    /// Whether a slot dealt to this entry is free.
    pub(crate) home: bool,
    /// The place in the list.
    pub(crate) position: usize,
}

impl Upstream {
    /// An upstream as first announced.
    pub(crate) fn new(name: &UpstreamName, announcement: &Announcement, region: usize) -> Self {
        Self {
            name: name.clone(),
            service: announcement.service.clone(),
            address: announcement.address,
            region,
            failure_domain: announcement.failure_domain.clone(),
            slots: announcement.slots,
            reported_load: announcement.load,
            state: announcement.state,
            epoch_ms: announcement.epoch_ms,
            present: true,
            drained: false,
            in_flight: 0,
            home_slots: 0,
            evidence: Evidence::new(),
            place: None,
        }
    }

    /// Whether it takes new work at all.
    pub(crate) fn is_usable(&self) -> bool {
        self.present && !self.drained && self.state == UpstreamState::Ready
    }

    /// Whether it takes one more request now.
    pub(crate) fn has_room(&self) -> bool {
        self.is_usable() && !self.evidence.is_closed() && self.in_flight < self.limit_slots()
    }

    /// Requests that may be in flight there from this entry now.
    pub(crate) fn limit_slots(&self) -> u32 {
        let start_limit = self.evidence.start_limit.unwrap_or(u32::MAX);
        self.slots.min(start_limit)
    }

    /// Whether it takes new work and has not stood out of late.
    pub(crate) fn is_trusted(&self) -> bool {
        self.is_usable() && !self.evidence.is_on_probation()
    }

    /// Whether it is usable but ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.is_usable() && self.evidence.ejected_until_us.is_some()
    }

    /// Whether a slot dealt to this entry is free.
    pub(crate) const fn has_home_room(&self) -> bool {
        self.in_flight < self.home_slots
    }
}
