//! Requests that came under one plan and end under another.
//!
//! A request is bound by the terms of the plan under which it came: its deadline, its service, its
//! attempts. Whatever the next plan changes, it is decided and ends by that deadline.

mod support;

use control::GatewayPollAnswer;
use gate::{
    Arrival, Decision, Ending, Failure, Gate, NextStep, Notices, Refusal, StateChange, Target,
};
use plan::{Instance, KeyDigest, KeyUse, Limits, Plan, PlanChanges, RetrySafety, Route, Tenant};
use proptest::prelude::*;
use share::{QuotaTerms, TokenAnswer, TokenGrant};
use std::collections::{BTreeMap, BTreeSet};
use support::{
    REPLICA, answer, arrival, at_ms, forwarded, gate, instance, name, plan, refusal, route, tenant,
};

const KEY: &str = "key-of-acme";

/// The longest time for which a request waits for a token, in milliseconds.
const WAIT_MS: u64 = 300;

/// The timeout of the route, in milliseconds; clients wait for longer.
const TIMEOUT_MS: u64 = 2_000;

/// How long the actor of a gateway takes to ask for decisions again, in milliseconds.
const TICK_MS: u64 = 50;

const ENDINGS: [Ending; 9] = [
    Ending::Answered,
    Ending::Failed,
    Ending::Ambiguous,
    Ending::Full,
    Ending::Misdirected,
    Ending::NotSent,
    Ending::Broken,
    Ending::TimedOut,
    Ending::Left,
];

/// A change from one plan to the next, or of the instances that come with it.
#[derive(Clone, Copy)]
struct Change {
    what: &'static str,
    apply: fn(&mut GatewayPollAnswer),
}

fn of_plan(answer: &mut GatewayPollAnswer) -> &mut PlanChanges {
    answer.changes.plan.as_mut().expect("an answer with a plan")
}

fn route_of(answer: &mut GatewayPollAnswer) -> &mut Route {
    &mut of_plan(answer).routes[0]
}

fn tenant_of(answer: &mut GatewayPollAnswer) -> &mut Tenant {
    &mut of_plan(answer).tenants[0]
}

/// One change of each field of a plan, and of what else comes with an answer.
const CHANGES: [Change; 34] = [
    Change {
        what: "nothing",
        apply: |_| {},
    },
    Change {
        what: "all routes withdrawn",
        apply: |it| of_plan(it).routes.clear(),
    },
    Change {
        what: "route withdrawn, as a difference",
        apply: |it| {
            let plan = of_plan(it);
            plan.complete = false;
            plan.routes.clear();
            plan.removed = vec!["browse".to_owned()];
        },
    },
    Change {
        what: "route.name",
        apply: |it| route_of(it).name = "other".to_owned(),
    },
    Change {
        what: "route.host",
        apply: |it| route_of(it).host = "other.example".to_owned(),
    },
    Change {
        what: "route.prefix",
        apply: |it| route_of(it).prefix = "/other/".to_owned(),
    },
    Change {
        what: "route.repeat",
        apply: |it| {
            let route = route_of(it);
            route.repeat = match route.repeat {
                RetrySafety::Idempotent => RetrySafety::AtMostOnce,
                RetrySafety::AtMostOnce => RetrySafety::Idempotent,
            };
        },
    },
    Change {
        what: "route.timeout_ms, shorter",
        apply: |it| route_of(it).timeout_ms = 100,
    },
    Change {
        what: "route.timeout_ms, longer",
        apply: |it| route_of(it).timeout_ms = 60_000,
    },
    Change {
        what: "route.target_ms",
        apply: |it| route_of(it).target_ms = 1,
    },
    Change {
        what: "route.priority",
        apply: |it| route_of(it).priority = 9,
    },
    Change {
        what: "route.parts, another service",
        apply: |it| route_of(it).parts[0].service = name("orders"),
    },
    Change {
        what: "route.parts, none",
        apply: |it| route_of(it).parts.clear(),
    },
    Change {
        what: "route.parts, weight",
        apply: |it| route_of(it).parts[0].weight_milli = 0,
    },
    Change {
        what: "route.attempts_max",
        apply: |it| route_of(it).attempts_max = 1,
    },
    Change {
        what: "route.sticky",
        apply: |it| route_of(it).sticky = true,
    },
    Change {
        what: "route.home_regions",
        apply: |it| route_of(it).home_regions = vec![name("west")],
    },
    Change {
        what: "route.allow_anonymous",
        apply: |it| route_of(it).allow_anonymous = true,
    },
    Change {
        what: "services withdrawn",
        apply: |it| of_plan(it).services.clear(),
    },
    Change {
        what: "service.cold_milli_per_s",
        apply: |it| of_plan(it).services[0].cold_milli_per_s = 0,
    },
    Change {
        what: "service.connections_max",
        apply: |it| of_plan(it).services[0].connections_max = 0,
    },
    Change {
        what: "limits",
        apply: |it| {
            of_plan(it).limits = Limits {
                header_max_bytes: 1,
                body_max_bytes: 1,
                header_timeout_ms: 1,
                idle_timeout_ms: 1,
            };
        },
    },
    Change {
        what: "tenants withdrawn",
        apply: |it| of_plan(it).tenants.clear(),
    },
    Change {
        what: "tenants and keys withdrawn",
        apply: |it| {
            let plan = of_plan(it);
            plan.tenants.clear();
            plan.keys = KeyUse::Withdrawn;
        },
    },
    Change {
        what: "tenant.name",
        apply: |it| tenant_of(it).name = "other".to_owned(),
    },
    Change {
        what: "tenant.keys",
        apply: |it| tenant_of(it).keys.clear(),
    },
    Change {
        what: "tenant.priority",
        apply: |it| tenant_of(it).priority = Some(9),
    },
    Change {
        what: "tenant.rate_milli_per_s, less",
        apply: |it| tenant_of(it).rate_milli_per_s = 1,
    },
    Change {
        what: "tenant.rate_milli_per_s, no limit",
        apply: |it| tenant_of(it).rate_milli_per_s = 0,
    },
    Change {
        what: "tenant.burst",
        apply: |it| tenant_of(it).burst = 0,
    },
    Change {
        what: "tenant.home_regions",
        apply: |it| tenant_of(it).home_regions = vec![name("west")],
    },
    Change {
        what: "instances gone",
        apply: |it| {
            it.changes.complete = true;
            it.changes.instances.clear();
        },
    },
    Change {
        what: "instances started anew",
        apply: |it| {
            it.changes.instances = instances(12, 2);
        },
    },
    Change {
        what: "failure domain evacuated",
        apply: |it| it.changes.evacuated = Some(BTreeSet::from([name("east-a")])),
    },
];

fn instances(revision: u64, born_ms: u64) -> Vec<Instance> {
    let all = [
        ("w-1", "catalogue"),
        ("w-22", "catalogue"),
        ("o-333", "orders"),
    ];
    let all = all.into_iter().zip(revision..);
    let all = all.map(|((id, service), revision)| Instance {
        born_ms,
        ..instance(id, service, "east-a", revision)
    });
    all.collect()
}

fn base_plan(version: u64, repeat: RetrySafety, rate_milli_per_s: u64) -> Plan {
    let browse = route("browse", "/browse/", repeat, &[("catalogue", 1_000)]);
    let mut plan = plan(
        version,
        vec![Route {
            timeout_ms: TIMEOUT_MS,
            ..browse
        }],
    );
    plan.tenants = vec![Tenant {
        rate_milli_per_s,
        burst: 10,
        ..tenant("acme", &[KEY])
    }];
    plan
}

/// The terms of the tests: may the request run twice, and does its tenant have a limit.
#[derive(Clone, Copy, Debug)]
struct Terms {
    repeat: RetrySafety,
    rate_milli_per_s: u64,
}

const UNLIMITED: Terms = Terms {
    repeat: RetrySafety::Idempotent,
    rate_milli_per_s: 0,
};

const LIMITED: Terms = Terms {
    rate_milli_per_s: 10_000,
    ..UNLIMITED
};

fn first_answer(terms: Terms) -> GatewayPollAnswer {
    let plan = base_plan(1, terms.repeat, terms.rate_milli_per_s);
    answer(20, Some(plan), instances(1, 1))
}

/// The answer with the next plan, which differs by `change`.
fn next_answer(terms: Terms, change: Change, version: u64) -> GatewayPollAnswer {
    let plan = base_plan(version, terms.repeat, terms.rate_milli_per_s);
    let mut answer = answer(19 + version, Some(plan), Vec::new());
    (change.apply)(&mut answer);
    answer
}

fn serving(terms: Terms) -> Gate {
    let mut gate = gate().with_quotas(1, QuotaTerms::default(), at_ms(0));
    gate.handle_poll_answer(REPLICA, first_answer(terms), at_ms(0));
    gate
}

fn request() -> Arrival<'static> {
    Arrival {
        key: Some(KeyDigest::of(KEY)),
        ..arrival("/browse/1")
    }
}

/// The leader answers the next report: it grants `tokens`, or says that there are none for a while.
fn grant(gate: &mut Gate, tokens: u64, ms: u64) {
    let Some(report) = gate.token_report(REPLICA, at_ms(ms)) else {
        return;
    };
    let grants = vec![TokenGrant {
        tenant: "acme".to_owned(),
        tokens,
        retry_after_ms: if tokens == 0 { 1_000 } else { 0 },
    }];
    let mut answer = answer(20, None, Vec::new());
    answer.tokens = Some(TokenAnswer {
        serial: report.serial,
        term: 3,
        stamp_us: 1,
        grants,
    });
    gate.handle_poll_answer(REPLICA, answer, at_ms(ms));
}

/// Ends every attempt of a request with `ending` until nothing is left to try, 10 ms after each other
/// from `ms` on. Every further attempt keeps the deadline.
fn end_with(gate: &mut Gate, first: Target, ending: Ending, ms: u64) -> NextStep {
    let (deadline_us, request) = (first.deadline_us, first.request);
    let mut target = first;
    for ms in (ms..).step_by(10).take(20) {
        match gate.attempt_ended(request, ending, None, at_ms(ms)) {
            NextStep::Retry(next) => {
                assert_eq!(next.request, request);
                assert_eq!(next.deadline_us, deadline_us);
                assert_eq!(next.attempt, target.attempt + 1);
                assert_eq!(next.service, target.service);
                target = next;
            }
            last => return last,
        }
    }
    panic!("a request is retried without end");
}

/// Whether the end of a request fits how its attempts ended.
fn fits(step: &NextStep, ending: Ending) -> bool {
    match ending {
        Ending::Answered | Ending::Failed => *step == NextStep::Deliver,
        Ending::Ambiguous | Ending::Broken | Ending::Left => {
            *step == NextStep::GiveUp(Failure::Unknown)
        }
        Ending::TimedOut => *step == NextStep::GiveUp(Failure::TimedOut),
        Ending::Full | Ending::Misdirected | Ending::NotSent => {
            matches!(step, NextStep::GiveUp(Failure::NotRun { .. }))
        }
    }
}

fn terms_of_repeat(terms: Terms) -> [Terms; 2] {
    let idempotent = RetrySafety::Idempotent;
    [idempotent, RetrySafety::AtMostOnce].map(|repeat| Terms { repeat, ..terms })
}

// Guards against a request that waits for a token and whose decision is never made, since the plan that
// it waits under is gone.
#[test]
fn a_request_that_waits_is_decided_in_time_whatever_the_next_plan_changes() {
    const ARRIVED_MS: u64 = 1;
    for change in CHANGES {
        for tokens in [None, Some(0), Some(1)] {
            let mut gate = serving(LIMITED);
            let request = request();
            let decision = gate.handle_arrival(&request, at_ms(ARRIVED_MS));
            assert_eq!(decision, Decision::Wait);
            gate.handle_poll_answer(REPLICA, next_answer(LIMITED, change, 2), at_ms(40));
            let mut decided = gate.take_decided(at_ms(40));
            if let Some(tokens) = tokens {
                grant(&mut gate, tokens, 45);
            }
            decided.extend(gate.take_decided(at_ms(45)));
            let mut ms = 45;
            while decided.is_empty() && ms < ARRIVED_MS + WAIT_MS + TICK_MS {
                ms += TICK_MS;
                gate.tick(at_ms(ms));
                decided.extend(gate.take_decided(at_ms(ms)));
            }
            let context = format!("{}, {tokens:?} tokens", change.what);
            assert_eq!(decided.len(), 1, "{context}");
            let (of, decision) = decided.remove(0);
            assert_eq!(of, request.request, "{context}");
            assert_ne!(decision, Decision::Wait, "{context}");
            if let Decision::Forward(target) = decision {
                assert_eq!(
                    target.deadline_us,
                    at_ms(ARRIVED_MS + TIMEOUT_MS),
                    "{context}"
                );
                assert_eq!(gate.in_flight(), 1, "{context}");
                let last = end_with(&mut gate, target, Ending::Answered, ms + 10);
                assert_eq!(last, NextStep::Deliver, "{context}");
            }
            assert_eq!(gate.in_flight(), 0, "{context}");
            assert!(gate.take_decided(at_ms(10_000)).is_empty(), "{context}");
        }
    }
}

// Guards against a request that a change of the plan leaves at its upstream, without a next step when its
// attempt ends.
#[test]
fn a_request_at_an_upstream_gets_a_next_step_whatever_the_next_plan_changes() {
    for change in CHANGES {
        for terms in terms_of_repeat(UNLIMITED) {
            for ending in ENDINGS {
                let mut gate = serving(terms);
                let target = forwarded(gate.handle_arrival(&request(), at_ms(1)));
                gate.handle_poll_answer(REPLICA, next_answer(terms, change, 2), at_ms(40));
                assert_eq!(gate.in_flight(), 1);
                let last = end_with(&mut gate, target, ending, 100);
                let context = format!("{}, {terms:?}, {ending:?}: {last:?}", change.what);
                assert!(fits(&last, ending), "{context}");
                assert_eq!(gate.in_flight(), 0, "{context}");
            }
        }
    }
}

// Guards against a retry that the next plan strands: the second attempt's end, or the notices that come
// with the first, meet a plan that doesn't know them.
#[test]
fn a_request_between_two_attempts_gets_a_next_step_whatever_the_next_plan_changes() {
    let first_endings = [Ending::Full, Ending::Misdirected, Ending::NotSent];
    for change in CHANGES {
        for (terms, first) in terms_of_repeat(UNLIMITED)
            .into_iter()
            .flat_map(|terms| first_endings.map(|first| (terms, first)))
        {
            for ending in ENDINGS {
                let mut gate = serving(terms);
                let target = forwarded(gate.handle_arrival(&request(), at_ms(1)));
                let next = gate.attempt_ended(target.request, first, None, at_ms(30));
                let NextStep::Retry(second) = next else {
                    panic!("not retried after {first:?}: {next:?}");
                };
                assert_ne!(second.upstream, target.upstream);
                gate.handle_poll_answer(REPLICA, next_answer(terms, change, 2), at_ms(40));
                let notices = Notices {
                    is_leaving: true,
                    backoff_ms: Some(100),
                };
                gate.record_notices(target.request, notices, at_ms(50));
                assert_eq!(second.deadline_us, target.deadline_us);
                let last = end_with(&mut gate, second, ending, 60);
                let context = format!("{}, {terms:?}, {first:?}, {ending:?}", change.what);
                assert!(fits(&last, ending), "{context}: {last:?}");
                assert_eq!(gate.in_flight(), 0, "{context}");
            }
        }
    }
}

// Guards against a retry beyond the deadline that the client knows of, by the longer timeout of a new plan.
#[test]
fn no_plan_moves_the_deadline_of_a_request_that_came_before_it() {
    for change in CHANGES {
        let mut gate = serving(UNLIMITED);
        let target = forwarded(gate.handle_arrival(&request(), at_ms(1)));
        gate.handle_poll_answer(REPLICA, next_answer(UNLIMITED, change, 2), at_ms(40));
        let at_end = at_ms(1 + TIMEOUT_MS);
        let next = gate.attempt_ended(target.request, Ending::Broken, None, at_end);
        let expected = NextStep::GiveUp(Failure::Unknown);
        assert_eq!(next, expected, "{}", change.what);
        assert_eq!(gate.in_flight(), 0, "{}", change.what);
    }
}

// Guards against requests that are refused by a limit that is no longer in force: the leader had said that
// there is nothing for a while, by the rate of the earlier plan.
#[test]
fn a_raised_limit_binds_at_once() {
    const EMPTY_MS: u64 = 1_000;
    let mut gate = serving(LIMITED);
    let decision = gate.handle_arrival(&request(), at_ms(1));
    assert_eq!(decision, Decision::Wait);
    grant(&mut gate, 0, 5);
    gate.take_decided(at_ms(5));
    let under_old = gate.handle_arrival(&request(), at_ms(10));
    assert_eq!(refusal(&under_old), Some(Refusal::Quota));
    let raised = Change {
        what: "tenant.rate_milli_per_s, more",
        apply: |it| tenant_of(it).rate_milli_per_s = 1_000_000,
    };
    gate.handle_poll_answer(REPLICA, next_answer(LIMITED, raised, 2), at_ms(20));
    let decision = gate.handle_arrival(&request(), at_ms(5 + EMPTY_MS / 2));
    assert_eq!(decision, Decision::Wait);
    grant(&mut gate, 1, 10 + EMPTY_MS / 2);
    let decided = gate.take_decided(at_ms(10 + EMPTY_MS / 2));
    forwarded(decided[0].1.clone());
}

// Guards against a failure of an instance's earlier run that is held against the next one, which then gets
// no requests though it is sound.
#[test]
fn an_attempt_at_an_earlier_run_says_nothing_of_the_next_run() {
    for ending in [Ending::NotSent, Ending::Misdirected] {
        let mut gate = serving(UNLIMITED);
        let target = forwarded(gate.handle_arrival(&request(), at_ms(1)));
        let mut restarted = answer(30, None, instances(21, 2));
        restarted
            .changes
            .instances
            .retain(|it| it.id == target.upstream);
        gate.handle_poll_answer(REPLICA, restarted, at_ms(40));
        gate.take_state_changes();
        gate.attempt_ended(target.request, ending, None, at_ms(50));
        let changes = gate.take_state_changes();
        let pauses = changes
            .iter()
            .filter(|it| matches!(it, StateChange::Paused { .. }));
        assert_eq!(pauses.count(), 0, "{ending:?}: {changes:?}");
    }
}

/// A step of a random day.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive {
        timeout_ms: u64,
    },
    Change(usize),
    /// Ends the attempt of one of the requests in flight.
    End {
        which: usize,
        ending: usize,
    },
    /// The client of one of the requests leaves.
    Leave {
        which: usize,
    },
    Grant {
        tokens: u64,
    },
    Suspend {
        ms: u64,
    },
    Pass {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..4_000_u64).prop_map(|timeout_ms| Step::Arrive { timeout_ms }),
        3 => (0..CHANGES.len()).prop_map(Step::Change),
        3 => (any::<usize>(), 0..ENDINGS.len())
            .prop_map(|(which, ending)| Step::End { which, ending }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        2 => (0..4_u64).prop_map(|tokens| Step::Grant { tokens }),
        1 => (1..3_000_u64).prop_map(|ms| Step::Suspend { ms }),
        3 => (1..400_u64).prop_map(|ms| Step::Pass { ms }),
    ];
    prop::collection::vec(step, 1..60)
}

/// A gateway with its clients, as the actor and the tasks of connections drive it.
struct Day {
    gate: Gate,
    ms: u64,
    suspended_ms: u64,
    version: u64,
    terms: Terms,
    /// By request: until when a decision must come.
    waiting: BTreeMap<u64, u64>,
    /// By request: the attempt, and the deadline in milliseconds.
    at_upstream: BTreeMap<u64, (Target, u64)>,
    /// By request: its deadline in milliseconds.
    deadlines: BTreeMap<u64, u64>,
    ended: BTreeSet<u64>,
}

impl Day {
    fn new(terms: Terms) -> Self {
        Self {
            gate: serving(terms),
            ms: 1,
            suspended_ms: 0,
            version: 1,
            terms,
            waiting: BTreeMap::new(),
            at_upstream: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            ended: BTreeSet::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Arrive { timeout_ms } => {
                let arrival = Arrival {
                    timeout_ms: Some(timeout_ms),
                    ..request()
                };
                let request = arrival.request;
                self.deadlines.insert(request, self.ms + timeout_ms);
                match self.gate.handle_arrival(&arrival, at_ms(self.ms)) {
                    Decision::Wait => {
                        let until_ms = self.ms + WAIT_MS.min(timeout_ms / 3);
                        self.waiting.insert(request, until_ms);
                    }
                    decision => self.decide(request, decision),
                }
            }
            Step::Change(index) => {
                self.version += 1;
                let answer = next_answer(self.terms, CHANGES[index], self.version);
                self.gate
                    .handle_poll_answer(REPLICA, answer, at_ms(self.ms));
                self.take_decided();
            }
            Step::End { which, ending } => {
                if let Some(request) = nth(&self.at_upstream, which) {
                    self.end(request, ENDINGS[ending]);
                }
            }
            Step::Leave { which } => {
                if let Some(request) = nth(&self.waiting, which) {
                    self.waiting.remove(&request);
                    assert!(!self.gate.client_left(request, at_ms(self.ms)));
                    self.record_end(request);
                } else if let Some(request) = nth(&self.at_upstream, which) {
                    self.at_upstream.remove(&request);
                    assert!(self.gate.client_left(request, at_ms(self.ms)));
                    self.record_end(request);
                }
            }
            Step::Grant { tokens } => {
                grant(&mut self.gate, tokens, self.ms);
                self.take_decided();
            }
            Step::Suspend { ms } => {
                self.suspended_ms += ms;
                self.gate.set_suspended_us(self.suspended_ms * 1_000);
            }
            Step::Pass { ms } => self.pass(ms),
        }
        assert_eq!(
            self.gate.in_flight(),
            self.waiting.len() + self.at_upstream.len()
        );
    }

    /// Lets time pass in ticks, and attempts time out at their deadlines.
    fn pass(&mut self, ms: u64) {
        let end_ms = self.ms + ms;
        while self.ms < end_ms {
            self.ms = (self.ms + TICK_MS).min(end_ms);
            self.gate.tick(at_ms(self.ms));
            self.take_decided();
            let late = self
                .waiting
                .iter()
                .find(|(_, until_ms)| **until_ms + TICK_MS < self.ms);
            assert_eq!(late, None, "not decided at {} ms", self.ms);
            let due = self.at_upstream.iter();
            let due: Vec<u64> = due
                .filter(|(_, (_, deadline_ms))| *deadline_ms <= self.ms)
                .map(|(request, _)| *request)
                .collect();
            for request in due {
                self.end(request, Ending::TimedOut);
                assert!(
                    self.ended.contains(&request),
                    "{request} outlives its deadline"
                );
            }
        }
    }

    fn take_decided(&mut self) {
        for (request, decision) in self.gate.take_decided(at_ms(self.ms)) {
            assert!(
                self.waiting.remove(&request).is_some(),
                "{request} is decided twice"
            );
            self.decide(request, decision);
        }
    }

    fn decide(&mut self, request: u64, decision: Decision) {
        match decision {
            Decision::Wait => panic!("{request} is told to wait twice"),
            Decision::Forward(target) => self.send(target),
            Decision::NoRoute | Decision::Unauthorized | Decision::Refuse { .. } => {
                self.record_end(request);
            }
        }
    }

    fn send(&mut self, target: Target) {
        let deadline_ms = self.deadlines[&target.request];
        assert!(
            target.deadline_us <= at_ms(deadline_ms),
            "a deadline is moved"
        );
        assert!(
            target.deadline_us > at_ms(self.ms),
            "sent at its deadline or later"
        );
        let known = self
            .at_upstream
            .insert(target.request, (target, deadline_ms));
        assert!(known.is_none(), "sent twice at once");
    }

    fn end(&mut self, request: u64, ending: Ending) {
        let (target, _) = self.at_upstream.remove(&request).expect("in flight");
        match self
            .gate
            .attempt_ended(request, ending, None, at_ms(self.ms))
        {
            NextStep::Retry(next) => {
                assert_eq!(next.deadline_us, target.deadline_us);
                self.send(next);
            }
            NextStep::Deliver | NextStep::GiveUp(_) => self.record_end(request),
        }
    }

    fn record_end(&mut self, request: u64) {
        assert!(self.ended.insert(request), "{request} ends twice");
    }
}

/// One of the requests of a map.
fn nth<T>(map: &BTreeMap<u64, T>, which: usize) -> Option<u64> {
    let index = which.checked_rem(map.len())?;
    map.keys().nth(index).copied()
}

fn terms() -> impl Strategy<Value = Terms> {
    let repeat = prop::sample::select(vec![RetrySafety::Idempotent, RetrySafety::AtMostOnce]);
    let rate_milli_per_s = prop::sample::select(vec![0, 1_000, 100_000]);
    (repeat, rate_milli_per_s).prop_map(|(repeat, rate_milli_per_s)| Terms {
        repeat,
        rate_milli_per_s,
    })
}

proptest! {
    // Guards against a request that is lost between two plans: it never ends, or ends twice, or after its
    // deadline.
    #[test]
    fn every_request_ends_once_and_by_its_deadline(steps in steps(), terms in terms()) {
        let mut day = Day::new(terms);
        for step in steps {
            day.run(step);
        }
        day.pass(4_500);
        prop_assert_eq!(day.gate.in_flight(), 0);
        prop_assert_eq!(day.ended.len(), day.deadlines.len());
        prop_assert!(day.gate.take_decided(at_ms(day.ms + 60_000)).is_empty());
    }
}
