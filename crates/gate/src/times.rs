//! How long the requests of a route run.

/// The weight of a new sample.
const WEIGHT: f64 = 0.05;

/// What a request takes before any was seen, as a part of the route's target.
const TARGET_PART: f64 = 0.5;

/// By how much an upstream that has not handled an object is slower, before it is known.
const UNFAMILIAR_RATIO: f64 = 3.0;

/// The largest ratio that is believed.
const RATIO_MAX: f64 = 8.0;

/// How long the requests of a route run, at upstreams that know their objects and at others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimes {
    familiar_us: f64,
    unfamiliar_ratio: f64,
}

impl RunTimes {
    /// Before any request was seen, for a route with this target.
    pub(crate) fn new(target_ms: u64) -> Self {
        Self {
            familiar_us: (target_ms as f64 * 1e3 * TARGET_PART).max(1.0),
            unfamiliar_ratio: UNFAMILIAR_RATIO,
        }
    }

    /// How long a request runs.
    pub(crate) fn run_us(self, is_familiar: bool) -> f64 {
        match is_familiar {
            true => self.familiar_us,
            false => self.familiar_us * self.unfamiliar_ratio,
        }
    }

    /// Notes a request that did not wait.
    pub(crate) fn note(&mut self, taken_us: f64, is_familiar: bool) {
        if is_familiar {
            self.familiar_us += WEIGHT * (taken_us - self.familiar_us);
        } else {
            let ratio = (taken_us / self.familiar_us).clamp(1.0, RATIO_MAX);
            self.unfamiliar_ratio += WEIGHT * (ratio - self.unfamiliar_ratio);
        }
    }
}
