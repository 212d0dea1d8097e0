//! Estimates how long the requests of a route run at an upstream, without the time that they queue.

/// The weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The estimate before the first sample, as a fraction of the route's target time.
const INITIAL_TARGET_FRACTION: f64 = 0.5;

/// The estimate of `no_affinity_ratio` before the first sample.
const INITIAL_NO_AFFINITY_RATIO: f64 = 3.0;

/// Samples of `no_affinity_ratio` are capped at this value.
const RATIO_MAX: f64 = 8.0;

/// The run times of a route's requests, as moving averages.
///
/// An upstream that handled an object lately serves requests for it faster, for instance from a
/// cache; such a request has affinity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimes {
    /// The run time of a request that has affinity.
    affinity_us: f64,
    /// How many times longer a request without affinity runs, at least 1.
    no_affinity_ratio: f64,
    /// The upper envelope of what requests take with their time in queues: a longer request raises it
    /// at once, and each other one lowers it a little.
    longest_us: f64,
}

impl RunTimes {
    /// Creates the estimate for a route with this target time that has no samples yet.
    pub(crate) fn new(target_ms: u64) -> Self {
        Self {
            affinity_us: (target_ms as f64 * 1e3 * INITIAL_TARGET_FRACTION).max(1.0),
            no_affinity_ratio: INITIAL_NO_AFFINITY_RATIO,
            longest_us: 0.0,
        }
    }

    /// What nearly all latest requests took at most, with their time in queues; 0 before the first.
    pub(crate) const fn longest_us(self) -> f64 {
        self.longest_us
    }

    /// Records the time from sending a request to the end of its answer.
    pub(crate) fn record_total(&mut self, taken_us: f64) {
        let lowered_us = self.longest_us + SAMPLE_WEIGHT * (taken_us - self.longest_us);
        self.longest_us = lowered_us.max(taken_us);
    }

    /// The expected run time in microseconds.
    pub(crate) fn run_us(self, has_affinity: bool) -> f64 {
        match has_affinity {
            true => self.affinity_us,
            false => self.affinity_us * self.no_affinity_ratio,
        }
    }

    /// Records the run time of a request that did not queue.
    pub(crate) fn record(&mut self, taken_us: f64, has_affinity: bool) {
        if has_affinity {
            self.affinity_us += SAMPLE_WEIGHT * (taken_us - self.affinity_us);
        } else {
            let ratio = (taken_us / self.affinity_us).clamp(1.0, RATIO_MAX);
            self.no_affinity_ratio += SAMPLE_WEIGHT * (ratio - self.no_affinity_ratio);
        }
    }
}
