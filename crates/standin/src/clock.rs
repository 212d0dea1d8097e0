//! The one clock of a process of stand-ins.

use std::time::Instant;
use types::TimeUs;

/// Reads time since its origin, so that records of several tasks can be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now_us(&self) -> TimeUs {
        TimeUs(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
