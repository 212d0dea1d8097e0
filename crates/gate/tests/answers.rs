//! What clients may be told after any answer of an upstream.

mod support;

use gate::{AnswerHead, Ending, Failure, NextStep, NotRun};
use plan::RetrySafety;
use proptest::prelude::*;
use support::{REPLICA, answer, arrival, at_ms, forwarded, gate, instance, plan, route};
use types::IdMatch;

/// Statuses by which clients are told that a request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether an upstream that did not run the request may answer with this status.
fn may_state_not_run(status_code: u16) -> bool {
    (400..500).contains(&status_code) || status_code == 503
}

/// What a gateway does after this answer to the first attempt of a request; `upstreams` could run it.
fn next_step(head: AnswerHead, repeat: RetrySafety, upstreams: usize) -> NextStep {
    let mut gate = gate();
    let routes = vec![route("browse", "/browse/", repeat, &[("catalogue", 1_000)])];
    let names = ["w-1", "w-22"].into_iter().take(upstreams).zip(1..);
    let instances = names.map(|(name, revision)| instance(name, "catalogue", "east-a", revision));
    let first = answer(3, Some(plan(1, routes)), instances.collect());
    gate.handle_poll_answer(REPLICA, first, at_ms(0));
    let target = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(1)));
    gate.attempt_ended(target.request, head.ending(), None, at_ms(5))
}

/// A complete answer with this status to the attempt that was sent.
const fn head(status_code: u16, not_run: Option<NotRun>) -> AnswerHead {
    AnswerHead {
        status_code,
        id_match: IdMatch::Same,
        is_signed: true,
        not_run,
    }
}

fn heads() -> impl Strategy<Value = AnswerHead> {
    let status_codes = prop_oneof![200..600_u16, prop::sample::select(&NOT_RUN_STATUSES[..])];
    let id_matches = prop::sample::select(vec![
        IdMatch::Same,
        IdMatch::BothAbsent,
        IdMatch::Missing,
        IdMatch::Other,
    ]);
    let not_run = prop::sample::select(vec![
        None,
        Some(NotRun::Refused),
        Some(NotRun::OtherInstance),
    ]);
    let parts = (status_codes, id_matches, any::<bool>(), not_run);
    parts.prop_map(|(status_code, id_match, is_signed, not_run)| AnswerHead {
        status_code,
        id_match,
        is_signed,
        not_run,
    })
}

fn safeties() -> impl Strategy<Value = RetrySafety> {
    prop::sample::select(vec![RetrySafety::Idempotent, RetrySafety::AtMostOnce])
}

proptest! {
    // Guards against an answer of an upstream that tells a client "not run" without its statement.
    #[test]
    fn only_a_statement_becomes_a_promise(
        head in heads(),
        repeat in safeties(),
        upstreams in 1..=2_usize,
    ) {
        let is_stated = head.not_run.is_some() && may_state_not_run(head.status_code);
        match next_step(head, repeat, upstreams) {
            NextStep::Deliver => prop_assert!(!NOT_RUN_STATUSES.contains(&head.status_code)),
            NextStep::Retry(_) if repeat == RetrySafety::AtMostOnce => {
                prop_assert!(is_stated);
            }
            NextStep::GiveUp(Failure::NotRun { .. }) => prop_assert!(is_stated),
            NextStep::Retry(_) | NextStep::GiveUp(Failure::Unknown | Failure::TimedOut) => {}
        }
    }
}

// Guards against passing on the 503 or 429 of an upstream that has run the request.
#[test]
fn a_status_alone_does_not_state_that_a_request_did_not_run() {
    for status_code in NOT_RUN_STATUSES {
        let head = head(status_code, None);
        for upstreams in [1, 2] {
            let order = next_step(head, RetrySafety::AtMostOnce, upstreams);
            assert_eq!(order, NextStep::GiveUp(Failure::Unknown), "{status_code}");
        }
        let alone = next_step(head, RetrySafety::Idempotent, 1);
        assert_eq!(alone, NextStep::GiveUp(Failure::Unknown), "{status_code}");
        let retried = next_step(head, RetrySafety::Idempotent, 2);
        assert!(matches!(retried, NextStep::Retry(_)), "{status_code}");
    }
}

#[test]
fn a_statement_lets_an_order_run_elsewhere() {
    for (status_code, not_run) in [
        (503, NotRun::Refused),
        (429, NotRun::Refused),
        (400, NotRun::Refused),
        (421, NotRun::Refused),
        (421, NotRun::OtherInstance),
    ] {
        let head = head(status_code, Some(not_run));
        let order = next_step(head, RetrySafety::AtMostOnce, 2);
        assert!(matches!(order, NextStep::Retry(_)), "{status_code}");
        let alone = next_step(head, RetrySafety::AtMostOnce, 1);
        let is_not_run = matches!(alone, NextStep::GiveUp(Failure::NotRun { .. }));
        assert!(is_not_run, "{status_code}");
    }
}

// Guards against sending an order again whose upstream answers that it was run and that it was not.
#[test]
fn a_statement_that_the_status_contradicts_is_not_believed() {
    for (status_code, expected) in [
        (200, NextStep::GiveUp(Failure::Unknown)),
        (204, NextStep::GiveUp(Failure::Unknown)),
        (500, NextStep::Deliver),
        (502, NextStep::Deliver),
        (504, NextStep::Deliver),
    ] {
        let head = head(status_code, Some(NotRun::Refused));
        let order = next_step(head, RetrySafety::AtMostOnce, 2);
        assert_eq!(order, expected, "{status_code}");
    }
}

#[test]
fn other_failures_of_an_upstream_are_passed_on() {
    for status_code in [400, 404, 500, 502, 504] {
        let order = next_step(head(status_code, None), RetrySafety::AtMostOnce, 2);
        assert_eq!(order, NextStep::Deliver, "{status_code}");
    }
    assert_eq!(head(500, None).ending(), Ending::Failed);
}
