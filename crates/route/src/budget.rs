//! The budget of retries.

/// Parts of a token.
const TOKEN: u64 = 1_000;
/// Tokens that may be saved up.
const SAVED_TOKENS: u64 = 32;

/// Tokens that arrivals earn and retries spend.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    parts: u64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) const fn new() -> Self {
        Self {
            parts: SAVED_TOKENS * TOKEN,
        }
    }

    /// Earns `percent` of a token.
    pub(crate) fn earn(&mut self, percent: u32) {
        let parts = self.parts + u64::from(percent) * TOKEN / 100;
        self.parts = parts.min(SAVED_TOKENS * TOKEN);
    }

    /// Whether a token is left.
    pub(crate) const fn has_token(&self) -> bool {
        self.parts >= TOKEN
    }

    /// Spends a token, if there is one.
    pub(crate) const fn spend(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.parts -= TOKEN;
        true
    }
}
