//! A monotonic clock shared by all stand-ins of a process.

use std::time::Instant;
use types::TimeUs;

/// Measures the time since its creation. All tasks get copies of one clock, so that the times in
/// their records can be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time since the clock was created.
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
