//! Times and limits of the claim protocol, which must be the same at every entry.

use serde::{Deserialize, Serialize};

/// The largest drift between two clocks that the protocol allows for: the time that passes, divided
/// by this (2 percent).
const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// Times of the claim protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Timing {
    /// A key runs at most once within this time, in microseconds.
    pub horizon_us: u64,
    /// A claim that is not decided within this time is given up, in microseconds.
    pub decide_us: u64,
    /// The longest configuration lease of a holder, in microseconds.
    pub lease_us: u64,
}

impl Timing {
    /// How long a holder keeps a claim after its grant. The granted run begins at most `decide_us`
    /// later, so a run that is allowed once the claim expired is at least the horizon away from it,
    /// even if the clocks drift.
    #[must_use]
    pub const fn retention_us(&self) -> u64 {
        let us = self.horizon_us.saturating_add(self.decide_us);
        us.saturating_add(us / CLOCK_DRIFT_DIVISOR)
    }

    /// How long a replaced entry set counts: a holder may grant under it until its lease expires,
    /// and that grant must be kept for [`Self::retention_us`].
    #[must_use]
    pub const fn window_us(&self) -> u64 {
        let lease_us = self
            .lease_us
            .saturating_add(self.lease_us / CLOCK_DRIFT_DIVISOR);
        self.retention_us().saturating_add(lease_us)
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

/// Limits of what one entry stores, sends and tracks for claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// Most keys that a holder stores. Claims of further keys are refused.
    pub keys: usize,
    /// Most bytes of answers that a holder stores, over all keys. Of a further answer only the
    /// status is stored.
    pub answer_bytes: usize,
    /// Most records that one [`Message::Recovered`](crate::Message::Recovered) carries.
    pub recovery_records: usize,
    /// Most open attempts of a claimant. A further one gets
    /// [`Unavailable::TooMany`](crate::Unavailable::TooMany).
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
