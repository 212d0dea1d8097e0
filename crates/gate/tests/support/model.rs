//! A model of gateways, clients and upstreams in virtual time, for the patterns of load in which a
//! service is short of capacity.
//!
//! Upstreams run what waits in order of arrival, and turn away what finds their queue full. Requests
//! come at random times that are the same in each run.

use super::{REPLICA, answer, at_ms, forwarded, gate, instance, plan, route};
use gate::{Arrival, Decision, Ending, Gate, Load, NextStep, Target};
use plan::{KeyDigest, RetrySafety, Route, Tenant};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Slots of an upstream, and what it queues at most.
pub const SLOTS: u32 = 4;
const QUEUE_MAX: usize = 80;

/// How long a client that returns at once takes for that, in milliseconds.
const AT_ONCE_MS: u64 = 20;

/// What a client does that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// It gives up.
    GivesUp,
    /// It returns at once.
    ReturnsAtOnce,
    /// It waits as it is told, up to a third of its time.
    ReturnsAsTold,
}

/// A stream of requests: whose they are, how often they come, how long they run and what they want.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    pub path: &'static str,
    /// The number of the tenant; none in plans without tenants.
    pub tenant: Option<usize>,
    pub priority: u32,
    pub target_ms: u64,
    pub timeout_ms: u64,
    pub run_ms: u64,
    pub per_s: f64,
    pub patience: Patience,
    /// From when to when requests come.
    pub from_ms: u64,
    pub until_ms: u64,
}

pub const DEMAND: Demand = Demand {
    path: "/browse/",
    tenant: None,
    priority: 0,
    target_ms: 600,
    timeout_ms: 3_000,
    run_ms: 200,
    per_s: 10.0,
    patience: Patience::GivesUp,
    from_ms: 0,
    until_ms: u64::MAX,
};

/// What became of the requests of a demand.
#[derive(Clone, Debug, Default)]
pub struct Served {
    pub asked: f64,
    /// Answered within the target, counted from the first attempt.
    pub in_time: f64,
    /// Answered before the deadline.
    pub answered: f64,
    /// Requests that were refused and returned once, and those of them that were taken then.
    pub returned: f64,
    pub taken_on_return: f64,
    /// The longest time without any answer, in milliseconds.
    pub longest_gap_ms: u64,
    /// When clients were told to return, and how they were refused.
    pub return_times_ms: Vec<u64>,
    pub causes: BTreeMap<&'static str, u32>,
    /// Admitted requests that were answered after their deadline.
    pub too_late: f64,
    answered_ms: u64,
}

impl Served {
    pub fn share(&self) -> f64 {
        self.answered / self.asked.max(1.0)
    }

    pub fn share_in_time(&self) -> f64 {
        self.in_time / self.asked.max(1.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    demand: usize,
    arrived_ms: u64,
    attempts: u32,
}

#[derive(Debug)]
struct Job {
    gate: usize,
    target: Target,
    request: Request,
}

#[derive(Debug, Default)]
struct Upstream {
    waiting: VecDeque<Job>,
    running: Vec<(u64, Job)>,
}

/// A service with some upstreams behind some gateways.
#[derive(Debug)]
pub struct Model {
    demands: Vec<Demand>,
    gates: Vec<Gate>,
    upstreams: BTreeMap<String, Upstream>,
    /// Requests that clients send, by time.
    arrivals: BTreeMap<u64, Vec<Request>>,
    served: Vec<Served>,
    random: u64,
    next_request: u64,
}

impl Model {
    pub fn new(gateways: usize, upstreams: usize, demands: &[Demand]) -> Self {
        let routes: BTreeMap<&str, Route> =
            demands.iter().map(|it| (it.path, it.route())).collect();
        let mut plan = plan(1, routes.into_values().collect());
        let tenants: BTreeSet<usize> = demands.iter().filter_map(|it| it.tenant).collect();
        plan.tenants = tenants.into_iter().map(tenant).collect();
        let names: Vec<String> = (0..upstreams).map(|n| format!("w-{n}")).collect();
        let instances = names.iter().zip(10..).map(|(name, revision)| {
            let mut instance = instance(name, "catalogue", "east-a", revision);
            instance.slots = SLOTS;
            instance
        });
        let mut answer = answer(90, Some(plan), instances.collect());
        answer.gateways = gateways;
        let gates = (0..gateways).map(|_| {
            let mut gate = gate();
            gate.handle_poll_answer(REPLICA, answer.clone(), at_ms(0));
            gate
        });
        Self {
            demands: demands.to_vec(),
            gates: gates.collect(),
            upstreams: names
                .into_iter()
                .map(|it| (it, Upstream::default()))
                .collect(),
            arrivals: BTreeMap::new(),
            served: vec![Served::default(); demands.len()],
            random: 1,
            next_request: 1,
        }
    }

    /// Plays for some time; returns what became of the requests of each demand. Those of the first
    /// fifth are not counted.
    pub fn play(mut self, length_ms: u64) -> Vec<Served> {
        for ms in 0..length_ms {
            if ms == length_ms / 5 {
                let fresh = Served {
                    answered_ms: ms,
                    ..Served::default()
                };
                self.served.fill(fresh);
            }
            self.end_runs(ms);
            for demand in 0..self.demands.len() {
                let Demand {
                    per_s,
                    from_ms,
                    until_ms,
                    ..
                } = self.demands[demand];
                if (from_ms..until_ms).contains(&ms) && self.next_random() < per_s / 1e3 {
                    self.served[demand].asked += 1.0;
                    let request = Request {
                        demand,
                        arrived_ms: ms,
                        attempts: 0,
                    };
                    self.arrive(request, ms);
                }
            }
            for request in self.arrivals.remove(&ms).unwrap_or_default() {
                self.arrive(request, ms);
            }
            if ms % 100 == 0 {
                for gate in &mut self.gates {
                    gate.tick(at_ms(ms));
                }
            }
            self.start_runs(ms);
        }
        self.served
    }

    fn next_random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn arrive(&mut self, mut request: Request, ms: u64) {
        let demand = self.demands[request.demand];
        request.attempts += 1;
        let gate = (self.next_random() * self.gates.len() as f64) as usize;
        self.next_request += 1;
        let left_ms = demand.timeout_ms.saturating_sub(ms - request.arrived_ms);
        let arrival = Arrival {
            request: self.next_request,
            host: "shop.example",
            path: demand.path,
            timeout_ms: Some(left_ms),
            object: None,
            key: demand.tenant.map(|it| KeyDigest::of(&tenant_name(it))),
        };
        let is_return = request.attempts == 2;
        let served = &mut self.served[request.demand];
        served.returned += f64::from(u8::from(is_return));
        match self.gates[gate].handle_arrival(&arrival, at_ms(ms)) {
            Decision::Refuse {
                retry_after_ms,
                refusal,
                ..
            } => {
                *served.causes.entry(refusal.as_str()).or_default() += 1;
                if request.attempts == 1 {
                    served.return_times_ms.push(ms + retry_after_ms);
                }
                self.refused(request, retry_after_ms, ms);
            }
            decision => {
                served.taken_on_return += f64::from(u8::from(is_return));
                let target = forwarded(decision);
                self.send(
                    Job {
                        gate,
                        target,
                        request,
                    },
                    ms,
                );
            }
        }
    }

    fn send(&mut self, job: Job, ms: u64) {
        let upstream = self.upstreams.get_mut(job.target.upstream.as_str());
        let upstream = upstream.expect("a known upstream");
        if upstream.waiting.len() < QUEUE_MAX {
            return upstream.waiting.push_back(job);
        }
        let load = Some(load(upstream));
        let gate = &mut self.gates[job.gate];
        match gate.attempt_ended(job.target.request, Ending::Full, load, at_ms(ms)) {
            NextStep::Retry(target) => self.send(Job { target, ..job }, ms),
            _ => self.refused(job.request, 100, ms),
        }
    }

    fn refused(&mut self, request: Request, retry_after_ms: u64, ms: u64) {
        let demand = self.demands[request.demand];
        let left_ms = (request.arrived_ms + demand.timeout_ms).saturating_sub(ms);
        let in_ms = match demand.patience {
            Patience::GivesUp => return,
            Patience::ReturnsAtOnce => AT_ONCE_MS,
            Patience::ReturnsAsTold => retry_after_ms.min(left_ms / 3).max(1),
        };
        if in_ms + demand.run_ms < left_ms {
            self.arrivals.entry(ms + in_ms).or_default().push(request);
        }
    }

    fn end_runs(&mut self, ms: u64) {
        for upstream in self.upstreams.values_mut() {
            let ended: Vec<_> = upstream
                .running
                .extract_if(.., |(end_ms, _)| *end_ms <= ms)
                .collect();
            for (
                _,
                Job {
                    gate,
                    target,
                    request,
                },
            ) in ended
            {
                let load = Some(load(upstream));
                self.gates[gate].attempt_ended(target.request, Ending::Answered, load, at_ms(ms));
                let demand = self.demands[request.demand];
                let served = &mut self.served[request.demand];
                let taken_ms = ms - request.arrived_ms;
                served.in_time += f64::from(u8::from(taken_ms <= demand.target_ms));
                served.answered += f64::from(u8::from(taken_ms <= demand.timeout_ms));
                served.too_late += f64::from(u8::from(taken_ms > demand.timeout_ms));
                served.longest_gap_ms = served.longest_gap_ms.max(ms - served.answered_ms);
                served.answered_ms = ms;
            }
        }
    }

    fn start_runs(&mut self, ms: u64) {
        for upstream in self.upstreams.values_mut() {
            while upstream.running.len() < SLOTS as usize
                && let Some(job) = upstream.waiting.pop_front()
            {
                let end_ms = ms + self.demands[job.request.demand].run_ms;
                upstream.running.push((end_ms, job));
            }
        }
    }
}

impl Demand {
    fn route(&self) -> Route {
        let name = self.path.trim_matches('/');
        let parts = [("catalogue", 1_000)];
        let mut route = route(name, self.path, RetrySafety::Idempotent, &parts);
        route.priority = self.priority;
        route.target_ms = self.target_ms;
        route.timeout_ms = self.timeout_ms;
        route
    }
}

fn tenant_name(number: usize) -> String {
    format!("tenant-{number}")
}

fn tenant(number: usize) -> Tenant {
    Tenant {
        name: tenant_name(number),
        keys: vec![KeyDigest::of(&tenant_name(number))],
        priority: None,
        rate_milli_per_s: 0,
        burst: 0,
        home_regions: Vec::new(),
    }
}

fn load(upstream: &Upstream) -> Load {
    Load {
        running: upstream.running.len() as u32,
        waiting: upstream.waiting.len() as u32,
        slots: SLOTS,
        slowness_percent: None,
    }
}
