//! The time that the cores work with: a reading of the process's own monotonic clock.

use serde::{Deserialize, Serialize};

/// A reading of a process's monotonic clock, in microseconds since an origin of that process.
///
/// Readings of two processes can't be compared, so messages between processes carry durations.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeUs(pub u64);

impl TimeUs {
    /// The time `us` microseconds later; the largest time on overflow.
    #[must_use]
    pub const fn after_us(self, us: u64) -> Self {
        Self(self.0.saturating_add(us))
    }

    /// The time `ms` milliseconds later; the largest time on overflow.
    #[must_use]
    pub const fn after_ms(self, ms: u64) -> Self {
        self.after_us(ms.saturating_mul(1_000))
    }

    /// Microseconds from `earlier` to this time; zero when `earlier` is later.
    #[must_use]
    pub const fn since_us(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Whether this deadline has passed or falls on `now_us`.
    #[must_use]
    pub const fn reached(self, now_us: Self) -> bool {
        now_us.0 >= self.0
    }
}
