//! The monotonic clock that the actors give to their cores.

use tokio::time::Instant;
use types::TimeUs;

/// A monotonic clock in microseconds. It reads [`ORIGIN_US`] when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

/// The reading of a new clock, in microseconds. It is above 0 so that a time up to one second
/// before the start can be expressed.
const ORIGIN_US: u64 = 1_000_000;

impl Clock {
    /// A clock that reads [`ORIGIN_US`] now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The current reading.
    pub fn now_us(&self) -> TimeUs {
        self.at(Instant::now())
    }

    /// The reading at a time after the creation of the clock.
    pub fn at(&self, time: Instant) -> TimeUs {
        let elapsed = time.duration_since(self.origin).as_micros();
        TimeUs(ORIGIN_US + u64::try_from(elapsed).unwrap_or(u64::MAX / 2))
    }

    /// Converts a core's deadline to the time that tokio's timers use. Deadlines before the
    /// creation of the clock become its creation.
    pub fn instant(&self, deadline_us: TimeUs) -> Instant {
        self.origin + std::time::Duration::from_micros(deadline_us.0.saturating_sub(ORIGIN_US))
    }
}
