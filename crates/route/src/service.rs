//! A service, its queue, its latency averages, and its upstreams in groups by region.

use crate::{
    evidence::Average,
    observe::OUTLIER_FACTOR,
    queue::Queue,
    shift::{Cap, ShiftController},
};
use std::collections::BTreeMap;
use types::{Priority, ServiceName, TimeUs};

/// A new observation weighs one part in this many in a service's averages.
const SERVICE_SMOOTHING: u64 = 64;

/// Upstreams of one service in one region. The entry's own region has two groups: one for its own
/// failure domain, one for the others.
#[derive(Debug)]
pub(crate) struct Group {
    /// The index of the region.
    pub(crate) region: usize,
    /// Whether it holds the upstreams of the entry's own failure domain.
    pub(crate) own_domain: bool,
    /// The one-way delay to the group, or a fixed cost where no link is declared; groups with a
    /// lower cost are tried first.
    pub(crate) cost_us: u64,
    /// The indexes of all upstreams.
    pub(crate) members: Vec<usize>,
    /// Those with room and a free home slot.
    pub(crate) home: Vec<usize>,
    /// The others with room, whose slots this entry borrows. Home slots exist only in its own
    /// region and under the adaptive policy; otherwise these are all upstreams with room.
    pub(crate) borrowable: Vec<usize>,
    /// Until when this entry borrows no slots here because upstreams refused.
    pub(crate) backoff_until_us: TimeUs,
    /// Refusals of borrowed slots, less one for each answer from a borrowed slot.
    pub(crate) recent_refusals: u32,
    /// The number of members that accept requests at all, with or without room.
    pub(crate) usable_count: usize,
    /// The position in `members` at which round robin goes on.
    pub(crate) cursor: usize,
}

/// A service that is or was declared.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    /// Whether it is declared now.
    pub(crate) declared: bool,
    /// Which queued requests go first when room is short.
    pub(crate) priority: Priority,
    /// The expected size of an answer, reserved on a link for each attempt in another region.
    pub(crate) answer_bytes: u64,
    /// The indexes of the regions that may run it.
    pub(crate) regions: Vec<usize>,
    /// Its upstreams by cost, nearest group first; a group may be empty.
    pub(crate) groups: Vec<Group>,
    pub(crate) queue: Queue,
    /// Requests in flight from this entry.
    pub(crate) in_flight: u32,
    /// Limits the traffic that leaves the nearest region.
    pub(crate) shift: ShiftController,
    /// The mean time that an upstream takes, without the network round trip.
    pub(crate) latency_us: Average,
    /// The same by the region's index. Upstreams are compared only within their region, since the
    /// round trip to another region is known only as far as the declared delay is right.
    region_latency_us: BTreeMap<usize, Average>,
}

impl Group {
    /// A group without upstreams.
    pub(crate) const fn new(region: usize, own_domain: bool, cost_us: u64) -> Self {
        Self {
            region,
            own_domain,
            cost_us,
            members: Vec::new(),
            home: Vec::new(),
            borrowable: Vec::new(),
            backoff_until_us: TimeUs(0),
            recent_refusals: 0,
            usable_count: 0,
            cursor: 0,
        }
    }

    /// The list for free home slots, or the one for borrowed slots.
    pub(crate) const fn list_mut(&mut self, home: bool) -> &mut Vec<usize> {
        match home {
            true => &mut self.home,
            false => &mut self.borrowable,
        }
    }
}

impl Service {
    /// A service without a declaration.
    pub(crate) fn new(name: &ServiceName, cap: Cap) -> Self {
        Self {
            name: name.clone(),
            declared: false,
            priority: Priority::Browse,
            answer_bytes: 0,
            regions: Vec::new(),
            groups: Vec::new(),
            queue: Queue::new(),
            in_flight: 0,
            shift: ShiftController::new(cap),
            latency_us: Average::new(SERVICE_SMOOTHING),
            region_latency_us: BTreeMap::new(),
        }
    }

    /// The region nearest to the entry among those that may run it; it may have no upstream.
    pub(crate) fn home_region(&self) -> Option<usize> {
        self.groups.first().map(|group| group.region)
    }

    /// Whether an upstream of the nearest region accepts requests, with or without room.
    pub(crate) fn is_home_usable(&self) -> bool {
        let home = self.home_region();
        let mut here = self
            .groups
            .iter()
            .filter(|group| Some(group.region) == home);
        here.any(|group| group.usable_count > 0)
    }

    /// Adds an answer's latency to its region's average; an outlier is cut to a multiple of the
    /// mean.
    pub(crate) fn record_region_latency(&mut self, region: usize, latency_us: u64) {
        let average = self.region_latency_us.entry(region);
        let average = average.or_insert_with(|| Average::new(SERVICE_SMOOTHING));
        let bound_us = average.get().map_or(u64::MAX, |us| us * OUTLIER_FACTOR);
        average.add(latency_us.min(bound_us));
    }

    /// The mean latency of the service's upstreams in a region.
    pub(crate) fn region_latency_us(&self, region: usize) -> Option<u64> {
        self.region_latency_us.get(&region).and_then(Average::get)
    }

    /// The expected wait of one more queued request for a slot; `None` before the first answer.
    pub(crate) fn expected_wait_us(&self) -> Option<u64> {
        let waiting = self.queue.len() as u64 + 1;
        let per_request_us = self.latency_us.get()? / u64::from(self.in_flight.max(1));
        Some(waiting * per_request_us)
    }

    /// The highest cost at which a group is worth using: the round trip beyond the nearest usable
    /// group must not be longer than the expected wait for a nearer slot. Unlimited before the
    /// first answer. The extra cost of at least 1 always admits the other failure domains of
    /// the entry's own region.
    pub(crate) fn max_cost_us(&self) -> u64 {
        let nearest = self.groups.iter().find(|group| group.usable_count > 0);
        let nearest_us = nearest.map_or(0, |group| group.cost_us);
        match self.expected_wait_us() {
            Some(wait_us) => nearest_us + (wait_us / 2).max(1),
            None => u64::MAX,
        }
    }

    /// The number of upstreams that accept requests at all, with or without room.
    pub(crate) fn usable_count(&self) -> usize {
        self.groups.iter().map(|group| group.usable_count).sum()
    }
}
