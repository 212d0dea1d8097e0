//! Per-upstream record of answers, failures and refusals, from which slow start, backoff and
//! ejection follow.

use types::TimeUs;

/// A new observation weighs one part in this many in an upstream's averages.
const UPSTREAM_SMOOTHING: u64 = 16;
/// Failures in a row that make an upstream count as failing.
const EJECT_FAILURES_IN_ROW: u32 = 3;
/// The moving average of errors per thousand answers from which an upstream counts as failing.
const EJECT_ERRORS_PERMILLE: u64 = 500;
/// Observations that an average must rest on to count.
const SAMPLES_MIN: u32 = 16;
/// Latencies that must be observed after an ejection before an upstream can count as slow again.
const PROBATION_MIN_SAMPLES: u32 = 5;
/// An upstream is slow above this percentage of the service's mean latency in its region.
const SLOW_PERCENT: u64 = 300;
/// Answers after a start during which an upstream can't count as slow, since its cache may be cold.
const GRACE_ANSWERS: u32 = 64;
/// A newly started upstream may use its slots divided by this, rounded up, at first.
const START_DIVISOR: u32 = 2;
/// Length of the first ejection; each further one in a row is twice as long.
const EJECTION_MS: u64 = 1_000;
/// The most doublings of an ejection.
const EJECTION_DOUBLINGS: u32 = 5;
/// Length of the first backoff after a refusal or a failed connection; each further one in a row
/// doubles it.
const BACKOFF_US: u64 = 2_000;
/// The most doublings of a backoff.
const BACKOFF_DOUBLINGS: u32 = 3;

/// An exponential moving average in whole numbers; the plain mean of the first `smoothing`
/// observations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Average {
    smoothing: u64,
    value: u64,
    samples: u32,
}

impl Average {
    /// An average in which a new observation weighs one part in `smoothing`, which must not be 0.
    pub(crate) const fn new(smoothing: u64) -> Self {
        Self {
            smoothing,
            value: 0,
            samples: 0,
        }
    }

    pub(crate) fn add(&mut self, value: u64) {
        self.samples = self.samples.saturating_add(1);
        let divisor = self.smoothing.min(u64::from(self.samples));
        self.value = (self.value * (divisor - 1) + value) / divisor;
    }

    /// The average; `None` before the first observation.
    pub(crate) const fn get(&self) -> Option<u64> {
        if self.samples == 0 {
            return None;
        }
        Some(self.value)
    }
}

/// Whether an upstream's answers call for its ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Neither failing nor slow, as far as was observed.
    Healthy,
    /// It fails too often.
    Failing,
    /// It is far slower than the service's other upstreams in its region.
    Slow,
}

/// What this entry observed of one upstream, and the limits that follow.
#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    latency_us: Average,
    errors_permille: Average,
    failures_in_row: u32,
    backoffs_in_row: u32,
    ejections_in_row: u32,
    /// Answers that are left before it can count as slow.
    grace_answers: u32,
    /// Requests that this entry may have in flight there during slow start; `None` afterwards.
    pub(crate) start_limit: Option<u32>,
    /// When the backoff after a refusal or a failed connection ends.
    pub(crate) backoff_until_us: Option<TimeUs>,
    /// When its ejection ends.
    pub(crate) ejected_until_us: Option<TimeUs>,
}

impl Evidence {
    /// Nothing observed, and no slow start.
    pub(crate) const fn new() -> Self {
        Self {
            latency_us: Average::new(UPSTREAM_SMOOTHING),
            errors_permille: Average::new(UPSTREAM_SMOOTHING),
            failures_in_row: 0,
            backoffs_in_row: 0,
            ejections_in_row: 0,
            grace_answers: 0,
            start_limit: None,
            backoff_until_us: None,
            ejected_until_us: None,
        }
    }

    /// An upstream that has just started: slow start, and no ejection for slowness at first.
    pub(crate) const fn slow_start(slots: u32) -> Self {
        Self {
            start_limit: Some(slots.div_ceil(START_DIVISOR)),
            grace_answers: GRACE_ANSWERS,
            ..Self::new()
        }
    }

    /// Whether a backoff or an ejection keeps new requests away.
    pub(crate) const fn is_suspended(&self) -> bool {
        self.backoff_until_us.is_some() || self.ejected_until_us.is_some()
    }

    /// Whether it was ejected and hasn't given enough answers without a failure status since.
    pub(crate) const fn is_on_probation(&self) -> bool {
        self.ejections_in_row > 0
    }

    /// Counts a whole answer without a failure status, and raises the slow start limit by one.
    pub(crate) fn record_answer(&mut self, latency_us: u64, slots: u32) {
        self.latency_us.add(latency_us);
        self.errors_permille.add(0);
        self.grace_answers = self.grace_answers.saturating_sub(1);
        self.failures_in_row = 0;
        self.backoffs_in_row = 0;
        if self.latency_us.samples >= 2 * SAMPLES_MIN {
            self.ejections_in_row = 0;
        }
        if let Some(limit) = self.start_limit {
            self.start_limit = Some(limit + 1).filter(|&limit| limit < slots);
        }
    }

    /// Counts a failure: an answer with a failure status, or no whole answer.
    pub(crate) fn record_failure(&mut self) {
        self.errors_permille.add(1_000);
        self.failures_in_row += 1;
    }

    /// Starts a backoff after a refusal or a failed connection, of at least the round trip; returns
    /// its end.
    pub(crate) fn start_backoff(&mut self, now_us: TimeUs, round_trip_us: u64) -> TimeUs {
        let doublings = self.backoffs_in_row.min(BACKOFF_DOUBLINGS);
        self.backoffs_in_row += 1;
        let until_us = now_us.after_us(BACKOFF_US.max(round_trip_us) << doublings);
        self.backoff_until_us = Some(until_us);
        until_us
    }

    /// Classifies the upstream; `region_latency_us` is the service's mean latency in its region, if
    /// known.
    pub(crate) fn health(&self, region_latency_us: Option<u64>) -> Health {
        let failing = self.errors_permille.samples >= SAMPLES_MIN
            && self.errors_permille.value >= EJECT_ERRORS_PERMILLE;
        if failing || self.failures_in_row >= EJECT_FAILURES_IN_ROW {
            return Health::Failing;
        }
        let slow_us = region_latency_us
            .unwrap_or(u64::MAX)
            .saturating_mul(SLOW_PERCENT)
            / 100;
        let min_samples = match self.ejections_in_row {
            0 => SAMPLES_MIN,
            _ => PROBATION_MIN_SAMPLES,
        };
        let slow = self.latency_us.samples >= min_samples && self.latency_us.value > slow_us;
        match slow && self.grace_answers == 0 {
            true => Health::Slow,
            false => Health::Healthy,
        }
    }

    /// Ejects the upstream and discards what was observed; a slow start from one request follows.
    /// Returns the ejection's end.
    pub(crate) fn eject(&mut self, now_us: TimeUs) -> TimeUs {
        let doublings = self.ejections_in_row.min(EJECTION_DOUBLINGS);
        let until_us = now_us.after_ms(EJECTION_MS << doublings);
        *self = Self {
            ejections_in_row: self.ejections_in_row + 1,
            ejected_until_us: Some(until_us),
            start_limit: Some(1),
            ..Self::new()
        };
        until_us
    }
}
