//! Deadline checks for requests that queue: those that would probably not finish in time are
//! refused. An arrival or a retry that finds room is forwarded without these checks.

use crate::{request::Request, router::Router};
use types::TimeUs;

/// A request leaves the queue for an upstream only with this many mean latencies left.
const DEQUEUE_LATENCY_FACTOR: u64 = 3;
/// A request joins the queue only if this many mean latencies, or half of its remaining time if
/// that is less, would be left after the expected wait.
const ENQUEUE_LATENCY_FACTOR: u64 = 5;

impl Router {
    /// Whether a request sent now would probably finish after its deadline.
    pub(crate) fn would_miss_deadline(&self, now_us: TimeUs, request: &Request) -> bool {
        let service = &self.table.services[request.service];
        let needed_us = service.latency_us.get().unwrap_or(0) * DEQUEUE_LATENCY_FACTOR;
        request.deadline_us.since_us(now_us) < needed_us
    }

    /// Whether a request that has to queue would probably finish after its deadline.
    pub(crate) fn would_miss_deadline_after_wait(&self, now_us: TimeUs, request: &Request) -> bool {
        let service = &self.table.services[request.service];
        let Some(latency_us) = service.latency_us.get() else {
            return false;
        };
        let wait_us = service.expected_wait_us().unwrap_or(0);
        let left_us = request.deadline_us.since_us(now_us);
        let needed_us = (latency_us * ENQUEUE_LATENCY_FACTOR).min(left_us / 2);
        left_us < wait_us + needed_us || self.would_miss_deadline(now_us, request)
    }
}
