//! The router's state as the process dump and the metrics show it.

use crate::{
    router::Router, service::Service, shift::ShiftProgress, table::Region, upstream::Upstream,
};
use serde::Serialize;
use std::collections::BTreeMap;
use types::{RegionName, ServiceName, TimeUs, UpstreamName};

/// Counts since the router was made.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Counters {
    /// Requests that came.
    pub arrived: u64,
    /// Attempts.
    pub forwarded: u64,
    /// Attempts after the first of their request.
    pub retried: u64,
    /// Requests whose answer was whole.
    pub finished: u64,
    /// Requests whose caller left.
    pub cancelled: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests that did not run, by refusal.
    pub refused: BTreeMap<&'static str, u64>,
    /// Ejections.
    pub ejections: u64,
    /// Ejections that the floor kept from happening.
    pub ejections_held: u64,
    /// Groups and upstreams looked at to choose.
    pub steps: u64,
}

/// The router's state.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Snapshot {
    /// Counts.
    pub counters: Counters,
    /// Requests that wait or are in flight.
    pub requests: usize,
    /// Regions.
    pub regions: Vec<RegionSnapshot>,
    /// Services.
    pub services: Vec<ServiceSnapshot>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamSnapshot>,
}

/// A region as this entry uses it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RegionSnapshot {
    /// Its name.
    pub name: RegionName,
    /// Requests in flight there from this entry.
    pub in_flight: u32,
    /// Requests that this entry may have in flight there; absent without a bound.
    pub allowed_slots: Option<u32>,
}

/// A service at this entry.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSnapshot {
    /// Its name.
    pub name: ServiceName,
    /// Whether it is declared now.
    pub declared: bool,
    /// Requests that wait.
    pub queued: usize,
    /// Upstreams that take new work.
    pub usable_upstreams: usize,
    /// The part of the traffic that may go to other regions than the nearest, in a thousand.
    pub ceiling_permille: u64,
    /// Progress of the declared shift out of the nearest region.
    pub shift: Option<ShiftProgress>,
}

/// An upstream as this entry sees it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamSnapshot {
    /// Its name.
    pub name: UpstreamName,
    /// Requests in flight there from this entry.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Of these, those dealt to this entry.
    pub home_slots: u32,
    /// Requests that may be in flight there from this entry now.
    pub limit_slots: u32,
    /// Whether it takes new work.
    pub usable: bool,
    /// Whether it gets none because it stood out.
    pub ejected: bool,
}

impl Router {
    /// The state at this moment.
    #[must_use]
    pub fn snapshot(&self, now_us: TimeUs) -> Snapshot {
        let region = |region: &Region| RegionSnapshot {
            name: region.name.clone(),
            in_flight: region.room.in_flight,
            allowed_slots: Some(region.room.allowed_slots(now_us, self.config.fallback))
                .filter(|&slots| slots != u32::MAX),
        };
        let service = |service: &Service| ServiceSnapshot {
            name: service.name.clone(),
            declared: service.declared,
            queued: service.queue.len(),
            usable_upstreams: service.usable(),
            ceiling_permille: service.mover.ceiling_permille(),
            shift: service.mover.progress(),
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

    /// Counts since the router was made.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }
}
