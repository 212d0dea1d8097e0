//! The monotonic clock that the actors give to their cores.

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;
use types::TimeUs;

/// A monotonic clock in microseconds. It reads [`ORIGIN_US`] when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// The reading of [`boot_us`] at the origin or shortly before.
    origin_boot_us: u64,
}

/// The reading of a new clock, in microseconds. It is above 0 so that a time up to one second
/// before the start can be expressed.
const ORIGIN_US: u64 = 1_000_000;

impl Clock {
    /// A clock that reads [`ORIGIN_US`] now.
    pub fn new() -> Self {
        // Read first, as in `suspended_us`. A pause between the two adds to every reading of that alike.
        let origin_boot_us = boot_us();
        Self {
            origin: Instant::now(),
            origin_boot_us,
        }
    }

    /// For how long this clock has stood still since its creation, in microseconds, as when the machine
    /// was suspended. It never reads high by more than at the creation: a pause between the two
    /// readings makes it low, once.
    pub fn suspended_us(&self) -> u64 {
        let since_boot_us = boot_us().saturating_sub(self.origin_boot_us);
        let elapsed_us = self.origin.elapsed().as_micros();
        since_boot_us.saturating_sub(u64::try_from(elapsed_us).unwrap_or(u64::MAX))
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

/// The reading in microseconds of the system's clock that counts the time in which the machine was
/// suspended.
fn boot_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let [seconds, nanoseconds] =
        [time.tv_sec, time.tv_nsec].map(|it| u64::try_from(it).unwrap_or_default());
    seconds * 1_000_000 + nanoseconds / 1_000
}
