//! What a scenario does to workers and entries.

use crate::{
    events::Event,
    names,
    scenario::Scenario,
    worker::Fault,
    world::{Front, World},
};
use route::{Cap, Output};
use types::{Outcome, ShiftSpec};

/// How long a restart takes.
const RESTART_US: u64 = 500_000;
/// How long an announcement lasts without renewal, and a cached look-up answer at most.
const EXPIRY_US: u64 = 1_800_000;
/// The service that is shifted.
const SHIFTED_SERVICE: usize = 0;
/// The region that it is shifted from.
const FROM_REGION: usize = 0;
/// The part that is shifted in the end.
const SHIFT_PERCENT: u32 = 33;
/// The region that is lost or drained, or that a shift goes to.
const REGION: usize = 1;
/// The entries that are lost.
const LOST_ENTRIES: [usize; 2] = [3, 4];

impl World {
    /// What is wrong from the start.
    pub fn prepare(&mut self, scenario: Scenario) {
        for (index, worker) in self.workers.iter_mut().enumerate() {
            match scenario {
                Scenario::StaleLoad => worker.stale_load = Some(index as u32 % worker.slots),
                Scenario::LyingHealth => {
                    worker.fault = match index % 12 {
                        1 => Fault::FailsFast,
                        5 => Fault::Slow,
                        9 => Fault::ClaimsFull,
                        _ => Fault::None,
                    }
                }
                _ => {}
            }
        }
    }

    /// The incident begins.
    pub fn incident(&mut self, now_us: u64, scenario: Scenario, cap: Cap) {
        match scenario {
            Scenario::Calm | Scenario::StaleLoad | Scenario::LyingHealth => {}
            Scenario::ColdRestart => {
                for worker in (0..self.workers.len()).step_by(3) {
                    self.lose_runs(now_us, worker, Some(self.site.domain_delay_us));
                }
                self.events.push(now_us + RESTART_US, Event::Recovery);
            }
            Scenario::RegionLoss => self.lose_region(now_us),
            Scenario::EntryLoss => {
                for entry in LOST_ENTRIES {
                    self.lose_entry(now_us, entry);
                }
                self.events
                    .push(now_us + EXPIRY_US, Event::AnnouncementsExpire);
            }
            Scenario::RegionDrain => self.drain_region(now_us),
            Scenario::Shift => self.shift(now_us, cap),
        }
    }

    /// Restarted workers come back.
    pub fn recovery(&mut self) {
        for worker in (0..self.workers.len()).step_by(3) {
            self.workers[worker].start_cold();
        }
    }

    /// Entries forget lost workers, and callers lost entries.
    pub fn announcements_expire(&mut self, now_us: u64) {
        self.entry_listed.clone_from(&self.entry_up);
        let workers = 0..self.workers.len();
        let lost: Vec<usize> = workers.filter(|&w| !self.workers[w].reachable).collect();
        let lost_entries: Vec<usize> = (0..self.entry_up.len())
            .filter(|&entry| !self.entry_up[entry])
            .collect();
        for entry in self.entries_up() {
            let Front::Routers(entries) = &mut self.front else {
                return;
            };
            let gone = lost
                .iter()
                .map(|&worker| entries.gone(entry, now_us, worker));
            let mut outputs: Vec<Output> = gone.flatten().collect();
            for &lost in &lost_entries {
                outputs.extend(entries.entry_lost(entry, now_us, lost));
            }
            self.apply(now_us, &outputs);
        }
    }

    /// Entries that are up.
    pub fn entries_up(&self) -> Vec<usize> {
        (0..self.entry_up.len())
            .filter(|&entry| self.entry_up[entry])
            .collect()
    }

    fn lose_region(&mut self, now_us: u64) {
        for worker in 0..self.workers.len() {
            if self.workers[worker].region == REGION {
                self.workers[worker].reachable = false;
                self.lose_runs(now_us, worker, None);
            }
        }
        for entry in 0..self.entry_up.len() {
            if self.site.entry_regions[entry] == REGION {
                self.lose_entry(now_us, entry);
            }
        }
        self.events
            .push(now_us + EXPIRY_US, Event::AnnouncementsExpire);
    }

    fn lose_entry(&mut self, now_us: u64, entry: usize) {
        self.entry_up[entry] = false;
        for region in &mut self.regions {
            region.lose(entry);
        }
        for id in 0..self.requests.len() {
            let request = &mut self.requests[id];
            if request.open && request.entry == entry && request.attempt > 0 {
                request.in_flight = false;
                self.close(now_us, id, Outcome::Unknown, 0);
            }
        }
    }

    fn shift(&mut self, now_us: u64, cap: Cap) {
        for worker in &mut self.workers {
            if worker.service == SHIFTED_SERVICE && worker.region == REGION {
                worker.start_cold();
            }
        }
        let spec = ShiftSpec {
            service: names::service(&self.site, SHIFTED_SERVICE),
            from: names::region(&self.site, FROM_REGION),
            to: names::region(&self.site, REGION),
            target_percent: SHIFT_PERCENT,
            cap_percent: cap.percent,
            interval_ms: cap.interval_ms,
        };
        for entry in self.entries_up() {
            if let Front::Routers(entries) = &mut self.front {
                let outputs = entries.shift(entry, now_us, &spec);
                self.apply(now_us, &outputs);
            }
        }
    }

    fn drain_region(&mut self, now_us: u64) {
        self.draining = Some((REGION, now_us));
        if let Front::AllKnowing(chooser) = &mut self.front {
            chooser.drain(REGION);
        }
        for entry in self.entries_up() {
            if let Front::Routers(entries) = &mut self.front {
                let outputs = entries.drain(entry, now_us, REGION);
                self.apply(now_us, &outputs);
            }
        }
    }
}
