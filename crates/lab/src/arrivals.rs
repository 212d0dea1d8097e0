//! Generates the requests: Poisson arrivals with log-normal work, the same for every chooser.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::f64::consts::TAU;

/// Standard deviation of the logarithm of the work.
const WORK_SIGMA: f64 = 0.8;
/// Earliest time of a request; by then every worker has announced itself.
const START_US: f64 = 100_000.0;

/// Generator of the requests of one service.
#[derive(Debug)]
pub struct Arrivals {
    rng: SmallRng,
    gap_us: f64,
    mean_us: f64,
    next_us: f64,
}

/// A request before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time at which the caller sends it.
    pub at_us: u64,
    /// Time that a warm worker takes to run it.
    pub work_us: u64,
    /// Random number from 0 to 1 that picks the entry.
    pub entry_draw: f64,
}

impl Arrivals {
    /// A generator with this mean rate and this mean time of a run.
    #[must_use]
    pub fn new(seed: u64, rate_per_s: f64, mean_us: f64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            gap_us: 1e6 / rate_per_s,
            mean_us,
            next_us: START_US,
        }
    }

    /// Draws the next request; requests come in the order of their times.
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
