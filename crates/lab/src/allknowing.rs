//! The chooser that the policies are compared with: one global queue that sees the current state of
//! every worker without delay.

use crate::{
    deployment::Site,
    worker::{Fault, Worker},
};
use std::{cmp::Reverse, collections::VecDeque};

/// Number of regions of a site.
const REGIONS: usize = 3;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Index of the request.
    pub request: usize,
    /// Region of its entry.
    pub region: usize,
    /// Failure domain of its entry, as an index within the region.
    pub domain: usize,
    /// Time at which its caller stops waiting.
    pub deadline_us: u64,
    /// Time that a warm worker takes to run it.
    pub work_us: u64,
}

/// One global queue for each service, divided by the region of the requests' entries: a slot in
/// another region is worth the longer round trip only when the wait for a local one is longer.
#[derive(Debug)]
pub struct AllKnowing {
    queues: Vec<[VecDeque<Waiting>; REGIONS]>,
    reserved: Vec<u32>,
    drained: Option<usize>,
}

impl AllKnowing {
    /// Empty queues; every slot is free.
    #[must_use]
    pub fn new(services: usize, workers: usize) -> Self {
        Self {
            queues: vec![Default::default(); services],
            reserved: vec![0; workers],
            drained: None,
        }
    }

    /// Places no more requests in a region.
    pub const fn drain(&mut self, region: usize) {
        self.drained = Some(region);
    }

    /// Adds a request at the end of its region's queue.
    pub fn push(&mut self, service: usize, waiting: Waiting) {
        self.queues[service][waiting.region].push_back(waiting);
    }

    /// Adds a request at the head of its region's queue, for a further attempt.
    pub fn push_front(&mut self, service: usize, waiting: Waiting) {
        self.queues[service][waiting.region].push_front(waiting);
    }

    /// Frees a slot of a worker.
    pub fn release(&mut self, worker: usize) {
        self.reserved[worker] = self.reserved[worker].saturating_sub(1);
    }

    /// Removes a request that can no longer finish before its deadline, if one is at the head of a
    /// queue; `one_way_us` is the delay to a worker.
    pub fn pop_expired(&mut self, now_us: u64, service: usize, one_way_us: u64) -> Option<usize> {
        let late =
            |waiting: &Waiting| waiting.deadline_us <= now_us + waiting.work_us + 2 * one_way_us;
        let queue = self.queues[service]
            .iter_mut()
            .find(|queue| queue.front().is_some_and(late))?;
        queue.pop_front().map(|first| first.request)
    }

    /// Takes the next request that a worker has a slot for, and reserves the slot; returns the
    /// request and the worker. Regions with longer queues come first.
    pub fn place_next(
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
        let local_slots: u32 = workers
            .iter()
            .filter(|w| w.service == service && w.region == first.region && self.is_usable(w))
            .map(|w| w.slots)
            .sum();
        let mean_us = site.services[service].mean_us;
        let waiting = self.queues[service][first.region].len() as f64;
        let wait_us = waiting * mean_us / f64::from(local_slots);
        let worth_remote = wait_us > (2 * site.region_delay_us) as f64;
        let is_idle = |region: usize| self.queues[service][region].is_empty();
        let cost_us = |worker: &Worker| {
            let slow = match worker.fault {
                Fault::Slow => 4.0,
                _ => worker.cold_factor(),
            };
            let one_way_us = match (worker.region == first.region, worker.domain == first.domain) {
                (true, true) => site.local_delay_us,
                (true, false) => site.domain_delay_us,
                (false, _) => site.region_delay_us,
            };
            (2 * one_way_us) as f64 + slow * mean_us
        };
        let candidates = workers.iter().enumerate().filter(|(id, worker)| {
            worker.service == service
                && self.is_usable(worker)
                && self.reserved[*id] < worker.slots
                && (worker.region == first.region || worth_remote && is_idle(worker.region))
        });
        candidates
            .min_by(|(_, a), (_, b)| cost_us(a).total_cmp(&cost_us(b)))
            .map(|(id, _)| id)
    }

    fn is_usable(&self, worker: &Worker) -> bool {
        worker.up
            && worker.reachable
            && worker.fault != Fault::FailsFast
            && Some(worker.region) != self.drained
    }
}
