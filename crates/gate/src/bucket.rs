//! A token bucket, which limits a rate but allows bursts.

use types::TimeUs;

/// A token bucket. Callers pass rate and capacity with each call, since both depend on the number
/// of gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_us: TimeUs,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` at first.
    pub(crate) const fn new(tokens: f64, now_us: TimeUs) -> Self {
        Self {
            tokens,
            refilled_us: now_us,
        }
    }

    /// Adds the tokens that accrued at `per_s` since the last refill, up to `capacity`.
    pub(crate) fn refill(&mut self, per_s: f64, capacity: f64, now_us: TimeUs) {
        let elapsed_s = now_us.since_us(self.refilled_us) as f64 / 1e6;
        self.refilled_us = now_us;
        self.tokens = (self.tokens + per_s * elapsed_s).min(capacity);
    }

    /// Adds `amount` tokens, up to `capacity`.
    pub(crate) fn add(&mut self, amount: f64, capacity: f64) {
        self.tokens = (self.tokens + amount).min(capacity);
    }

    /// Whether the bucket holds at least one whole token.
    pub(crate) fn has_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one token; returns false when there is none.
    pub(crate) fn take_one(&mut self) -> bool {
        let has_one = self.has_one();
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }
}
