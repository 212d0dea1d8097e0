//! The queue of events in virtual time.

use route::Ending;
use std::{cmp::Reverse, collections::BinaryHeap};

/// Something that happens at one point in virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// The next request of a service comes.
    NextArrival {
        /// The service.
        service: usize,
    },
    /// A request reaches an entry.
    AtEntry {
        /// The request.
        request: usize,
    },
    /// An attempt reaches a worker.
    AtWorker {
        /// The request.
        request: usize,
        /// Its attempt.
        attempt: u32,
        /// The worker.
        worker: usize,
    },
    /// A worker finishes a run.
    RunDone {
        /// The request.
        request: usize,
        /// Its attempt.
        attempt: u32,
        /// The worker.
        worker: usize,
        /// The worker's life in which the run began.
        life: u32,
    },
    /// The end of an attempt reaches the entry.
    AttemptEnded {
        /// The request.
        request: usize,
        /// Its attempt.
        attempt: u32,
        /// How it ended.
        ending: EndingCode,
    },
    /// A worker announces itself.
    Announce {
        /// The worker.
        worker: usize,
    },
    /// Time passes at the entries.
    Tick,
    /// Shares are handed out.
    Shares,
    /// The scenario's incident begins.
    Incident,
    /// What the incident stopped starts again.
    Recovery,
    /// Announcements of lost workers run out.
    AnnouncementsExpire,
}

/// An ending that can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndingCode {
    /// The answer is whole.
    Finished(u16),
    /// Nothing was sent.
    NotSent,
    /// The worker refused.
    Refused,
    /// The connection broke.
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

/// Events in order of time, then of their making.
#[derive(Debug, Default)]
pub struct Events {
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    made: u64,
}

impl Events {
    /// Adds an event.
    pub fn push(&mut self, at_us: u64, event: Event) {
        self.made += 1;
        self.heap.push(Reverse((at_us, self.made, event)));
    }

    /// The next event and its time.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap
            .pop()
            .map(|Reverse((at_us, _, event))| (at_us, event))
    }
}
