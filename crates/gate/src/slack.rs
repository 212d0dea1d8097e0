//! How far requests may deviate from the region shares to keep objects in their preferred regions.
//!
//! The more requests a gateway handles, the more of them may deviate before the total exceeds the
//! fraction of a region's requests that may change region.

use types::TimeUs;

/// The lower bound of the slack, in requests.
const SLACK_MIN: f64 = 1.0;

/// The slack of all gateways of a region together, as a fraction of their requests in one window:
/// about a quarter of the default of `region_shift_max`, 0.15. It doesn't follow that setting.
const SLACK_FRACTION: f64 = 0.04;

/// The window over which requests that change region are counted, in seconds.
pub(crate) const SHIFT_WINDOW_S: f64 = 2.0;

/// Measures how many requests a gateway handles in a window, and derives the slack from it.
#[derive(Clone, Debug)]
pub(crate) struct Slack {
    /// Requests since the last update.
    requests: u32,
    /// All requests, weighted with `exp(-age / SHIFT_WINDOW_S)`.
    decayed_requests: f64,
    /// The fraction of a whole window that `decayed_requests` covers, from 0 to 1.
    coverage: f64,
    updated_us: TimeUs,
}

impl Slack {
    pub(crate) const fn new(now_us: TimeUs) -> Self {
        Self {
            requests: 0,
            decayed_requests: 0.0,
            coverage: 0.0,
            updated_us: now_us,
        }
    }

    /// Counts a request.
    pub(crate) const fn record_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Returns the slack of one service: the credit, in requests, that the preferred region of an
    /// object gets over other regions.
    ///
    /// Deviations of gateways and services are independent of each other, so their sum grows only
    /// with the square root of their number.
    pub(crate) fn update(
        &mut self,
        gateways_per_region: f64,
        services: usize,
        now_us: TimeUs,
    ) -> f64 {
        let elapsed_s = now_us.since_us(self.updated_us) as f64 / 1e6;
        self.updated_us = now_us;
        let decay = (-elapsed_s / SHIFT_WINDOW_S).exp();
        let requests = f64::from(std::mem::take(&mut self.requests));
        self.decayed_requests = self.decayed_requests * decay + requests;
        // The window starts to fill with the first request.
        self.coverage = match self.decayed_requests > 0.0 {
            true => self.coverage * decay + (1.0 - decay),
            false => 0.0,
        };
        let window_requests = self.decayed_requests / self.coverage.max(f64::MIN_POSITIVE);
        let spread = (gateways_per_region.max(1.0) / services.max(1) as f64).sqrt();
        (SLACK_FRACTION * window_requests * spread).max(SLACK_MIN)
    }
}
