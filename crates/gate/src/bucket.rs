//! Token buckets.

use types::TimeUs;

/// A bucket that fills at a rate and holds a bounded amount.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    filled_us: TimeUs,
}

impl Bucket {
    /// A bucket that holds `tokens`.
    pub(crate) const fn new(tokens: f64, now_us: TimeUs) -> Self {
        Self {
            tokens,
            filled_us: now_us,
        }
    }

    /// Adds what came since the last call.
    pub(crate) fn fill(&mut self, per_s: f64, most: f64, now_us: TimeUs) {
        let elapsed_s = now_us.since_us(self.filled_us) as f64 / 1e6;
        self.filled_us = now_us;
        self.tokens = (self.tokens + per_s * elapsed_s).min(most);
    }

    /// Adds an amount.
    pub(crate) fn add(&mut self, amount: f64, most: f64) {
        self.tokens = (self.tokens + amount).min(most);
    }

    /// Whether a whole token is there.
    pub(crate) fn has_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token.
    pub(crate) fn take_one(&mut self) -> bool {
        let has_one = self.has_one();
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }
}
