//! The state of an experiment: requests, workers, links and who chooses.

use crate::{
    allknowing::{AllKnowing, Waiting},
    arrivals::{Arrival, Arrivals},
    caps::CapCheck,
    deployment::Site,
    entries::Entries,
    events::{EndingCode, Event, Events},
    link::Link,
    measure::Measure,
    names,
    shares::RegionShares,
    worker::Worker,
};
use route::Output;
use types::Outcome;

/// The size of a request on a link.
const REQUEST_BYTES: u64 = 1_000;
/// How long a connection to a lost VM takes to fail.
pub const CONNECT_TIMEOUT_US: u64 = 250_000;
/// How long a connection to a lost VM takes to break.
const BREAK_TIMEOUT_US: u64 = 500_000;

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub service: usize,
    pub entry: usize,
    pub sent_us: u64,
    pub work_us: u64,
    pub deadline_us: u64,
    pub attempt: u32,
    pub worker: usize,
    pub runs: u32,
    pub open: bool,
    pub in_flight: bool,
    pub moved: bool,
}

/// Who chooses the upstreams.
#[derive(Debug)]
pub enum Front {
    Routers(Entries),
    AllKnowing(AllKnowing),
}

/// The state of an experiment.
#[derive(Debug)]
pub struct World {
    pub site: Site,
    pub events: Events,
    pub workers: Vec<Worker>,
    pub links: Vec<Vec<Link>>,
    pub requests: Vec<Request>,
    /// Attempts that each worker holds.
    pub held: Vec<Vec<(usize, u32)>>,
    pub entry_up: Vec<bool>,
    /// Whether callers know the entry as usable.
    pub entry_listed: Vec<bool>,
    pub regions: Vec<RegionShares>,
    pub front: Front,
    pub measure: Measure,
    pub caps: CapCheck,
    pub arrivals: Vec<Arrivals>,
    pub pending: Vec<Arrival>,
    pub warm_us: u64,
    pub end_us: u64,
    pub draining: Option<(usize, u64)>,
}

impl World {
    /// A request as the all-knowing chooser sees it.
    pub fn waiting(&self, id: usize) -> Waiting {
        let request = &self.requests[id];
        Waiting {
            request: id,
            region: self.site.entry_regions[request.entry],
            domain: names::entry_domain(request.entry),
            deadline_us: request.deadline_us,
            work_us: request.work_us,
        }
    }

    /// Carries out what a router decided.
    pub fn apply(&mut self, now_us: u64, outputs: &[Output]) {
        for output in outputs {
            match output {
                Output::Forward {
                    request, upstream, ..
                } => {
                    if let Some(worker) = names::worker_index(upstream) {
                        self.forward(now_us, request.0 as usize, worker);
                    }
                }
                Output::Settle { request, settled } => {
                    if let Some(refusal) = settled.refusal {
                        *self.measure.refusals.entry(refusal.into()).or_default() += 1;
                    }
                    self.close(now_us, request.0 as usize, settled.outcome, 0);
                }
                Output::Cancel { .. } => {}
            }
        }
    }

    /// Lets the all-knowing chooser place what it can.
    pub fn grant_all(&mut self, now_us: u64, service: usize) {
        let way_us = self.site.domain_delay_us;
        loop {
            let Front::AllKnowing(chooser) = &mut self.front else {
                return;
            };
            if let Some(request) = chooser.expired(now_us, service, way_us) {
                self.close(now_us, request, Outcome::DidNotRun, 0);
                continue;
            }
            let Some((request, worker)) = chooser.grant(&self.site, service, &self.workers) else {
                return;
            };
            self.forward(now_us, request, worker);
        }
    }

    fn forward(&mut self, now_us: u64, id: usize, worker: usize) {
        let request = &mut self.requests[id];
        request.attempt += 1;
        request.worker = worker;
        request.in_flight = true;
        self.measure.attempts += 1;
        self.measure.forwarded += u64::from(request.attempt == 1);
        let (entry, attempt, deadline_us) = (request.entry, request.attempt, request.deadline_us);
        let elsewhere = self.site.entry_regions[entry] != self.workers[worker].region;
        if elsewhere && !request.moved {
            request.moved = true;
            self.caps.moved(entry, request.service);
        }
        self.end_at(deadline_us, id, attempt, EndingCode::Broken);
        let region = &mut self.regions[self.workers[worker].region];
        region.begin(entry);
        self.measure.note_share_headroom(region.headroom_percent());
        let at_us = self.way_us(now_us, entry, worker, REQUEST_BYTES, true);
        self.events.push(
            at_us,
            Event::AtWorker {
                request: id,
                attempt,
                worker,
            },
        );
    }

    /// When bytes sent now arrive at the other end.
    fn way_us(&mut self, now_us: u64, entry: usize, worker: usize, bytes: u64, there: bool) -> u64 {
        let (from, to) = (self.site.entry_regions[entry], self.workers[worker].region);
        if from != to {
            let (from, to) = if there { (from, to) } else { (to, from) };
            return self.links[from][to].send(now_us, bytes);
        }
        let same_domain = names::entry_domain(entry) == self.workers[worker].domain;
        now_us
            + match same_domain {
                true => self.site.local_delay_us,
                false => self.site.domain_delay_us,
            }
    }

    /// An attempt reaches its worker.
    pub fn at_worker(&mut self, now_us: u64, id: usize, attempt: u32, worker: usize) {
        let request = self.requests[id];
        let target = &mut self.workers[worker];
        if !target.reachable {
            self.end_at(
                now_us + CONNECT_TIMEOUT_US,
                id,
                attempt,
                EndingCode::NotSent,
            );
            return;
        }
        let run_us = match target.up {
            true => target.begin(request.work_us),
            false => None,
        };
        let (up, life) = (target.up, target.life);
        let Some(run_us) = run_us else {
            let ending = match up {
                true => EndingCode::Refused,
                false => EndingCode::NotSent,
            };
            let back_us = self.way_us(now_us, request.entry, worker, REQUEST_BYTES, false);
            self.end_at(back_us, id, attempt, ending);
            return;
        };
        self.held[worker].push((id, attempt));
        self.note_running(self.workers[worker].region);
        self.requests[id].runs += 1;
        let idempotent = self.site.services[request.service].idempotent;
        self.measure.second_runs += u64::from(request.runs > 0 && !idempotent);
        let done = Event::RunDone {
            request: id,
            attempt,
            worker,
            life,
        };
        self.events.push(now_us + run_us, done);
    }

    /// Samples the use of all slots within the measured time.
    pub fn sample(&mut self, now_us: u64) {
        if !(self.warm_us..self.end_us).contains(&now_us) {
            return;
        }
        let slots: u32 = self.workers.iter().map(|worker| worker.slots).sum();
        let running: u32 = self.workers.iter().map(|worker| worker.running).sum();
        let reserved: u32 = self.regions.iter().map(RegionShares::in_flight).sum();
        let percent = |taken: u32| 100.0 * f64::from(taken) / f64::from(slots);
        self.measure.running.add(percent(running));
        self.measure.reserved.add(percent(reserved));
    }

    fn note_running(&mut self, region: usize) {
        let here = self.workers.iter().filter(|w| w.region == region);
        let running = here.map(|worker| worker.running).sum();
        let headroom = self.regions[region].headroom_of(running);
        self.measure.note_region_headroom(headroom);
    }

    fn end_at(&mut self, at_us: u64, request: usize, attempt: u32, ending: EndingCode) {
        let event = Event::AttemptEnded {
            request,
            attempt,
            ending,
        };
        self.events.push(at_us, event);
    }

    /// A worker finishes a run.
    pub fn run_done(&mut self, now_us: u64, id: usize, attempt: u32, worker: usize, life: u32) {
        if self.workers[worker].life != life {
            return;
        }
        self.workers[worker].running -= 1;
        self.held[worker].retain(|&held| held != (id, attempt));
        let request = self.requests[id];
        let bytes = self.site.services[request.service].answer_bytes;
        let back_us = self.way_us(now_us, request.entry, worker, bytes, false);
        let status = self.workers[worker].status();
        self.end_at(back_us, id, attempt, EndingCode::Finished(status));
        if let Front::AllKnowing(chooser) = &mut self.front {
            chooser.release(worker);
            self.grant_all(now_us, request.service);
        }
    }

    /// A worker loses what it runs; the entries notice after `notice_us`.
    pub fn lose_runs(&mut self, now_us: u64, worker: usize, notice_us: Option<u64>) {
        self.workers[worker].stop();
        for (request, attempt) in std::mem::take(&mut self.held[worker]) {
            let at_us = now_us + notice_us.unwrap_or(BREAK_TIMEOUT_US);
            self.end_at(at_us, request, attempt, EndingCode::Broken);
            if let Front::AllKnowing(chooser) = &mut self.front {
                chooser.release(worker);
            }
        }
    }

    /// The end of an attempt reaches the entry.
    pub fn attempt_ended(&mut self, now_us: u64, id: usize, attempt: u32, ending: EndingCode) {
        let request = self.requests[id];
        if !request.open || request.attempt != attempt || !request.in_flight {
            return;
        }
        self.requests[id].in_flight = false;
        self.regions[self.workers[request.worker].region].end(request.entry);
        if let EndingCode::Finished(status) = ending {
            self.close(now_us, id, Outcome::Finished, status);
        }
        let waiting = self.waiting(id);
        let idempotent = self.site.services[request.service].idempotent;
        match &mut self.front {
            Front::Routers(entries) => {
                let outputs = entries.ended(request.entry, now_us, id, ending);
                self.apply(now_us, &outputs);
            }
            Front::AllKnowing(chooser) => match ending {
                EndingCode::Finished(_) => {}
                EndingCode::Broken if !idempotent || request.deadline_us <= now_us => {
                    self.close(now_us, id, Outcome::Unknown, 0);
                }
                EndingCode::NotSent | EndingCode::Refused | EndingCode::Broken => {
                    if ending != EndingCode::Broken {
                        chooser.release(request.worker);
                    }
                    chooser.push_front(request.service, waiting);
                    self.grant_all(now_us, request.service);
                }
            },
        }
        self.note_drained(now_us);
    }

    fn note_drained(&mut self, now_us: u64) {
        if let Some((region, since_us)) = self.draining
            && self.regions[region].in_flight() == 0
        {
            self.measure.drain_us.get_or_insert(now_us - since_us);
        }
    }

    /// A request has its outcome.
    pub fn close(&mut self, now_us: u64, id: usize, outcome: Outcome, status: u16) {
        let request = &mut self.requests[id];
        if !request.open {
            return;
        }
        request.open = false;
        let at_us = now_us + self.site.caller_delay_us;
        if outcome == Outcome::Finished
            && status < 500
            && (self.warm_us..self.end_us).contains(&now_us)
        {
            self.measure.finished_in_time += 1;
        }
        if request.sent_us >= self.warm_us {
            self.measure.close(outcome, status, at_us - request.sent_us);
        }
    }
}
