//! Admission by deadline.

use crate::{request::Request, router::Router};
use types::TimeUs;

/// Times the service's mean latency that must be left when a request leaves the queue.
const LEAVE_FACTOR: u64 = 3;
/// Times the service's mean latency that must be left after the expected wait, but never more than
/// half of the time.
const ENTER_FACTOR: u64 = 5;

impl Router {
    /// Whether a request that waited has too little time left for a usual answer.
    pub(crate) fn is_too_late(&self, now_us: TimeUs, request: &Request) -> bool {
        let service = &self.table.services[request.service];
        let needed_us = service.latency_us.get().unwrap_or(0) * LEAVE_FACTOR;
        request.deadline_us.since_us(now_us) < needed_us
    }

    /// Whether a request that has to wait would have too little time left after the wait.
    pub(crate) fn would_be_too_late(&self, now_us: TimeUs, request: &Request) -> bool {
        let service = &self.table.services[request.service];
        let Some(latency_us) = service.latency_us.get() else {
            return false;
        };
        let wait_us = service.wait_us().unwrap_or(0);
        let left_us = request.deadline_us.since_us(now_us);
        let needed_us = (latency_us * ENTER_FACTOR).min(left_us / 2);
        left_us < wait_us + needed_us || self.is_too_late(now_us, request)
    }
}
