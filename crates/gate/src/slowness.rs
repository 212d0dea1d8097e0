//! How long work takes at one upstream, compared with the usual time.
//!
//! Two sources are combined: the run times that this gateway measures there, which tell the lasting
//! speed, and the figure that some upstreams state in their answers, which holds for a moment only.

use types::TimeUs;

/// The weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.15;

/// The time constant with which the averages decay to 1 while there are no samples, in microseconds.
const SAMPLE_DECAY_US: f64 = 6_000_000.0;

/// The time constant with which the weight of a stated figure decays, in microseconds. Figures change
/// many times per second, so that one of half a second ago tells nothing.
const STATED_DECAY_US: f64 = 150_000.0;

/// Figures above this are ignored like 0, in percent: no request would end within its deadline.
const STATED_PERCENT_MAX: u32 = 10_000;

/// The bounds of a figure that is used. The lower one limits how many requests an upstream can attract
/// with a wrong figure, the upper one keeps it from being excluded.
const STATED_MIN: f64 = 0.5;
const STATED_MAX: f64 = 8.0;

/// The estimate for one upstream; 1 is the usual time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowness {
    /// The moving average of run times divided by the route's usual run time, as of `measured_us`.
    measured: f64,
    /// The moving average of the figures stated during the same runs, with the same weights. The
    /// momentary deviation is relative to it, so that slowness that is both stated and measured counts
    /// once.
    stated_mean: f64,
    measured_us: TimeUs,
    /// The last figure, as of `stated_us`.
    stated: f64,
    stated_us: TimeUs,
}

impl Slowness {
    /// The usual time, before any sample.
    pub(crate) const fn new(now_us: TimeUs) -> Self {
        Self {
            measured: 1.0,
            stated_mean: 1.0,
            measured_us: now_us,
            stated: 1.0,
            stated_us: now_us,
        }
    }

    /// The estimated slowness when a request has waited that long from now.
    pub(crate) fn after(&self, wait_us: f64, now_us: TimeUs) -> f64 {
        let starts_us = now_us.after_us(wait_us as u64);
        self.estimate(self.stated_weight(starts_us), now_us)
    }

    /// The estimated mean slowness from now for a span of time: what a queue meets while it drains.
    pub(crate) fn mean_over(&self, span_us: f64, now_us: TimeUs) -> f64 {
        let spans = (span_us / STATED_DECAY_US).max(f64::EPSILON);
        let mean_weight = self.stated_weight(now_us) * (1.0 - (-spans).exp()) / spans;
        self.estimate(mean_weight, now_us)
    }

    /// Records a figure that the upstream stated. One out of range counts as the usual time.
    pub(crate) fn record_stated(&mut self, percent: u32, now_us: TimeUs) {
        self.stated = match percent {
            1..=STATED_PERCENT_MAX => (f64::from(percent) / 100.0).clamp(STATED_MIN, STATED_MAX),
            _ => 1.0,
        };
        self.stated_us = now_us;
    }

    /// Records the ratio of a request's run time to the usual run time. The longer work takes by the
    /// upstream's own figure, the less the run tells about its lasting speed.
    pub(crate) fn record_run(&mut self, ratio: f64, now_us: TimeUs) {
        let stated = 1.0 + (self.stated - 1.0) * self.stated_weight(now_us);
        let weight = SAMPLE_WEIGHT / stated.max(1.0);
        let decay = self.measured_decay(now_us);
        let add = |mean: f64, sample: f64| {
            let mean = 1.0 + (mean - 1.0) * decay;
            mean + weight * (sample - mean)
        };
        self.measured = add(self.measured, ratio);
        self.stated_mean = add(self.stated_mean, stated);
        self.measured_us = now_us;
    }

    fn estimate(&self, stated_weight: f64, now_us: TimeUs) -> f64 {
        let decay = self.measured_decay(now_us);
        let measured = 1.0 + (self.measured - 1.0) * decay;
        let stated_mean = 1.0 + (self.stated_mean - 1.0) * decay;
        measured * (1.0 + (self.stated / stated_mean - 1.0) * stated_weight)
    }

    fn measured_decay(&self, now_us: TimeUs) -> f64 {
        let age_us = now_us.since_us(self.measured_us) as f64;
        (-age_us / SAMPLE_DECAY_US).exp()
    }

    fn stated_weight(&self, at_us: TimeUs) -> f64 {
        let age_us = at_us.since_us(self.stated_us) as f64;
        (-age_us / STATED_DECAY_US).exp()
    }
}
