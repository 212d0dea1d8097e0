//! A fake of a worker, an upstream with slots: it refuses requests when they are full, is slow
//! while its cache is cold, and may report a wrong load.

/// Factor by which a run takes longer right after a start with a cold cache.
const COLD_FACTOR: f64 = 4.0;
/// Runs for each slot until the cache is warm.
const WARM_RUNS_PER_SLOT: u32 = 30;
/// Factor by which a run takes longer at a worker with [`Fault::Slow`].
const SLOW_FACTOR: f64 = 4.0;
/// Time that a worker with [`Fault::FailsFast`] takes to answer its error.
const FAILURE_US: u64 = 1_000;

/// A permanent fault of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Works and reports its true load, unless reports are stale.
    None,
    /// Answers only errors, at once, and reports no load.
    FailsFast,
    /// Takes longer for each run and reports no load.
    Slow,
    /// Works, but reports that all its slots are in use.
    ClaimsFull,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Index of its service.
    pub service: usize,
    /// Index of its region.
    pub region: usize,
    /// Index of its failure domain within the region.
    pub domain: usize,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// Requests that it is running.
    pub running: u32,
    /// 1 at first; rises each time it stops.
    pub incarnation: u32,
    /// Whether its process is running; if not, connections to it fail at once.
    pub up: bool,
    /// Whether its VM can be reached; if not, connections to it time out.
    pub reachable: bool,
    /// Its fault, set at the start of the experiment.
    pub fault: Fault,
    /// Runs left until its cache is warm.
    pub cold_runs: u32,
    /// Load that it reports for ever, where reports are stale.
    pub stale_load: Option<u32>,
}

impl Worker {
    /// A running worker with a warm cache and no fault.
    #[must_use]
    pub const fn new(service: usize, region: usize, domain: usize, slots: u32) -> Self {
        Self {
            service,
            region,
            domain,
            slots,
            running: 0,
            incarnation: 1,
            up: true,
            reachable: true,
            fault: Fault::None,
            cold_runs: 0,
            stale_load: None,
        }
    }

    /// Takes a slot for a run and returns how long it takes; `None` when every slot is in use.
    ///
    /// `work_us` is the time that a warm worker takes.
    pub fn start_run(&mut self, work_us: u64) -> Option<u64> {
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

    /// Factor by which a run takes longer now; it falls to 1 as the cache gets warm.
    #[must_use]
    pub fn cold_factor(&self) -> f64 {
        let all = f64::from(WARM_RUNS_PER_SLOT * self.slots);
        1.0 + (COLD_FACTOR - 1.0) * f64::from(self.cold_runs) / all
    }

    /// Stops, which aborts its runs.
    pub fn stop(&mut self) {
        self.up = false;
        self.running = 0;
        self.incarnation += 1;
    }

    /// Starts with a cold cache.
    pub fn start_cold(&mut self) {
        self.up = true;
        self.cold_runs = WARM_RUNS_PER_SLOT * self.slots;
    }

    /// The number of running requests that it reports, which may be wrong.
    #[must_use]
    pub const fn reported_load(&self) -> u32 {
        match (self.fault, self.stale_load) {
            (Fault::FailsFast | Fault::Slow, _) => 0,
            (Fault::ClaimsFull, _) => self.slots,
            (Fault::None, Some(load)) => load,
            (Fault::None, None) => self.running,
        }
    }

    /// The status code of its answers.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self.fault {
            Fault::FailsFast => 500,
            _ => 200,
        }
    }
}
