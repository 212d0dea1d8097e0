//! What the entry has seen of an upstream itself.

use types::TimeUs;

/// Weight of a new observation in an upstream's averages, as one part of so many.
const UPSTREAM_PARTS: u64 = 16;
/// Failures in a row that eject.
const FAILURES_IN_ROW: u32 = 3;
/// Errors in a thousand answers, as a moving average, that eject.
const ERROR_PERMILLE: u64 = 500;
/// Observations before averages are looked at.
const SAMPLES: u32 = 16;
/// The same after an ejection.
const PROBATION_SAMPLES: u32 = 5;
/// Latency that marks an upstream as slow, in percent of the service's.
const SLOW_PERCENT: u64 = 300;
/// Answers of a started upstream that its cache may need to become warm.
const GRACE_ANSWERS: u32 = 64;
/// A started upstream gets this part of its slots at first.
const START_DIVISOR: u32 = 2;
/// Length of a first ejection; each further one in a row is twice as long.
const EJECTION_MS: u64 = 1_000;
/// Doublings of an ejection at most.
const EJECTION_DOUBLINGS: u32 = 5;
/// How long a refusal keeps an upstream closed at first; doubled by each refusal in a row.
const COOLING_US: u64 = 2_000;
/// Doublings of a closure at most.
const COOLING_DOUBLINGS: u32 = 3;

/// A moving average in whole numbers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Average {
    parts: u64,
    value: u64,
    samples: u32,
}

impl Average {
    /// An average in which a new observation weighs one part of `parts`.
    pub(crate) const fn new(parts: u64) -> Self {
        Self {
            parts,
            value: 0,
            samples: 0,
        }
    }

    /// Adds an observation.
    pub(crate) fn add(&mut self, value: u64) {
        self.samples = self.samples.saturating_add(1);
        let parts = self.parts.min(u64::from(self.samples));
        self.value = (self.value * (parts - 1) + value) / parts;
    }

    /// The average, once there is an observation.
    pub(crate) const fn get(&self) -> Option<u64> {
        if self.samples == 0 {
            return None;
        }
        Some(self.value)
    }
}

/// How long an answer took and whether the service usually takes much less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing stands out.
    Good,
    /// It fails far more than it should.
    Failing,
    /// It is far slower than the others.
    Slow,
}

/// What the entry has seen of an upstream itself.
#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    latency_us: Average,
    errors_permille: Average,
    failures_in_row: u32,
    refusals_in_row: u32,
    ejections_in_row: u32,
    /// Answers until it may count as slow.
    grace_answers: u32,
    /// Requests that may be in flight there from this entry while it starts slowly.
    pub(crate) start_limit: Option<u32>,
    /// Until when it gets nothing because it refused.
    pub(crate) cooling_until_us: Option<TimeUs>,
    /// Until when it gets nothing because it stood out.
    pub(crate) ejected_until_us: Option<TimeUs>,
}

impl Evidence {
    /// Nothing seen, and no slow start.
    pub(crate) const fn new() -> Self {
        Self {
            latency_us: Average::new(UPSTREAM_PARTS),
            errors_permille: Average::new(UPSTREAM_PARTS),
            failures_in_row: 0,
            refusals_in_row: 0,
            ejections_in_row: 0,
            grace_answers: 0,
            start_limit: None,
            cooling_until_us: None,
            ejected_until_us: None,
        }
    }

    /// An upstream that has just started.
    pub(crate) const fn fresh(slots: u32) -> Self {
        Self {
            start_limit: Some(slots.div_ceil(START_DIVISOR)),
            grace_answers: GRACE_ANSWERS,
            ..Self::new()
        }
    }

    /// Whether it gets nothing for now.
    pub(crate) const fn is_closed(&self) -> bool {
        self.cooling_until_us.is_some() || self.ejected_until_us.is_some()
    }

    /// Whether it was ejected and has not given enough good answers since.
    pub(crate) const fn is_on_probation(&self) -> bool {
        self.ejections_in_row > 0
    }

    /// Counts a whole answer.
    pub(crate) fn answered(&mut self, latency_us: u64, slots: u32) {
        self.latency_us.add(latency_us);
        self.errors_permille.add(0);
        self.grace_answers = self.grace_answers.saturating_sub(1);
        self.failures_in_row = 0;
        self.refusals_in_row = 0;
        if self.latency_us.samples >= 2 * SAMPLES {
            self.ejections_in_row = 0;
        }
        if let Some(limit) = self.start_limit {
            self.start_limit = Some(limit + 1).filter(|&limit| limit < slots);
        }
    }

    /// Counts a failure.
    pub(crate) fn failed(&mut self) {
        self.errors_permille.add(1_000);
        self.failures_in_row += 1;
    }

    /// Closes it for a short time after a refusal.
    pub(crate) fn refused(&mut self, now_us: TimeUs, way_us: u64) -> TimeUs {
        let doublings = self.refusals_in_row.min(COOLING_DOUBLINGS);
        self.refusals_in_row += 1;
        let until_us = now_us.after_us(COOLING_US.max(way_us) << doublings);
        self.cooling_until_us = Some(until_us);
        until_us
    }

    /// What the evidence says.
    pub(crate) fn verdict(&self, service_us: Option<u64>) -> Verdict {
        let failing =
            self.errors_permille.samples >= SAMPLES && self.errors_permille.value >= ERROR_PERMILLE;
        if failing || self.failures_in_row >= FAILURES_IN_ROW {
            return Verdict::Failing;
        }
        let usual_us = service_us.unwrap_or(u64::MAX).saturating_mul(SLOW_PERCENT) / 100;
        let samples = match self.ejections_in_row {
            0 => SAMPLES,
            _ => PROBATION_SAMPLES,
        };
        let slow = self.latency_us.samples >= samples && self.latency_us.value > usual_us;
        match slow && self.grace_answers == 0 {
            true => Verdict::Slow,
            false => Verdict::Good,
        }
    }

    /// Ejects it, and lets it start slowly afterwards.
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
