//! How far a gateway's requests may run beside the shares of the regions.

use types::TimeUs;

/// The smallest slack, in requests.
const SLACK_MIN: f64 = 1.0;

/// The slack of a region's gateways together, as a part of their requests in the span over which
/// changes of region count; about a quarter of the change that is allowed.
const SLACK_PART: f64 = 0.04;

/// The span over which changes of region count, in seconds.
pub(crate) const SHIFT_WINDOW_S: f64 = 2.0;

/// The requests of a gateway in the latest span, and the slack that they leave.
#[derive(Clone, Debug)]
pub(crate) struct Slack {
    /// Requests since the last look.
    requests: u32,
    /// Requests in a span, as an average that fades.
    usual_requests: f64,
    /// How much of a whole span the average has seen, from 0 to 1.
    seen: f64,
    looked_us: TimeUs,
}

impl Slack {
    pub(crate) const fn new(now_us: TimeUs) -> Self {
        Self {
            requests: 0,
            usual_requests: 0.0,
            seen: 0.0,
            looked_us: now_us,
        }
    }

    /// Notes a request.
    pub(crate) const fn note(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// By how many requests of one service the usual region of an object goes before others.
    ///
    /// Deviations of gateways and services are independent of each other, so their sum grows with
    /// the root of their number only.
    pub(crate) fn look(&mut self, gateways_of_region: f64, services: usize, now_us: TimeUs) -> f64 {
        let elapsed_s = now_us.since_us(self.looked_us) as f64 / 1e6;
        self.looked_us = now_us;
        let kept = (-elapsed_s / SHIFT_WINDOW_S).exp();
        let requests = f64::from(std::mem::take(&mut self.requests));
        self.usual_requests = self.usual_requests * kept + requests;
        // Until the first request there is nothing to average.
        self.seen = match self.usual_requests > 0.0 {
            true => self.seen * kept + (1.0 - kept),
            false => 0.0,
        };
        let in_span = self.usual_requests / self.seen.max(f64::MIN_POSITIVE);
        let spread = (gateways_of_region.max(1.0) / services.max(1) as f64).sqrt();
        (SLACK_PART * in_span * spread).max(SLACK_MIN)
    }
}
