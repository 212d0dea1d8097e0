//! The events of the simulation and their queue, ordered by virtual time.

use route::Ending;
use std::{cmp::Reverse, collections::BinaryHeap};

/// An event of the simulation; requests, services and workers are named by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A caller sends the next request of a service.
    NextArrival {
        /// Index of the service.
        service: usize,
    },
    /// A request reaches an entry.
    RequestAtEntry {
        /// Index of the request.
        request: usize,
    },
    /// An attempt reaches a worker.
    AttemptAtWorker {
        /// Index of the request.
        request: usize,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Index of the worker.
        worker: usize,
    },
    /// A worker finishes a run.
    RunDone {
        /// Index of the request.
        request: usize,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Index of the worker.
        worker: usize,
        /// The worker's incarnation when the run began; after a restart the event is ignored.
        incarnation: u32,
    },
    /// The end of an attempt reaches the entry.
    AttemptEnded {
        /// Index of the request.
        request: usize,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// How it ended.
        ending: EndingCode,
    },
    /// A worker announces itself.
    Announce {
        /// Index of the worker.
        worker: usize,
    },
    /// The routers of all entries get a tick, and the use of slots is sampled.
    Tick,
    /// The leader grants shares of regions and links to the entries.
    GrantShares,
    /// The scenario's incident begins.
    Incident,
    /// The workers that the incident stopped start again.
    Recovery,
    /// Announcements of lost workers expire, and callers learn which entries are lost.
    AnnouncementsExpire,
}

/// How an attempt ended: the endings of [`Ending`] that occur here, with the order that a field of
/// [`Event`] needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndingCode {
    /// The whole answer arrived; the status code.
    Finished(u16),
    /// The worker could not be reached; it did not get the request.
    NotSent,
    /// The worker refused the request because all its slots were in use.
    Refused,
    /// The connection broke or the deadline passed; the request may have run.
    Broken,
}

impl From<EndingCode> for Ending {
    fn from(code: EndingCode) -> Self {
        match code {
            EndingCode::Finished(status) => Self::Finished { status },
            EndingCode::NotSent => Self::NotSent,
            EndingCode::Refused => Self::Refused,
            EndingCode::Broken => Self::Broken,
        }
    }
}

/// Queue of events, ordered by time; events at the same time come in the order of their insertion.
#[derive(Debug, Default)]
pub struct Events {
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pushed: u64,
}

impl Events {
    /// Adds an event that is due at `at_us`.
    pub fn push(&mut self, at_us: u64, event: Event) {
        self.pushed += 1;
        self.heap.push(Reverse((at_us, self.pushed, event)));
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap
            .pop()
            .map(|Reverse((at_us, _, event))| (at_us, event))
    }
}
