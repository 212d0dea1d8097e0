//! What an experiment measures.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use types::Outcome;

/// Latency as callers see it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// Half are faster.
    pub p50_us: u64,
    /// All but one in a hundred are faster.
    pub p99_us: u64,
    /// All but one in a thousand are faster.
    pub p999_us: u64,
}

/// How many requests ended how.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// All.
    pub arrived: u64,
    /// Answered with a status below 500.
    pub finished: u64,
    /// Answered with an error by the upstream.
    pub failed: u64,
    /// Did not run.
    pub refused: u64,
    /// May have run.
    pub unknown: u64,
}

/// What an experiment measured.
#[derive(Clone, Debug)]
pub struct Results {
    /// Latency of finished requests.
    pub latency: Latency,
    /// Outcomes of the requests sent in the measured time.
    pub outcomes: Outcomes,
    /// Requests finished in the measured time, in percent of what all slots could.
    pub finished_percent: f64,
    /// Least part of a region's capacity that no running request took, in percent.
    pub region_headroom_percent: f64,
    /// The same with requests and answers on their way, as the entries count.
    pub share_headroom_percent: f64,
    /// Least part of a link's rate not in use within 100 ms, in percent.
    pub link_headroom_percent: f64,
    /// From the drain to the end of the last request there.
    pub drain_ms: Option<u64>,
    /// Attempts for each forwarded request.
    pub attempts_per_request: f64,
    /// Runs of non-idempotent requests after their first.
    pub second_runs: u64,
    /// Slots that run a request, in percent of all, on average.
    pub running_percent: f64,
    /// Slots that the entries count as taken, in percent of all, on average.
    pub reserved_percent: f64,
    /// Refusals by name, over the whole run.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Times that more traffic than the cap left a region within an interval.
    pub caps_passed: u64,
}

/// A mean of samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    sum: f64,
    samples: u32,
}

impl Mean {
    /// Adds a sample.
    pub fn add(&mut self, value: f64) {
        self.sum += value;
        self.samples += 1;
    }

    /// The mean so far.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.sum / f64::from(self.samples.max(1))
    }
}

/// Collects measurements.
#[derive(Debug)]
pub struct Measure {
    histogram: Histogram<u64>,
    /// Counts of outcomes.
    pub outcomes: Outcomes,
    /// Requests finished within the measured time.
    pub finished_in_time: u64,
    /// Attempts.
    pub attempts: u64,
    /// Requests forwarded at least once.
    pub forwarded: u64,
    /// Second runs of non-idempotent requests.
    pub second_runs: u64,
    /// Sum and count of the parts of slots that run a request.
    pub running: Mean,
    /// Sum and count of the parts of slots that the entries count as taken.
    pub reserved: Mean,
    /// Refusals by name.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Least room of a region so far, in percent.
    pub region_headroom_percent: f64,
    /// The same as the entries count.
    pub share_headroom_percent: f64,
    /// From the drain to the end of the last request there.
    pub drain_us: Option<u64>,
}

const LONGEST_US: u64 = 60_000_000;

impl Measure {
    /// Nothing measured yet.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_max(LONGEST_US, 3);
        Self {
            histogram: histogram.expect("three digits are valid"),
            outcomes: Outcomes::default(),
            finished_in_time: 0,
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

    /// Counts the end of a request.
    pub fn close(&mut self, outcome: Outcome, status: u16, latency_us: u64) {
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

    /// Notes the room of a region that running requests leave.
    pub fn note_region_headroom(&mut self, percent: f64) {
        self.region_headroom_percent = self.region_headroom_percent.min(percent);
    }

    /// Notes the room of a region that requests in flight leave.
    pub fn note_share_headroom(&mut self, percent: f64) {
        self.share_headroom_percent = self.share_headroom_percent.min(percent);
    }

    /// The latency of finished requests.
    #[must_use]
    pub fn latency(&self) -> Latency {
        Latency {
            p50_us: self.histogram.value_at_quantile(0.5),
            p99_us: self.histogram.value_at_quantile(0.99),
            p999_us: self.histogram.value_at_quantile(0.999),
        }
    }
}
