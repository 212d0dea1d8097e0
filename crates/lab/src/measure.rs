//! Collects the figures of an experiment: latencies, outcomes, headroom and refusals.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use types::Outcome;

/// Percentiles of the latency from a caller's request to its answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// 50th percentile.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// All requests.
    pub arrived: u64,
    /// Answered with a status below 500.
    pub finished: u64,
    /// Answered by the upstream with status 500 or above.
    pub failed: u64,
    /// Refused: they did not run.
    pub refused: u64,
    /// Ended without an answer: they may have run.
    pub unknown: u64,
}

/// The figures of a finished experiment.
#[derive(Clone, Debug)]
pub struct Results {
    /// Latency of the requests that finished with a status below 500.
    pub latency: Latency,
    /// Outcomes of the requests that were sent in the measured time.
    pub outcomes: Outcomes,
    /// Requests finished in the measured time, in percent of those that all slots could finish.
    pub finished_percent: f64,
    /// Least capacity of any region that was free of running requests, in percent.
    pub region_headroom_percent: f64,
    /// The same, with requests and answers in transit counted too, as the entries count them.
    pub share_headroom_percent: f64,
    /// Least rate of any link that was left unused in a window of 100 ms, in percent.
    pub link_headroom_percent: f64,
    /// Time from the drain of a region until no request was in flight to it; `None` without one.
    pub drain_ms: Option<u64>,
    /// Mean number of attempts of a forwarded request.
    pub attempts_per_request: f64,
    /// Runs of non-idempotent requests after their first one; more than 0 is a fault.
    pub second_runs: u64,
    /// Mean number of slots that run a request, in percent of all.
    pub running_percent: f64,
    /// Mean number of slots that the entries count as taken, in percent of all.
    pub reserved_percent: f64,
    /// Refusals of the routers by reason, over the whole experiment.
    pub refusals: BTreeMap<&'static str, u64>,
    /// How often a request left its region beyond the cap, as `CapCheck` counts.
    pub cap_violations: u64,
}

/// Arithmetic mean of samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    sum: f64,
    samples: u32,
}

impl Mean {
    pub fn add(&mut self, value: f64) {
        self.sum += value;
        self.samples += 1;
    }

    /// The mean of the samples so far; 0 without any.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.sum / f64::from(self.samples.max(1))
    }
}

/// The measurements of a running experiment.
#[derive(Debug)]
pub struct Measure {
    histogram: Histogram<u64>,
    /// Outcomes of the requests that were sent in the measured time.
    pub outcomes: Outcomes,
    /// Requests finished with a status below 500 within the measured time.
    pub finished_in_window: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Requests forwarded at least once.
    pub forwarded: u64,
    /// Runs of non-idempotent requests after their first one.
    pub second_runs: u64,
    /// Slots that run a request, in percent of all, sampled at each tick.
    pub running: Mean,
    /// Slots that the entries count as taken, in percent of all, sampled at each tick.
    pub reserved: Mean,
    /// Refusals of the routers by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Least capacity of a region so far that was free of running requests, in percent.
    pub region_headroom_percent: f64,
    /// Least capacity of a region so far that was free of requests in flight, in percent.
    pub share_headroom_percent: f64,
    /// Time from the drain of a region until no request was in flight to it.
    pub drain_us: Option<u64>,
}

/// Longest latency that the histogram tells apart; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

impl Measure {
    /// Measurements before the first event.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY_US, 3);
        Self {
            histogram: histogram.expect("three digits are valid"),
            outcomes: Outcomes::default(),
            finished_in_window: 0,
            attempts: 0,
            forwarded: 0,
            second_runs: 0,
            running: Mean::default(),
            reserved: Mean::default(),
            refusals: BTreeMap::new(),
            region_headroom_percent: 100.0,
            share_headroom_percent: 100.0,
            drain_us: None,
        }
    }

    /// Counts the outcome of a request; `status` matters only when it finished.
    pub fn record_outcome(&mut self, outcome: Outcome, status: u16, latency_us: u64) {
        self.outcomes.arrived += 1;
        match (outcome, status) {
            (Outcome::Finished, 500..) => self.outcomes.failed += 1,
            (Outcome::Finished, _) => {
                self.outcomes.finished += 1;
                self.histogram.saturating_record(latency_us);
            }
            (Outcome::DidNotRun, _) => self.outcomes.refused += 1,
            (Outcome::Unknown, _) => self.outcomes.unknown += 1,
        }
    }

    /// Keeps the least headroom that running requests left in a region.
    pub fn record_region_headroom(&mut self, percent: f64) {
        self.region_headroom_percent = self.region_headroom_percent.min(percent);
    }

    /// Keeps the least headroom that requests in flight left in a region.
    pub fn record_share_headroom(&mut self, percent: f64) {
        self.share_headroom_percent = self.share_headroom_percent.min(percent);
    }

    /// Percentiles of the latency of finished requests.
    #[must_use]
    pub fn latency(&self) -> Latency {
        Latency {
            p50_us: self.histogram.value_at_quantile(0.5),
            p99_us: self.histogram.value_at_quantile(0.99),
            p999_us: self.histogram.value_at_quantile(0.999),
        }
    }
}
