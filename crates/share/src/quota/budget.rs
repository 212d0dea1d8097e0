//! How many tokens a quota allows: the fill rate and the size of all its buckets together.

use super::STATIC_FRACTION;

/// The window of quotas without a setting, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// The least size of a budget: two thirds of 0.7 of it, the most that may be outstanding while no static
/// part is pledged, is a whole token.
const SIZE_MIN: f64 = 2.5;

/// How many seconds of the rate the size holds at least. Two thirds of them may be in hand at gateways,
/// which report every half second what they have used.
const SIZE_MIN_S: f64 = 1.0;

/// How many seconds of the rate the budget leaves free. A request runs some time after it took its token,
/// so that a window may see some requests whose tokens were taken before it.
const MARGIN_S: f64 = 0.3;

/// The most of overage and slack that is left free for that.
const MARGIN_FRACTION: f64 = 0.5;

/// The bound that quotas keep over all gateways, the same for every tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTerms {
    /// The window in which the requests that run are counted, in milliseconds.
    pub window_ms: u64,
    /// By how much the requests in a window may exceed what rate and burst allow, in thousandths.
    pub overage_milli: u64,
    /// How many requests more than that may run in a window, in thousandths.
    pub slack_milli: u64,
}

impl Default for QuotaTerms {
    fn default() -> Self {
        Self {
            window_ms: WINDOW_MS,
            overage_milli: 0,
            slack_milli: 0,
        }
    }
}

impl QuotaTerms {
    pub(super) fn window_s(&self) -> f64 {
        self.window_ms.max(1) as f64 / 1e3
    }

    /// The most requests of a tenant that may run in a window, over all gateways.
    #[must_use]
    pub fn window_max(&self, limit: QuotaLimit) -> f64 {
        self.declared(limit) + self.headroom(limit)
    }

    /// The most tokens of a tenant that are used in a window, over all gateways: fewer than
    /// [`Self::window_max`], for requests that run later than they took a token.
    #[must_use]
    pub fn window_tokens_max(&self, limit: QuotaLimit) -> f64 {
        let margin = (self.headroom(limit) * MARGIN_FRACTION).min(limit.per_s() * MARGIN_S);
        self.window_max(limit) - margin
    }

    /// What rate and burst allow in a window.
    fn declared(&self, limit: QuotaLimit) -> f64 {
        limit.per_s() * self.window_s() + limit.burst as f64
    }

    /// What overage and slack allow beside.
    fn headroom(&self, limit: QuotaLimit) -> f64 {
        let overage = self.overage_milli as f64 / 1e3;
        self.declared(limit) * overage + self.slack_milli as f64 / 1e3
    }
}

/// A tenant's limit, over all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaLimit {
    /// Requests per 1,000 seconds.
    pub rate_milli_per_s: u64,
    /// Requests at once after a time without any, beside the rate.
    pub burst: u64,
}

impl QuotaLimit {
    fn per_s(self) -> f64 {
        self.rate_milli_per_s as f64 / 1e3
    }
}

/// A fill rate and a size such that no window sees more tokens than the quota allows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    pub per_s: f64,
    pub size: f64,
}

impl Budget {
    /// The budget of a limit. The size is all that the rate leaves of a window; where that is too little,
    /// the rate is reduced.
    pub fn new(limit: QuotaLimit, terms: &QuotaTerms) -> Self {
        let (rate, window_s) = (limit.per_s(), terms.window_s());
        let total = terms.window_tokens_max(limit);
        let size_min = (rate * SIZE_MIN_S).max(SIZE_MIN);
        let size = (total - rate * window_s).max(size_min).min(total);
        let per_s = ((total - size) / window_s).clamp(0.0, rate);
        Self { per_s, size }
    }

    /// One of `parts` equal static parts. A part that is too small for a whole token gets the size for
    /// one, and in return a lower rate; none when the window doesn't allow even that.
    pub fn static_part(self, parts: usize, terms: &QuotaTerms) -> Option<Self> {
        let window_s = terms.window_s();
        let fraction = STATIC_FRACTION / parts.max(1) as f64;
        let (per_s, size) = (self.per_s * fraction, self.size * fraction);
        let total = per_s * window_s + size;
        match size >= 1.0 {
            true => Some(Self { per_s, size }),
            false if total >= 1.0 => Some(Self {
                per_s: (total - 1.0) / window_s,
                size: 1.0,
            }),
            false => None,
        }
    }
}
