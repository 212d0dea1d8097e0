//! The state of a running experiment, and the path of a request through it: from the entry to a
//! worker and back, until it has its outcome.

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

/// Size of a request on a link, and of a refusal.
const REQUEST_BYTES: u64 = 1_000;
/// Time after which an attempt to connect to a lost VM fails.
pub const CONNECT_TIMEOUT_US: u64 = 250_000;
/// Time after which an open connection to a lost VM breaks.
const BREAK_TIMEOUT_US: u64 = 500_000;

/// The state of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub service: usize,
    pub entry: usize,
    /// Time at which the caller sent it.
    pub sent_us: u64,
    /// Time that a warm worker takes to run it.
    pub work_us: u64,
    pub deadline_us: u64,
    /// Number of the last attempt; 0 before the first.
    pub attempt: u32,
    /// The worker of the last attempt.
    pub worker: usize,
    /// Runs that workers began.
    pub runs: u32,
    /// Whether it has no outcome yet.
    pub open: bool,
    /// Whether its last attempt has not ended yet.
    pub in_flight: bool,
    /// Whether an attempt went to another region than the entry's.
    pub left_region: bool,
}

/// The state of the experiment's chooser of upstreams.
#[derive(Debug)]
pub enum Selector {
    Routers(Entries),
    AllKnowing(AllKnowing),
}

/// The state of an experiment. Everything is named by its index.
#[derive(Debug)]
pub struct World {
    pub site: Site,
    pub events: Events,
    pub workers: Vec<Worker>,
    /// Links by the region that sends, then the region that receives.
    pub links: Vec<Vec<Link>>,
    pub requests: Vec<Request>,
    /// Request and attempt of each run, by worker.
    pub running_attempts: Vec<Vec<(usize, u32)>>,
    pub entry_up: Vec<bool>,
    /// Whether callers' look-ups still list the entry as usable.
    pub entry_listed: Vec<bool>,
    pub regions: Vec<RegionShares>,
    pub selector: Selector,
    pub measure: Measure,
    pub caps: CapCheck,
    pub arrivals: Vec<Arrivals>,
    /// The next request of each service.
    pub next_arrivals: Vec<Arrival>,
    /// Time at which the measured time begins.
    pub warm_up_us: u64,
    /// Time at which arrivals and the measured time end.
    pub end_us: u64,
    /// The region that is drained, and since when.
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

    /// Carries out the outputs of a router.
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

    /// Lets the all-knowing chooser refuse expired requests of a service and forward what it can;
    /// does nothing with routers.
    pub fn place_waiting(&mut self, now_us: u64, service: usize) {
        let one_way_us = self.site.domain_delay_us;
        loop {
            let Selector::AllKnowing(chooser) = &mut self.selector else {
                return;
            };
            if let Some(request) = chooser.pop_expired(now_us, service, one_way_us) {
                self.close(now_us, request, Outcome::DidNotRun, 0);
                continue;
            }
            let Some((request, worker)) = chooser.place_next(&self.site, service, &self.workers)
            else {
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
        let is_remote = self.site.entry_regions[entry] != self.workers[worker].region;
        if is_remote && !request.left_region {
            request.left_region = true;
            self.caps.record_remote_request(entry, request.service);
        }
        self.end_at(deadline_us, id, attempt, EndingCode::Broken);
        let region = &mut self.regions[self.workers[worker].region];
        region.start_request(entry);
        self.measure
            .record_share_headroom(region.headroom_percent());
        let at_us = self.arrival_us(now_us, entry, worker, REQUEST_BYTES, true);
        self.events.push(
            at_us,
            Event::AttemptAtWorker {
                request: id,
                attempt,
                worker,
            },
        );
    }

    /// Time at which bytes that are sent now between an entry and a worker arrive.
    fn arrival_us(
        &mut self,
        now_us: u64,
        entry: usize,
        worker: usize,
        bytes: u64,
        to_worker: bool,
    ) -> u64 {
        let (from, to) = (self.site.entry_regions[entry], self.workers[worker].region);
        if from != to {
            let (from, to) = if to_worker { (from, to) } else { (to, from) };
            return self.links[from][to].send(now_us, bytes);
        }
        let same_domain = names::entry_domain(entry) == self.workers[worker].domain;
        now_us
            + match same_domain {
                true => self.site.local_delay_us,
                false => self.site.domain_delay_us,
            }
    }

    /// An attempt reaches its worker, which starts a run or refuses.
    pub fn handle_attempt_at_worker(
        &mut self,
        now_us: u64,
        id: usize,
        attempt: u32,
        worker: usize,
    ) {
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
            true => target.start_run(request.work_us),
            false => None,
        };
        let (up, incarnation) = (target.up, target.incarnation);
        let Some(run_us) = run_us else {
            let ending = match up {
                true => EndingCode::Refused,
                false => EndingCode::NotSent,
            };
            let back_us = self.arrival_us(now_us, request.entry, worker, REQUEST_BYTES, false);
            self.end_at(back_us, id, attempt, ending);
            return;
        };
        self.running_attempts[worker].push((id, attempt));
        self.record_running(self.workers[worker].region);
        self.requests[id].runs += 1;
        let idempotent = self.site.services[request.service].idempotent;
        self.measure.second_runs += u64::from(request.runs > 0 && !idempotent);
        let done = Event::RunDone {
            request: id,
            attempt,
            worker,
            incarnation,
        };
        self.events.push(now_us + run_us, done);
    }

    /// Samples how many slots are in use; does nothing outside the measured time.
    pub fn sample(&mut self, now_us: u64) {
        if !(self.warm_up_us..self.end_us).contains(&now_us) {
            return;
        }
        let slots: u32 = self.workers.iter().map(|worker| worker.slots).sum();
        let running: u32 = self.workers.iter().map(|worker| worker.running).sum();
        let reserved: u32 = self.regions.iter().map(RegionShares::in_flight).sum();
        let percent = |taken: u32| 100.0 * f64::from(taken) / f64::from(slots);
        self.measure.running.add(percent(running));
        self.measure.reserved.add(percent(reserved));
    }

    fn record_running(&mut self, region: usize) {
        let here = self.workers.iter().filter(|w| w.region == region);
        let running = here.map(|worker| worker.running).sum();
        let headroom = self.regions[region].headroom_of(running);
        self.measure.record_region_headroom(headroom);
    }

    fn end_at(&mut self, at_us: u64, request: usize, attempt: u32, ending: EndingCode) {
        let event = Event::AttemptEnded {
            request,
            attempt,
            ending,
        };
        self.events.push(at_us, event);
    }

    /// A worker finishes a run and sends its answer.
    pub fn handle_run_done(
        &mut self,
        now_us: u64,
        id: usize,
        attempt: u32,
        worker: usize,
        incarnation: u32,
    ) {
        if self.workers[worker].incarnation != incarnation {
            return;
        }
        self.workers[worker].running -= 1;
        self.running_attempts[worker].retain(|&running| running != (id, attempt));
        let request = self.requests[id];
        let bytes = self.site.services[request.service].answer_bytes;
        let back_us = self.arrival_us(now_us, request.entry, worker, bytes, false);
        let status = self.workers[worker].status();
        self.end_at(back_us, id, attempt, EndingCode::Finished(status));
        if let Selector::AllKnowing(chooser) = &mut self.selector {
            chooser.release(worker);
            self.place_waiting(now_us, request.service);
        }
    }

    /// Stops a worker, which aborts its runs. The entries notice after `notice_us`; with `None`,
    /// after the timeout of a connection to a lost VM.
    pub fn lose_runs(&mut self, now_us: u64, worker: usize, notice_us: Option<u64>) {
        self.workers[worker].stop();
        for (request, attempt) in std::mem::take(&mut self.running_attempts[worker]) {
            let at_us = now_us + notice_us.unwrap_or(BREAK_TIMEOUT_US);
            self.end_at(at_us, request, attempt, EndingCode::Broken);
            if let Selector::AllKnowing(chooser) = &mut self.selector {
                chooser.release(worker);
            }
        }
    }

    /// The end of an attempt reaches the entry; ignored unless it is the last attempt of an open
    /// request.
    pub fn handle_attempt_ended(
        &mut self,
        now_us: u64,
        id: usize,
        attempt: u32,
        ending: EndingCode,
    ) {
        let request = self.requests[id];
        if !request.open || request.attempt != attempt || !request.in_flight {
            return;
        }
        self.requests[id].in_flight = false;
        self.regions[self.workers[request.worker].region].end_request(request.entry);
        if let EndingCode::Finished(status) = ending {
            self.close(now_us, id, Outcome::Finished, status);
        }
        let waiting = self.waiting(id);
        let idempotent = self.site.services[request.service].idempotent;
        match &mut self.selector {
            Selector::Routers(entries) => {
                let outputs = entries.end_attempt(request.entry, now_us, id, ending);
                self.apply(now_us, &outputs);
            }
            Selector::AllKnowing(chooser) => match ending {
                EndingCode::Finished(_) => {}
                EndingCode::Broken if !idempotent || request.deadline_us <= now_us => {
                    self.close(now_us, id, Outcome::Unknown, 0);
                }
                EndingCode::NotSent | EndingCode::Refused | EndingCode::Broken => {
                    if ending != EndingCode::Broken {
                        chooser.release(request.worker);
                    }
                    chooser.push_front(request.service, waiting);
                    self.place_waiting(now_us, request.service);
                }
            },
        }
        self.record_drain_end(now_us);
    }

    fn record_drain_end(&mut self, now_us: u64) {
        if let Some((region, since_us)) = self.draining
            && self.regions[region].in_flight() == 0
        {
            self.measure.drain_us.get_or_insert(now_us - since_us);
        }
    }

    /// Gives a request its outcome and measures it; ignored when it has one already.
    pub fn close(&mut self, now_us: u64, id: usize, outcome: Outcome, status: u16) {
        let request = &mut self.requests[id];
        if !request.open {
            return;
        }
        request.open = false;
        let at_us = now_us + self.site.caller_delay_us;
        if outcome == Outcome::Finished
            && status < 500
            && (self.warm_up_us..self.end_us).contains(&now_us)
        {
            self.measure.finished_in_window += 1;
        }
        if request.sent_us >= self.warm_up_us {
            self.measure
                .record_outcome(outcome, status, at_us - request.sent_us);
        }
    }
}
