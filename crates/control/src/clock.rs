//! The log's clock, which gives commands their timestamps and continues over restarts and changes
//! of the leader.

use state::State;
use types::TimeUs;

/// Continues the state's clock by the time since this replica last applied an entry of the log.
///
/// Replicas need no common clock for it. It may lag behind real time, and then answers are retained
/// for longer; it never runs ahead.
#[derive(Debug)]
pub(crate) struct LogClock {
    last_applied_us: TimeUs,
}

impl LogClock {
    pub(crate) const fn new(now_us: TimeUs) -> Self {
        Self {
            last_applied_us: now_us,
        }
    }

    /// Records that a log entry or a snapshot was applied at `now_us`. Only the time since then is
    /// added to the state's clock.
    pub(crate) const fn record_applied(&mut self, now_us: TimeUs) {
        self.last_applied_us = now_us;
    }

    /// The timestamp for a command proposed at `now_us`, in milliseconds of the log's clock.
    pub(crate) const fn now_ms(&self, state: &State, now_us: TimeUs) -> u64 {
        state.clock_ms() + now_us.since_us(self.last_applied_us) / 1_000
    }
}
