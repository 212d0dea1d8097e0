//! The retry budget: a token bucket filled by arrivals, which keeps retries from multiplying the
//! load when upstreams fail.

const MILLITOKENS_PER_TOKEN: u64 = 1_000;
/// The bucket's size, in tokens.
const TOKENS_MAX: u64 = 32;

/// A token bucket that arrivals fill and retries drain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    millitokens: u64,
}

impl RetryBudget {
    /// A full bucket.
    pub(crate) const fn new() -> Self {
        Self {
            millitokens: TOKENS_MAX * MILLITOKENS_PER_TOKEN,
        }
    }

    /// Adds `percent` hundredths of a token, up to the bucket's size.
    pub(crate) fn earn(&mut self, percent: u32) {
        let millitokens = self.millitokens + u64::from(percent) * MILLITOKENS_PER_TOKEN / 100;
        self.millitokens = millitokens.min(TOKENS_MAX * MILLITOKENS_PER_TOKEN);
    }

    /// Whether a whole token is left.
    pub(crate) const fn has_token(&self) -> bool {
        self.millitokens >= MILLITOKENS_PER_TOKEN
    }

    /// Takes a token; `false` when no whole token is left.
    pub(crate) const fn spend(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.millitokens -= MILLITOKENS_PER_TOKEN;
        true
    }
}
