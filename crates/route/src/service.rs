//! A service and its upstreams, in groups of equal cost.

use crate::{
    evidence::Average,
    observe::OUTLIER_FACTOR,
    queue::Queue,
    shift::{Cap, Mover},
};
use std::collections::BTreeMap;
use types::{Priority, ServiceName, TimeUs};

/// Weight of a new observation in a service's averages, as one part of so many.
const SERVICE_PARTS: u64 = 64;

/// Upstreams of one service that cost the entry the same.
#[derive(Debug)]
pub(crate) struct Group {
    /// The region's index.
    pub(crate) region: usize,
    /// Whether it is the entry's own failure domain.
    pub(crate) own_domain: bool,
    /// The order of choice.
    pub(crate) cost_us: u64,
    /// All upstreams.
    pub(crate) members: Vec<usize>,
    /// Those with a free slot that was dealt to this entry.
    pub(crate) home: Vec<usize>,
    /// The others that take one more request.
    pub(crate) open: Vec<usize>,
    /// Until when it gets nothing because its upstreams refused.
    pub(crate) closed_until_us: TimeUs,
    /// Refusals since the last answer.
    pub(crate) refusals_in_row: u32,
    /// Those that take new work at all.
    pub(crate) usable: usize,
    /// Where the next round begins.
    pub(crate) cursor: usize,
}

/// A service.
#[derive(Debug)]
pub(crate) struct Service {
    /// Its name.
    pub(crate) name: ServiceName,
    /// Whether it is declared now.
    pub(crate) declared: bool,
    /// Its place under overload.
    pub(crate) priority: Priority,
    /// The size of an answer for which room on a link is kept.
    pub(crate) answer_bytes: u64,
    /// The regions that may run it.
    pub(crate) regions: Vec<usize>,
    /// Its upstreams, nearest first.
    pub(crate) groups: Vec<Group>,
    /// Requests that wait.
    pub(crate) queue: Queue,
    /// Requests in flight from this entry.
    pub(crate) in_flight: u32,
    /// The ledger of what goes to other regions than the nearest.
    pub(crate) mover: Mover,
    /// Time that an upstream takes, without the way.
    pub(crate) latency_us: Average,
    /// The same in each region, by the region's index, for what upstreams are compared with: the
    /// way to another region is only known as far as its declaration is right.
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
            open: Vec::new(),
            closed_until_us: TimeUs(0),
            refusals_in_row: 0,
            usable: 0,
            cursor: 0,
        }
    }

    /// The list that an upstream stands in.
    pub(crate) const fn list_mut(&mut self, home: bool) -> &mut Vec<usize> {
        match home {
            true => &mut self.home,
            false => &mut self.open,
        }
    }
}

impl Service {
    /// A service of which nothing is known but its name.
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
            mover: Mover::new(cap),
            latency_us: Average::new(SERVICE_PARTS),
            region_latency_us: BTreeMap::new(),
        }
    }

    /// The region nearest to the entry among those that may run it.
    pub(crate) fn home_region(&self) -> Option<usize> {
        self.groups.first().map(|group| group.region)
    }

    /// Whether an upstream of the nearest region takes new work at all.
    pub(crate) fn is_home_usable(&self) -> bool {
        let home = self.home_region();
        let mut here = self
            .groups
            .iter()
            .filter(|group| Some(group.region) == home);
        here.any(|group| group.usable > 0)
    }

    /// Counts an answer of an upstream in a region; one that stands out counts as less.
    pub(crate) fn note_region_latency(&mut self, region: usize, latency_us: u64) {
        let average = self.region_latency_us.entry(region);
        let average = average.or_insert_with(|| Average::new(SERVICE_PARTS));
        let bound_us = average.get().map_or(u64::MAX, |us| us * OUTLIER_FACTOR);
        average.add(latency_us.min(bound_us));
    }

    /// The time that an upstream of a region usually takes.
    pub(crate) fn region_latency_us(&self, region: usize) -> Option<u64> {
        self.region_latency_us.get(&region).and_then(Average::get)
    }

    /// How long one more request would wait here for a slot, as far as is known.
    pub(crate) fn wait_us(&self) -> Option<u64> {
        let waiting = self.queue.len() as u64 + 1;
        let per_request_us = self.latency_us.get()? / u64::from(self.in_flight.max(1));
        Some(waiting * per_request_us)
    }

    /// The cost up to which a group is worth its way: the way there and back must be shorter than
    /// the wait for a nearer slot.
    pub(crate) fn reach_us(&self) -> u64 {
        let nearest = self.groups.iter().find(|group| group.usable > 0);
        let nearest_us = nearest.map_or(0, |group| group.cost_us);
        match self.wait_us() {
            Some(wait_us) => nearest_us + (wait_us / 2).max(1),
            None => u64::MAX,
        }
    }

    /// Upstreams that take new work at all.
    pub(crate) fn usable(&self) -> usize {
        self.groups.iter().map(|group| group.usable).sum()
    }
}
