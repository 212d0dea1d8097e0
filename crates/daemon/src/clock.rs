//! The process's monotonic clock.

use tokio::time::Instant;
use types::TimeUs;

/// Reads the monotonic clock as microseconds since the process's origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

/// The origin lies before the start, so that deadlines before the start can be told.
const ORIGIN_US: u64 = 1_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time now.
    pub fn now_us(&self) -> TimeUs {
        let elapsed = self.origin.elapsed().as_micros();
        TimeUs(ORIGIN_US + u64::try_from(elapsed).unwrap_or(u64::MAX / 2))
    }

    /// A core's deadline as the timers take it.
    pub fn instant(&self, deadline_us: TimeUs) -> Instant {
        self.origin + std::time::Duration::from_micros(deadline_us.0.saturating_sub(ORIGIN_US))
    }
}
