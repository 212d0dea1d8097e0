//! The entry's demand for a region's capacity, which it reports to get a share of it.

use crate::{
    Policy,
    router::Router,
    service::{Group, Service},
    table::OWN_REGION,
};
use types::RegionName;

/// Slots that an entry asks for even without traffic, so that a first request can start.
const WANTED_MIN_SLOTS: u32 = 1;

impl Router {
    /// Slots of the region that this entry could use now; at least one, so that a first request can
    /// start.
    ///
    /// The sum of three numbers: the requests in flight there (the mean of the current number and
    /// the peak since the last call), the queued requests that could run there (the round trip is
    /// no longer than the expected wait and a slot is free), and that one slot. Here this limit on
    /// the round trip holds under every policy; the choice of an upstream applies it only under the
    /// adaptive one.
    #[must_use]
    pub fn wanted_slots(&mut self, region: &RegionName) -> u32 {
        let mut regions = self.table.regions.iter();
        let Some(id) = regions.position(|known| known.name == *region) else {
            return WANTED_MIN_SLOTS;
        };
        let services = self.table.services.iter();
        let waiting: u32 = services
            .map(|service| self.wanted_by_queue(service, id))
            .sum();
        let allowance = &mut self.table.regions[id].allowance;
        let used = (allowance.take_peak() + allowance.in_flight).div_ceil(2);
        used + waiting + WANTED_MIN_SLOTS
    }

    fn wanted_by_queue(&self, service: &Service, region: usize) -> u32 {
        if service.queue.is_empty() {
            return 0;
        }
        let max_cost_us = service.max_cost_us();
        let there = service.groups.iter().filter(|group| group.region == region);
        let affordable = there.filter(|group| group.cost_us <= max_cost_us);
        let free: u32 = affordable.map(|group| self.free_slots(group)).sum();
        free.min(u32::try_from(service.queue.len()).unwrap_or(u32::MAX))
    }

    /// Free slots of a group as far as this entry knows; with the adaptive policy only home slots
    /// count in the entry's own region.
    fn free_slots(&self, group: &Group) -> u32 {
        let upstreams = &self.table.upstreams;
        let home_slots_only = self.config.policy == Policy::Adaptive && group.region == OWN_REGION;
        let free = |&id: &usize| {
            let upstream = &upstreams[id];
            let slots = match home_slots_only {
                true => upstream.home_slots.min(upstream.limit_slots()),
                false => upstream.limit_slots(),
            };
            slots.saturating_sub(upstream.in_flight)
        };
        let list = if home_slots_only {
            &group.home
        } else {
            &group.borrowable
        };
        list.iter().map(free).sum()
    }
}
