//! The mean load of a service's upstreams, estimated from what they state in their answers.
//!
//! It stands in for the load of an upstream whose own report is old. Reports come with answers only,
//! so a mean that has all requests refused would never be corrected: it decays while none come.

use types::TimeUs;

/// The weight of a new sample in the moving average.
const WEIGHT: f64 = 0.1;

/// For how long after the last report the mean holds, in microseconds. A gateway with little traffic
/// gets a report of each service about this often.
const HOLD_US: u64 = 1_000_000;

/// The time constant with which the mean decays after that, in microseconds: the largest load that is
/// counted is down to that of idle upstreams within 5 s.
const DECAY_US: f64 = 1_000_000.0;

/// A moving average of the requests that an upstream has from other gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeanLoad {
    /// The average when the last report came.
    requests: f64,
    reported_us: TimeUs,
}

impl MeanLoad {
    /// No load, before the first report.
    pub(crate) const fn new(now_us: TimeUs) -> Self {
        Self {
            requests: 0.0,
            reported_us: now_us,
        }
    }

    /// The mean now.
    pub(crate) fn requests(&self, now_us: TimeUs) -> f64 {
        let age_us = now_us.since_us(self.reported_us);
        let decayed_us = age_us.saturating_sub(HOLD_US) as f64;
        self.requests * (-decayed_us / DECAY_US).exp()
    }

    /// Adds what one upstream stated, which must be bounded by what it can run.
    pub(crate) fn record(&mut self, requests: f64, now_us: TimeUs) {
        let mean = self.requests(now_us);
        self.requests = mean + WEIGHT * (requests - mean);
        self.reported_us = now_us;
    }
}
