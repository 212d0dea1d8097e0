//! The faults and operator's actions of each scenario, and how workers and entries undergo them.

use crate::{
    events::Event,
    names,
    scenario::Scenario,
    worker::Fault,
    world::{Selector, World},
};
use route::{Cap, Output};
use types::{Outcome, ShiftSpec};

/// Time from the stop of a worker to its start.
const RESTART_US: u64 = 500_000;
/// Time after which an announcement without renewal expires, and at most a cached look-up answer.
const EXPIRY_US: u64 = 1_800_000;
/// The service that [`Scenario::Shift`] shifts.
const SHIFTED_SERVICE: usize = 0;
/// The region that [`Scenario::Shift`] moves traffic from.
const SHIFT_FROM_REGION: usize = 0;
/// Percentage of the traffic that is shifted in the end.
const SHIFT_PERCENT: u32 = 33;
/// The region that is lost or drained, or that a shift moves traffic to.
const AFFECTED_REGION: usize = 1;
/// The entries that [`Scenario::EntryLoss`] loses.
const LOST_ENTRIES: [usize; 2] = [3, 4];

impl World {
    /// Sets the faults that last for the whole experiment.
    pub fn set_initial_faults(&mut self, scenario: Scenario) {
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

    /// Starts the scenario's incident, if it has one.
    pub fn begin_incident(&mut self, now_us: u64, scenario: Scenario, cap: Cap) {
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

    /// Starts the workers that [`Scenario::ColdRestart`] stopped.
    pub fn restart_workers(&mut self) {
        for worker in (0..self.workers.len()).step_by(3) {
            self.workers[worker].start_cold();
        }
    }

    /// Removes lost workers from the routers, and lost entries from the routers and callers.
    pub fn expire_announcements(&mut self, now_us: u64) {
        self.entry_listed.clone_from(&self.entry_up);
        let workers = 0..self.workers.len();
        let lost: Vec<usize> = workers.filter(|&w| !self.workers[w].reachable).collect();
        let lost_entries: Vec<usize> = (0..self.entry_up.len())
            .filter(|&entry| !self.entry_up[entry])
            .collect();
        for entry in self.entries_up() {
            let Selector::Routers(entries) = &mut self.selector else {
                return;
            };
            let expired = lost
                .iter()
                .map(|&worker| entries.expire_worker(entry, now_us, worker));
            let mut outputs: Vec<Output> = expired.flatten().collect();
            for &lost in &lost_entries {
                outputs.extend(entries.entry_lost(entry, now_us, lost));
            }
            self.apply(now_us, &outputs);
        }
    }

    /// Indices of the entries that are up.
    pub fn entries_up(&self) -> Vec<usize> {
        (0..self.entry_up.len())
            .filter(|&entry| self.entry_up[entry])
            .collect()
    }

    fn lose_region(&mut self, now_us: u64) {
        for worker in 0..self.workers.len() {
            if self.workers[worker].region == AFFECTED_REGION {
                self.workers[worker].reachable = false;
                self.lose_runs(now_us, worker, None);
            }
        }
        for entry in 0..self.entry_up.len() {
            if self.site.entry_regions[entry] == AFFECTED_REGION {
                self.lose_entry(now_us, entry);
            }
        }
        self.events
            .push(now_us + EXPIRY_US, Event::AnnouncementsExpire);
    }

    fn lose_entry(&mut self, now_us: u64, entry: usize) {
        self.entry_up[entry] = false;
        for region in &mut self.regions {
            region.clear_entry(entry);
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
            if worker.service == SHIFTED_SERVICE && worker.region == AFFECTED_REGION {
                worker.start_cold();
            }
        }
        let spec = ShiftSpec {
            service: names::service(&self.site, SHIFTED_SERVICE),
            from: names::region(&self.site, SHIFT_FROM_REGION),
            to: names::region(&self.site, AFFECTED_REGION),
            target_percent: SHIFT_PERCENT,
            cap_percent: cap.percent,
            interval_ms: cap.interval_ms,
        };
        for entry in self.entries_up() {
            if let Selector::Routers(entries) = &mut self.selector {
                let outputs = entries.shift(entry, now_us, &spec);
                self.apply(now_us, &outputs);
            }
        }
    }

    fn drain_region(&mut self, now_us: u64) {
        self.draining = Some((AFFECTED_REGION, now_us));
        if let Selector::AllKnowing(chooser) = &mut self.selector {
            chooser.drain(AFFECTED_REGION);
        }
        for entry in self.entries_up() {
            if let Selector::Routers(entries) = &mut self.selector {
                let outputs = entries.drain(entry, now_us, AFFECTED_REGION);
                self.apply(now_us, &outputs);
            }
        }
    }
}
