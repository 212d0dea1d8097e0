//! The router's counters and state, for the process dump and the metrics.

use crate::{
    router::Router, service::Service, shift::ShiftProgress, table::Region, upstream::Upstream,
};
use serde::Serialize;
use std::collections::BTreeMap;
use types::{RegionName, ServiceName, TimeUs, UpstreamName};

/// Counters since the router was created.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Counters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Attempts started.
    pub forwarded: u64,
    /// Retries; those that waited in the queue first aren't counted.
    pub retried: u64,
    /// Requests whose answer arrived whole.
    pub finished: u64,
    /// Requests whose caller went away.
    pub cancelled: u64,
    /// Requests that ended with an unknown outcome: they may have run. One whose answer broke off
    /// ([`Ending::CutShort`](crate::Ending::CutShort)) counts neither here nor as finished,
    /// cancelled or refused.
    pub unknown: u64,
    /// Requests that did not run, by the name of the refusal.
    pub refused: BTreeMap<&'static str, u64>,
    /// Ejections of upstreams.
    pub ejections: u64,
    /// Ejections that were due but skipped, since too many upstreams of the service were ejected
    /// already.
    pub ejections_held: u64,
    /// Groups and upstreams examined to choose upstreams.
    pub steps: u64,
}

/// The router's state at one moment.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Snapshot {
    /// Counters since the router was created.
    pub counters: Counters,
    /// Requests that are queued or in flight.
    pub requests: usize,
    /// The entry's own region and every other that a resource, share or announcement has named.
    pub regions: Vec<RegionSnapshot>,
    /// Every service declared so far, deleted ones included.
    pub services: Vec<ServiceSnapshot>,
    /// Upstreams whose announcement is valid or which still have requests in flight.
    pub upstreams: Vec<UpstreamSnapshot>,
}

/// A region as this entry uses it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RegionSnapshot {
    /// The region's name.
    pub name: RegionName,
    /// Requests in flight there from this entry.
    pub in_flight: u32,
    /// Requests that this entry may have in flight there; `None` without a limit.
    pub allowed_slots: Option<u32>,
}

/// A service at this entry.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSnapshot {
    /// The service's name.
    pub name: ServiceName,
    /// Whether it is declared now.
    pub declared: bool,
    /// Requests in its queue.
    pub queued: usize,
    /// Upstreams that accept requests at all: announced as ready and not drained.
    pub usable_upstreams: usize,
    /// The fraction of the traffic that may leave the nearest region now, in thousandths.
    pub ceiling_permille: u64,
    /// Progress of the latest shift declared out of the nearest region; `None` if there never was
    /// one.
    pub shift: Option<ShiftProgress>,
}

/// An upstream as this entry sees it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamSnapshot {
    /// The upstream's name.
    pub name: UpstreamName,
    /// Requests in flight there from this entry.
    pub in_flight: u32,
    /// Requests that it runs at once, as announced.
    pub slots: u32,
    /// Of its slots, this entry's home slots.
    pub home_slots: u32,
    /// Requests that this entry may have in flight there now; below `slots` during slow start.
    pub limit_slots: u32,
    /// Whether it accepts requests at all: announced as ready and not drained.
    pub usable: bool,
    /// Whether it gets no requests for a time because it failed too often or was too slow.
    pub ejected: bool,
}

impl Router {
    /// Captures the state at `now_us`, which decides whether shares have expired.
    #[must_use]
    pub fn snapshot(&self, now_us: TimeUs) -> Snapshot {
        let region = |region: &Region| RegionSnapshot {
            name: region.name.clone(),
            in_flight: region.allowance.in_flight,
            allowed_slots: Some(region.allowance.allowed_slots(now_us, self.config.fallback))
                .filter(|&slots| slots != u32::MAX),
        };
        let service = |service: &Service| ServiceSnapshot {
            name: service.name.clone(),
            declared: service.declared,
            queued: service.queue.len(),
            usable_upstreams: service.usable_count(),
            ceiling_permille: service.shift.ceiling_permille(),
            shift: service.shift.progress(),
        };
        let upstream = |upstream: &Upstream| UpstreamSnapshot {
            name: upstream.name.clone(),
            in_flight: upstream.in_flight,
            slots: upstream.slots,
            home_slots: upstream.home_slots,
            limit_slots: upstream.limit_slots(),
            usable: upstream.is_usable(),
            ejected: upstream.is_ejected(),
        };
        Snapshot {
            counters: self.counters.clone(),
            requests: self.requests.len(),
            regions: self.table.regions.iter().map(region).collect(),
            services: self.table.services.iter().map(service).collect(),
            upstreams: self
                .table
                .upstreams
                .iter()
                .filter(|upstream| upstream.present || upstream.in_flight > 0)
                .map(upstream)
                .collect(),
        }
    }

    /// Counters since the router was created; cheaper than a whole snapshot.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }
}
