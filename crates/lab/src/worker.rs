//! A fake of a worker: slots, shedding, cold caches and reports that may be wrong.

/// How much slower a worker with a cold cache is.
const COLD_FACTOR: f64 = 4.0;
/// Runs for each slot until the cache is warm.
const WARM_RUNS_PER_SLOT: u32 = 30;
/// How much slower a slow worker is.
const SLOW_FACTOR: f64 = 4.0;
/// How soon a failing worker answers its error.
const FAILURE_US: u64 = 1_000;

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It answers only errors, at once, and reports no load.
    FailsFast,
    /// It is slow and reports no load.
    Slow,
    /// It is well and reports that it is full.
    ClaimsFull,
}

/// A fake of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its service.
    pub service: usize,
    /// Its region.
    pub region: usize,
    /// Its failure domain within the region.
    pub domain: usize,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it runs now.
    pub running: u32,
    /// Counts its starts.
    pub life: u32,
    /// Whether it answers.
    pub up: bool,
    /// Whether it can be reached.
    pub reachable: bool,
    /// What is wrong with it.
    pub fault: Fault,
    /// Runs left until its cache is warm.
    pub cold_runs: u32,
    /// Load that it reports, once reports are stale.
    pub stale_load: Option<u32>,
}

impl Worker {
    /// A warm worker.
    #[must_use]
    pub const fn new(service: usize, region: usize, domain: usize, slots: u32) -> Self {
        Self {
            service,
            region,
            domain,
            slots,
            running: 0,
            life: 1,
            up: true,
            reachable: true,
            fault: Fault::None,
            cold_runs: 0,
            stale_load: None,
        }
    }

    /// Begins a run of this much work; `None` when every slot is taken.
    pub fn begin(&mut self, work_us: u64) -> Option<u64> {
        if self.running >= self.slots {
            return None;
        }
        self.running += 1;
        let run_us = match self.fault {
            Fault::FailsFast => FAILURE_US,
            Fault::Slow => (work_us as f64 * SLOW_FACTOR) as u64,
            Fault::None | Fault::ClaimsFull => (work_us as f64 * self.cold_factor()) as u64,
        };
        self.cold_runs = self.cold_runs.saturating_sub(1);
        Some(run_us.max(1))
    }

    /// How much slower it is now for its cold cache.
    #[must_use]
    pub fn cold_factor(&self) -> f64 {
        let all = f64::from(WARM_RUNS_PER_SLOT * self.slots);
        1.0 + (COLD_FACTOR - 1.0) * f64::from(self.cold_runs) / all
    }

    /// Stops, and loses what it runs.
    pub fn stop(&mut self) {
        self.up = false;
        self.running = 0;
        self.life += 1;
    }

    /// Starts with a cold cache.
    pub fn start_cold(&mut self) {
        self.up = true;
        self.cold_runs = WARM_RUNS_PER_SLOT * self.slots;
    }

    /// The load that it reports.
    #[must_use]
    pub const fn reported_load(&self) -> u32 {
        match (self.fault, self.stale_load) {
            (Fault::FailsFast | Fault::Slow, _) => 0,
            (Fault::ClaimsFull, _) => self.slots,
            (Fault::None, Some(load)) => load,
            (Fault::None, None) => self.running,
        }
    }

    /// The status of its answers.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self.fault {
            Fault::FailsFast => 500,
            _ => 200,
        }
    }
}
