//! The queue of a service: first come, first served, except that retried requests go to the front.
//! Requests can be removed from any position. The caller enforces the length limit.

use crate::RequestId;
use std::collections::BTreeMap;

/// Queued requests of one service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    requests: BTreeMap<u64, RequestId>,
    positions: BTreeMap<RequestId, u64>,
    front_position: u64,
    back_position: u64,
}

/// The position of the first request: the middle of the range, so that requests put back at the
/// front get lower ones.
const FIRST_POSITION: u64 = 1 << 63;

impl Queue {
    /// An empty queue.
    pub(crate) fn new() -> Self {
        Self {
            front_position: FIRST_POSITION,
            back_position: FIRST_POSITION,
            ..Self::default()
        }
    }

    /// The number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request behind all others.
    pub(crate) fn push_back(&mut self, request: RequestId) {
        self.insert(self.back_position, request);
        self.back_position += 1;
    }

    /// Adds a request before all others.
    pub(crate) fn push_front(&mut self, request: RequestId) {
        self.front_position -= 1;
        self.insert(self.front_position, request);
    }

    /// The request at the front.
    pub(crate) fn front(&self) -> Option<RequestId> {
        self.requests.values().next().copied()
    }

    /// Removes a request from any position; does nothing if it isn't queued.
    pub(crate) fn remove(&mut self, request: RequestId) {
        if let Some(position) = self.positions.remove(&request) {
            self.requests.remove(&position);
        }
    }

    fn insert(&mut self, position: u64, request: RequestId) {
        self.requests.insert(position, request);
        self.positions.insert(request, position);
    }
}
