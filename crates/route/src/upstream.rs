//! One upstream: what it announced, this entry's load on it, and its position in the groups.

use crate::evidence::Evidence;
use std::net::SocketAddr;
use types::{Announcement, DomainName, ServiceName, UpstreamName, UpstreamState};

/// An upstream as this entry knows it.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) name: UpstreamName,
    /// The service that it runs.
    pub(crate) service: ServiceName,
    /// The address at which it accepts requests, as announced; may change without a restart.
    pub(crate) address: SocketAddr,
    /// The index of its region.
    pub(crate) region: usize,
    pub(crate) failure_domain: DomainName,
    /// Requests that it runs at once, as announced.
    pub(crate) slots: u32,
    /// Requests that it runs now, as announced; may be out of date or false.
    pub(crate) reported_load: u32,
    /// Whether it is starting, ready or leaving, as announced.
    pub(crate) state: UpstreamState,
    /// When its process started, in milliseconds of its own clock; any change counts as a
    /// restart.
    pub(crate) epoch_ms: u64,
    /// Whether it has an announcement that hasn't expired.
    pub(crate) present: bool,
    /// Whether a drain names it, its failure domain or its region.
    pub(crate) drained: bool,
    /// Requests in flight there from this entry.
    pub(crate) in_flight: u32,
    /// Of its slots, this entry's home slots.
    pub(crate) home_slots: u32,
    /// What this entry observed of its answers.
    pub(crate) evidence: Evidence,
    /// Its group and list; `None` while it has no valid announcement or its service may not run in
    /// its region.
    pub(crate) listing: Option<Listing>,
}

/// An upstream's group, and its position in one of the group's open lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Listing {
    /// The service's index.
    pub(crate) service: usize,
    /// The group's index within the service.
    pub(crate) group: usize,
    /// The position in the list of upstreams with room; `None` without room.
    pub(crate) open: Option<ListPosition>,
}

/// A position in one of a group's lists of upstreams with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListPosition {
    /// True for the list of upstreams with free home slots, false for the one of borrowed slots.
    pub(crate) home: bool,
    /// The index in the list.
    pub(crate) position: usize,
}

impl Upstream {
    /// An upstream from its first announcement, not yet in a group.
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
            listing: None,
        }
    }

    /// Whether it accepts requests at all: it has a valid announcement, is ready and isn't drained.
    pub(crate) fn is_usable(&self) -> bool {
        self.present && !self.drained && self.state == UpstreamState::Ready
    }

    /// Whether it takes one more request of this entry now.
    pub(crate) fn has_room(&self) -> bool {
        self.is_usable() && !self.evidence.is_suspended() && self.in_flight < self.limit_slots()
    }

    /// Requests that this entry may have in flight there now: its slots, or less during slow start.
    pub(crate) fn limit_slots(&self) -> u32 {
        let start_limit = self.evidence.start_limit.unwrap_or(u32::MAX);
        self.slots.min(start_limit)
    }

    /// Whether it accepts requests and isn't on probation after an ejection.
    pub(crate) fn is_trusted(&self) -> bool {
        self.is_usable() && !self.evidence.is_on_probation()
    }

    /// Whether it would accept requests but is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.is_usable() && self.evidence.ejected_until_us.is_some()
    }

    /// Whether one of this entry's home slots is free.
    pub(crate) const fn has_home_room(&self) -> bool {
        self.in_flight < self.home_slots
    }
}
