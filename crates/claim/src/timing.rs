//! Declared times and sizes, the same at every entry.

use serde::{Deserialize, Serialize};

/// The share of a time that two clocks may drift apart while it passes, as one part in this many.
const DRIFT_PARTS: u64 = 50;

/// Declared times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Timing {
    /// A key runs at most once within this time.
    pub horizon_us: u64,
    /// A claim that is not decided within this time is given up.
    pub decide_us: u64,
    /// The longest configuration lease.
    pub lease_us: u64,
}

impl Timing {
    /// How long a holder keeps a claim after its grant: no run that it allowed lies within the
    /// horizon of a run allowed later.
    #[must_use]
    pub const fn keep_us(&self) -> u64 {
        let us = self.horizon_us.saturating_add(self.decide_us);
        us.saturating_add(us / DRIFT_PARTS)
    }

    /// How long a replaced entry set counts: its last grant may come a lease later.
    #[must_use]
    pub const fn window_us(&self) -> u64 {
        let lease_us = self.lease_us.saturating_add(self.lease_us / DRIFT_PARTS);
        self.keep_us().saturating_add(lease_us)
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            horizon_us: 600_000_000,
            decide_us: 10_000_000,
            lease_us: 5_000_000,
        }
    }
}

/// Declared sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// Keys that a holder keeps; a further claim is refused.
    pub keys: usize,
    /// Bytes of answers that a holder keeps; a further answer is not kept.
    pub answer_bytes: usize,
    /// Records that one message of a recovery carries.
    pub recovery_records: usize,
    /// Attempts that a claimant follows at once; a further one is refused.
    pub attempts: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            keys: 250_000,
            answer_bytes: 8 * 1024 * 1024,
            recovery_records: 256,
            attempts: 10_000,
        }
    }
}
