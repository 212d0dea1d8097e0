//! Poisson arrivals with log-normal work; every chooser sees the same ones.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::f64::consts::TAU;

/// Standard deviation of the logarithm of the work.
const WORK_SIGMA: f64 = 0.8;
/// The first request comes after this time, when every worker has announced itself.
const START_US: f64 = 100_000.0;

/// A stream of requests of one service.
#[derive(Debug)]
pub struct Arrivals {
    rng: SmallRng,
    gap_us: f64,
    mean_us: f64,
    next_us: f64,
}

/// One request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the caller sends it.
    pub at_us: u64,
    /// The time that a warm worker takes for it.
    pub work_us: u64,
    /// Picks the entry, from 0 to 1.
    pub entry_draw: f64,
}

impl Arrivals {
    /// A stream of that rate with that mean work.
    #[must_use]
    pub fn new(seed: u64, rate_per_s: f64, mean_us: f64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            gap_us: 1e6 / rate_per_s,
            mean_us,
            next_us: START_US,
        }
    }

    /// The next request.
    pub fn next_arrival(&mut self) -> Arrival {
        self.next_us += -self.gap_us * (1.0 - self.rng.random::<f64>()).ln();
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * self.rng.random::<f64>()).cos();
        let work = (WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2.0).exp() * self.mean_us;
        Arrival {
            at_us: self.next_us as u64,
            work_us: work as u64,
            entry_draw: self.rng.random(),
        }
    }
}
