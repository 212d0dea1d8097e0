//! The limit: one global queue that sees every worker as it is, at once.

use crate::{
    deployment::Site,
    worker::{Fault, Worker},
};
use std::{cmp::Reverse, collections::VecDeque};

/// Regions of a site.
const REGIONS: usize = 3;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// The request.
    pub request: usize,
    /// Its entry's region.
    pub region: usize,
    /// Its entry's failure domain.
    pub domain: usize,
    /// When its caller stops waiting.
    pub deadline_us: u64,
    /// The time that a warm worker takes for it.
    pub work_us: u64,
}

/// One global queue that sees every worker as it is; it is kept by the entries' regions, since a
/// far slot is worth its way only when the wait for a near one is longer.
#[derive(Debug)]
pub struct AllKnowing {
    queues: Vec<[VecDeque<Waiting>; REGIONS]>,
    reserved: Vec<u32>,
    drained: Option<usize>,
}

impl AllKnowing {
    /// Nothing waits.
    #[must_use]
    pub fn new(services: usize, workers: usize) -> Self {
        Self {
            queues: vec![Default::default(); services],
            reserved: vec![0; workers],
            drained: None,
        }
    }

    /// Avoids a region from now on.
    pub const fn drain(&mut self, region: usize) {
        self.drained = Some(region);
    }

    /// Adds a request behind all others.
    pub fn push(&mut self, service: usize, waiting: Waiting) {
        self.queues[service][waiting.region].push_back(waiting);
    }

    /// Adds a request before all others.
    pub fn push_front(&mut self, service: usize, waiting: Waiting) {
        self.queues[service][waiting.region].push_front(waiting);
    }

    /// Frees a worker's slot.
    pub fn release(&mut self, worker: usize) {
        self.reserved[worker] = self.reserved[worker].saturating_sub(1);
    }

    /// Takes a request that can't finish any more out of the queue.
    pub fn expired(&mut self, now_us: u64, service: usize, way_us: u64) -> Option<usize> {
        let late = |waiting: &Waiting| waiting.deadline_us <= now_us + waiting.work_us + 2 * way_us;
        let queue = self.queues[service]
            .iter_mut()
            .find(|queue| queue.front().is_some_and(late))?;
        queue.pop_front().map(|first| first.request)
    }

    /// The next request that waits and the worker for it.
    pub fn grant(
        &mut self,
        site: &Site,
        service: usize,
        workers: &[Worker],
    ) -> Option<(usize, usize)> {
        let mut order: Vec<usize> = (0..REGIONS).collect();
        order.sort_by_key(|&region| Reverse(self.queues[service][region].len()));
        for region in order {
            let Some(first) = self.queues[service][region].front().copied() else {
                continue;
            };
            if let Some(worker) = self.worker_for(site, service, workers, &first) {
                self.queues[service][region].pop_front();
                self.reserved[worker] += 1;
                return Some((first.request, worker));
            }
        }
        None
    }

    fn worker_for(
        &self,
        site: &Site,
        service: usize,
        workers: &[Worker],
        first: &Waiting,
    ) -> Option<usize> {
        let near_slots: u32 = workers
            .iter()
            .filter(|w| w.service == service && w.region == first.region && self.is_good(w))
            .map(|w| w.slots)
            .sum();
        let mean_us = site.services[service].mean_us;
        let waiting = self.queues[service][first.region].len() as f64;
        let wait_us = waiting * mean_us / f64::from(near_slots);
        let worth_the_way = wait_us > (2 * site.region_delay_us) as f64;
        let is_idle = |region: usize| self.queues[service][region].is_empty();
        let cost_us = |worker: &Worker| {
            let slow = match worker.fault {
                Fault::Slow => 4.0,
                _ => worker.cold_factor(),
            };
            let way_us = match (worker.region == first.region, worker.domain == first.domain) {
                (true, true) => site.local_delay_us,
                (true, false) => site.domain_delay_us,
                (false, _) => site.region_delay_us,
            };
            (2 * way_us) as f64 + slow * mean_us
        };
        let candidates = workers.iter().enumerate().filter(|(id, worker)| {
            worker.service == service
                && self.is_good(worker)
                && self.reserved[*id] < worker.slots
                && (worker.region == first.region || worth_the_way && is_idle(worker.region))
        });
        candidates
            .min_by(|(_, a), (_, b)| cost_us(a).total_cmp(&cost_us(b)))
            .map(|(id, _)| id)
    }

    fn is_good(&self, worker: &Worker) -> bool {
        worker.up
            && worker.reachable
            && worker.fault != Fault::FailsFast
            && Some(worker.region) != self.drained
    }
}
