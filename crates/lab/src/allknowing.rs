//! The limit: one global queue that sees every worker as it is, at once.

use crate::{
    deployment::Site,
    worker::{Fault, Worker},
};
use std::collections::VecDeque;

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
}

/// One global queue that sees every worker as it is.
#[derive(Debug)]
pub struct AllKnowing {
    queues: Vec<VecDeque<Waiting>>,
    reserved: Vec<u32>,
    drained: Option<usize>,
}

impl AllKnowing {
    /// Nothing waits.
    #[must_use]
    pub fn new(services: usize, workers: usize) -> Self {
        Self {
            queues: vec![VecDeque::new(); services],
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
        self.queues[service].push_back(waiting);
    }

    /// Adds a request before all others.
    pub fn push_front(&mut self, service: usize, waiting: Waiting) {
        self.queues[service].push_front(waiting);
    }

    /// Frees a worker's slot.
    pub fn release(&mut self, worker: usize) {
        self.reserved[worker] = self.reserved[worker].saturating_sub(1);
    }

    /// Takes a request that can't finish any more out of the queue.
    pub fn expired(&mut self, now_us: u64, service: usize, mean_us: f64) -> Option<usize> {
        let first = self.queues[service].front()?;
        if first.deadline_us > now_us + mean_us as u64 {
            return None;
        }
        self.queues[service].pop_front().map(|first| first.request)
    }

    /// The first request that waits and the worker for it.
    pub fn grant(
        &mut self,
        site: &Site,
        service: usize,
        workers: &[Worker],
    ) -> Option<(usize, usize)> {
        let first = *self.queues[service].front()?;
        let mean_us = site.services[service].mean_us;
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
        let best = workers
            .iter()
            .enumerate()
            .filter(|(id, worker)| {
                worker.service == service
                    && worker.up
                    && worker.reachable
                    && worker.fault != Fault::FailsFast
                    && Some(worker.region) != self.drained
                    && self.reserved[*id] < worker.slots
            })
            .min_by(|(_, a), (_, b)| cost_us(a).total_cmp(&cost_us(b)))
            .map(|(id, _)| id)?;
        self.queues[service].pop_front();
        self.reserved[best] += 1;
        Some((first.request, best))
    }
}
