//! Requests that came under one plan and end under another.
//!
//! A request is bound by the terms of the plan under which it came: its deadline, its service, its
//! attempts. Whatever the next plan changes, it is decided and ends by that deadline.

mod days;
#[path = "../support/mod.rs"]
mod support;

use control::GatewayPollAnswer;
use gate::{
    Arrival, Decision, Ending, Failure, Gate, NextStep, Notices, Refusal, StateChange, Target,
};
use plan::{Instance, KeyDigest, KeyUse, Limits, Plan, PlanChanges, RetrySafety, Route, Tenant};
use share::{QuotaTerms, TokenAnswer, TokenGrant};
use std::collections::BTreeSet;
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
