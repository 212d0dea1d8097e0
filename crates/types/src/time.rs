//! Time as the cores see it: a reading of the process's own monotonic clock.

use serde::{Deserialize, Serialize};

/// A point on a process's monotonic clock, in microseconds since that process's origin.
///
/// Readings of two processes can't be compared; only ages travel between them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeUs(pub u64);

impl TimeUs {
    /// The point `us` microseconds later.
    #[must_use]
    pub const fn after_us(self, us: u64) -> Self {
        Self(self.0.saturating_add(us))
    }

    /// The point `ms` milliseconds later.
    #[must_use]
    pub const fn after_ms(self, ms: u64) -> Self {
        self.after_us(ms.saturating_mul(1_000))
    }

    /// Microseconds from `earlier` to this point; zero when `earlier` is later.
    #[must_use]
    pub const fn since_us(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Whether this deadline has come at `now_us`.
    #[must_use]
    pub const fn reached(self, now_us: Self) -> bool {
        now_us.0 >= self.0
    }
}
