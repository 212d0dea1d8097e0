//! The bounded queue of a service, first come first served.

use crate::RequestId;
use std::collections::BTreeMap;

/// Requests of one service that wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    requests: BTreeMap<u64, RequestId>,
    places: BTreeMap<RequestId, u64>,
    front_place: u64,
    back_place: u64,
}

/// The place of the first request to arrive; those put back at the front get lower ones.
const FIRST_PLACE: u64 = 1 << 63;

impl Queue {
    /// An empty queue.
    pub(crate) fn new() -> Self {
        Self {
            front_place: FIRST_PLACE,
            back_place: FIRST_PLACE,
            ..Self::default()
        }
    }

    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request behind all others.
    pub(crate) fn push_back(&mut self, request: RequestId) {
        self.insert(self.back_place, request);
        self.back_place += 1;
    }

    /// Adds a request before all others.
    pub(crate) fn push_front(&mut self, request: RequestId) {
        self.front_place -= 1;
        self.insert(self.front_place, request);
    }

    /// The request that waits first.
    pub(crate) fn front(&self) -> Option<RequestId> {
        self.requests.values().next().copied()
    }

    /// Removes a request wherever it stands.
    pub(crate) fn remove(&mut self, request: RequestId) {
        if let Some(place) = self.places.remove(&request) {
            self.requests.remove(&place);
        }
    }

    fn insert(&mut self, place: u64, request: RequestId) {
        self.requests.insert(place, request);
        self.places.insert(request, place);
    }
}
