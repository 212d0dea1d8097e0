//! Gateways and upstreams of one service in virtual time. Upstreams run requests in their slots in
//! order of arrival, and state their load in each answer.

use crate::support::{REPLICA, answer, arrival, at_ms, gate_number, instance, plan, route};
use gate::{Arrival, Decision, Ending, Gate, Load, NextStep, StateChange};
use plan::RetrySafety;
use std::collections::VecDeque;

/// The run time of a request at the usual speed.
pub const RUN_MS: u64 = 300;

pub const SLOTS: usize = 9;

#[derive(Clone, Copy)]
struct Sent {
    gateway: usize,
    request: u64,
}

#[derive(Default)]
pub struct FakeUpstream {
    name: String,
    running: Vec<(u64, Sent)>,
    queue: VecDeque<Sent>,
    /// How long work takes, in percent.
    pub slowness_percent: u32,
    /// The figure that it states; none when it states none.
    pub stated_percent: Option<u32>,
    pub fails: bool,
    pub failed: u32,
    pub answered: u32,
    pub most_requests: usize,
}

pub struct Fleet {
    pub gates: Vec<Gate>,
    pub upstreams: Vec<FakeUpstream>,
    pub changes: Vec<StateChange>,
    stated_percent: Option<u32>,
    pub refused: u32,
    pub now_ms: u64,
    arrivals: u64,
    revision: u64,
}

impl Fleet {
    /// A fleet whose upstreams have just started, or long ago. `stated_percent` is the figure that they
    /// state.
    pub fn new(
        gateways: usize,
        upstreams: usize,
        is_fresh: bool,
        stated_percent: Option<u32>,
    ) -> Self {
        let mut fleet = Self {
            gates: (0..gateways).map(gate_number).collect(),
            upstreams: Vec::new(),
            changes: Vec::new(),
            stated_percent,
            refused: 0,
            now_ms: 0,
            arrivals: 0,
            revision: 0,
        };
        for _ in 0..upstreams {
            fleet.start_upstream(is_fresh);
        }
        fleet
    }

    /// Starts one more upstream, which every gateway hears of at once.
    pub fn start_upstream(&mut self, is_fresh: bool) {
        const CLOCK_MS: u64 = 1_000_000;
        self.revision += 1;
        let name = format!("w-{}", "x".repeat(self.upstreams.len()));
        let mut started = instance(&name, "catalogue", "east-a", self.revision);
        started.slots = SLOTS as u32;
        started.born_ms = if is_fresh { CLOCK_MS } else { 1 };
        let gateways = self.gates.len();
        for gate in &mut self.gates {
            let parts = [("catalogue", 1_000)];
            let routes = vec![route("browse", "/browse/", RetrySafety::Idempotent, &parts)];
            let mut answer = answer(self.revision, Some(plan(1, routes)), vec![started.clone()]);
            answer.clock_ms = CLOCK_MS;
            answer.gateways = gateways;
            gate.handle_poll_answer(REPLICA, answer, at_ms(self.now_ms));
        }
        self.upstreams.push(FakeUpstream {
            name,
            slowness_percent: 100,
            stated_percent: self.stated_percent,
            ..FakeUpstream::default()
        });
    }

    /// Runs for a while with this many requests per second, which arrive at the gateways in turn.
    pub fn run(&mut self, for_ms: u64, per_s: u64) {
        for ms in self.now_ms..self.now_ms + for_ms {
            self.now_ms = ms;
            if ms.is_multiple_of(100) {
                for gate in &mut self.gates {
                    gate.tick(at_ms(ms));
                }
            }
            self.end_runs();
            let due = (ms + 1) * per_s / 1_000 - ms * per_s / 1_000;
            for _ in 0..due {
                self.arrive();
            }
        }
        self.now_ms += 1;
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let gateway = self.arrivals as usize % self.gates.len();
        let arrival = Arrival {
            request: self.arrivals,
            ..arrival("/browse/1")
        };
        match self.gates[gateway].handle_arrival(&arrival, at_ms(self.now_ms)) {
            Decision::Forward(target) => {
                let request = target.request;
                self.send(target.upstream.as_str(), Sent { gateway, request });
            }
            Decision::Refuse { .. } => self.refused += 1,
            Decision::NoRoute | Decision::Unauthorized | Decision::Wait => {
                panic!("no route matches")
            }
        }
    }

    fn send(&mut self, name: &str, sent: Sent) {
        let named = self.upstreams.iter().position(|it| it.name == name);
        let index = named.expect("an upstream of the fleet");
        let upstream = &mut self.upstreams[index];
        if upstream.fails {
            upstream.failed += 1;
            return self.answer(index, sent, Ending::Failed);
        }
        upstream.queue.push_back(sent);
        upstream.start_runs(self.now_ms);
        let requests = upstream.running.len() + upstream.queue.len();
        upstream.most_requests = upstream.most_requests.max(requests);
    }

    fn end_runs(&mut self) {
        for index in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[index];
            let now_ms = self.now_ms;
            let (ended, running) = upstream
                .running
                .drain(..)
                .partition(|(ms, _)| *ms <= now_ms);
            upstream.running = running;
            upstream.start_runs(now_ms);
            let ended: Vec<(u64, Sent)> = ended;
            for (_, sent) in ended {
                self.upstreams[index].answered += 1;
                self.answer(index, sent, Ending::Answered);
            }
        }
    }

    fn answer(&mut self, index: usize, sent: Sent, ending: Ending) {
        let load = self.upstreams[index].load();
        let gate = &mut self.gates[sent.gateway];
        let next = gate.attempt_ended(sent.request, ending, Some(load), at_ms(self.now_ms));
        self.changes.extend(gate.take_state_changes());
        if let NextStep::Retry(target) = next {
            self.send(target.upstream.as_str(), sent);
        }
    }
}

impl FakeUpstream {
    fn start_runs(&mut self, now_ms: u64) {
        while self.running.len() < SLOTS {
            let Some(sent) = self.queue.pop_front() else {
                return;
            };
            let ends_ms = now_ms + RUN_MS * u64::from(self.slowness_percent) / 100;
            self.running.push((ends_ms, sent));
        }
    }

    fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: SLOTS as u32,
            slowness_percent: self.stated_percent,
        }
    }
}
