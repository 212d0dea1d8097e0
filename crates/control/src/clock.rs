//! The log's clock, which goes on over restarts and changes of the leader.

use state::State;
use types::TimeUs;

/// Adds the time since the last applied entry to the state's clock.
///
/// It needs no clock that replicas share: it may fall behind, and then answers are retained for
/// longer; it never runs ahead.
#[derive(Debug)]
pub(crate) struct LogClock {
    applied_us: TimeUs,
}

impl LogClock {
    pub(crate) const fn new(now_us: TimeUs) -> Self {
        Self { applied_us: now_us }
    }

    pub(crate) const fn applied(&mut self, now_us: TimeUs) {
        self.applied_us = now_us;
    }

    /// The time that a command proposed now carries.
    pub(crate) const fn at_ms(&self, state: &State, now_us: TimeUs) -> u64 {
        state.clock_ms() + now_us.since_us(self.applied_us) / 1_000
    }
}
