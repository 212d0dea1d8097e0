//! The pattern of load in which routes of different urgency want more of one service than it can
//! run.
//!
//! The upstream here runs what waits in order of arrival, and turns away what finds its queue full.

mod support;

use gate::{Arrival, Decision, Ending, Gate, Load};
use plan::{RetrySafety, Route};
use std::collections::{BTreeMap, VecDeque};
use support::{REPLICA, answer, arrival, at_ms, gate, instance, plan, route};

const SLOTS: u32 = 3;
const QUEUE_MAX: usize = 60;

/// One route's requests: how often they come, how long they run and what they want.
#[derive(Clone, Copy, Debug)]
struct Demand {
    path: &'static str,
    priority: u32,
    target_ms: u64,
    timeout_ms: u64,
    run_ms: u64,
    every_ms: u64,
}

impl Demand {
    fn route(self) -> Route {
        let name = self.path.trim_matches('/');
        let parts = [("catalogue", 1_000)];
        let mut route = route(name, self.path, RetrySafety::Idempotent, &parts);
        route.priority = self.priority;
        route.target_ms = self.target_ms;
        route.timeout_ms = self.timeout_ms;
        route
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Served {
    asked: u32,
    in_time: u32,
    answered: u32,
}

impl Served {
    fn share(self) -> f64 {
        f64::from(self.answered) / f64::from(self.asked.max(1))
    }
}

/// A request at the upstream.
#[derive(Clone, Copy, Debug)]
struct Job {
    request: u64,
    demand: usize,
    arrived_ms: u64,
}

/// Plays the demands for some time against one upstream; returns how each was served.
fn play(demands: &[Demand], length_ms: u64) -> Vec<Served> {
    let mut gate = serving(demands);
    let mut served = vec![Served::default(); demands.len()];
    let mut waiting: VecDeque<Job> = VecDeque::new();
    let mut running: BTreeMap<(u64, u64), Job> = BTreeMap::new();
    for ms in 0..length_ms {
        while let Some((&(end_ms, request), &job)) = running.first_key_value()
            && end_ms <= ms
        {
            running.remove(&(end_ms, request));
            let load = Load {
                running: running.len() as u32,
                waiting: waiting.len() as u32,
                slots: SLOTS,
                slowness_percent: None,
            };
            gate.attempt_ended(request, Ending::Answered, Some(load), at_ms(ms));
            let taken_ms = ms - job.arrived_ms;
            served[job.demand].answered += 1;
            served[job.demand].in_time += u32::from(taken_ms <= demands[job.demand].target_ms);
        }
        for (index, demand) in demands.iter().enumerate() {
            if ms % demand.every_ms != 0 {
                continue;
            }
            served[index].asked += 1;
            let arrival = Arrival {
                timeout_ms: None,
                ..arrival(demand.path)
            };
            let Decision::Forward(target) = gate.handle_arrival(&arrival, at_ms(ms)) else {
                continue;
            };
            if waiting.len() == QUEUE_MAX {
                gate.attempt_ended(target.request, Ending::Full, None, at_ms(ms));
                continue;
            }
            waiting.push_back(Job {
                request: target.request,
                demand: index,
                arrived_ms: ms,
            });
        }
        while running.len() < SLOTS as usize
            && let Some(job) = waiting.pop_front()
        {
            let end_ms = ms + demands[job.demand].run_ms;
            running.insert((end_ms, job.request), job);
        }
    }
    served
}

fn serving(demands: &[Demand]) -> Gate {
    let mut gate = gate();
    let routes = demands.iter().map(|demand| demand.route()).collect();
    let mut upstream = instance("w-1", "catalogue", "east-a", 1);
    upstream.slots = SLOTS;
    let answer = answer(2, Some(plan(1, routes)), vec![upstream]);
    gate.handle_poll_answer(REPLICA, answer, at_ms(0));
    gate
}

const URGENT: Demand = Demand {
    path: "/order/",
    priority: 0,
    target_ms: 400,
    timeout_ms: 3_000,
    run_ms: 200,
    every_ms: 100,
};

/// Two of the three slots are enough for the urgent requests; together both routes want 1.3 times
/// what there is.
#[test]
fn a_less_urgent_route_is_never_served_better_under_overload() {
    let browse = Demand {
        path: "/browse/",
        priority: 2,
        target_ms: 600,
        timeout_ms: 4_000,
        run_ms: 200,
        every_ms: 105,
    };
    let served = play(&[URGENT, browse], 30_000);
    assert!(served[0].share() > served[1].share() - 0.05, "{served:?}");
    assert!(served[0].share() > 0.9, "{served:?}");
    assert!(served[1].share() > 0.25, "none starves: {served:?}");
}

/// A route of greater urgency and with a short target that gets few requests bounds nobody.
#[test]
fn a_route_with_few_requests_takes_no_room() {
    let alone = Demand {
        priority: 2,
        every_ms: 50,
        ..URGENT
    };
    let rare = Demand {
        path: "/rare/",
        priority: 0,
        target_ms: 1,
        every_ms: 1_500,
        ..URGENT
    };
    let with_rare = play(&[alone, rare], 30_000)[0].share();
    let by_itself = play(&[alone], 30_000)[0].share();
    assert!(with_rare > by_itself - 0.1, "{with_rare} {by_itself}");
}
