//! What the entry would use of a region, for those who hand out shares.

use crate::router::Router;
use types::RegionName;

/// Slots that an entry asks for without any use, so that it may begin.
const FLOOR_SLOTS: u32 = 1;

impl Router {
    /// Slots of the region that this entry would use now: what is in flight there, and what waits
    /// for a service whose nearest usable upstreams stand there.
    #[must_use]
    pub fn wanted_slots(&self, region: &RegionName) -> u32 {
        let regions = &self.table.regions;
        let Some(id) = regions.iter().position(|known| known.name == *region) else {
            return FLOOR_SLOTS;
        };
        let waiting = self.table.services.iter().filter(|service| {
            let nearest = service.groups.iter().find(|group| group.usable > 0);
            nearest.is_some_and(|group| group.region == id)
        });
        let waiting: usize = waiting.map(|service| service.queue.len()).sum();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let used = regions[id].room.in_flight.saturating_add(waiting);
        used.saturating_add(FLOOR_SLOTS)
    }
}
