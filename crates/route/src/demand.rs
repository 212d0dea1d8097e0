//! What the entry would use of a region, for those who hand out shares.

use crate::{
    Policy,
    router::Router,
    service::{Group, Service},
    table::OWN_REGION,
};
use types::RegionName;

/// Slots that an entry asks for without any use, so that it may begin.
const FLOOR_SLOTS: u32 = 1;

impl Router {
    /// Slots of the region that this entry would use now: half way from what is in flight there to
    /// the most that was since the last call, and what waits for a service for which the way there
    /// is shorter than the wait, as far as slots are free.
    #[must_use]
    pub fn wanted_slots(&mut self, region: &RegionName) -> u32 {
        let mut regions = self.table.regions.iter();
        let Some(id) = regions.position(|known| known.name == *region) else {
            return FLOOR_SLOTS;
        };
        let services = self.table.services.iter();
        let waiting: u32 = services.map(|service| self.wanted_by(service, id)).sum();
        let room = &mut self.table.regions[id].room;
        let used = (room.take_peak() + room.in_flight).div_ceil(2);
        used + waiting + FLOOR_SLOTS
    }

    fn wanted_by(&self, service: &Service, region: usize) -> u32 {
        if service.queue.is_empty() {
            return 0;
        }
        let reach_us = service.reach_us();
        let there = service.groups.iter().filter(|group| group.region == region);
        let in_reach = there.filter(|group| group.cost_us <= reach_us);
        let free: u32 = in_reach.map(|group| self.free_slots(group)).sum();
        free.min(u32::try_from(service.queue.len()).unwrap_or(u32::MAX))
    }

    /// Slots that are free as far as this entry knows; in its own region those dealt to it.
    fn free_slots(&self, group: &Group) -> u32 {
        let upstreams = &self.table.upstreams;
        let dealt = self.config.policy == Policy::Adaptive && group.region == OWN_REGION;
        let free = |&id: &usize| {
            let upstream = &upstreams[id];
            let slots = match dealt {
                true => upstream.home_slots.min(upstream.limit_slots()),
                false => upstream.limit_slots(),
            };
            slots.saturating_sub(upstream.in_flight)
        };
        let list = if dealt { &group.home } else { &group.open };
        list.iter().map(free).sum()
    }
}
