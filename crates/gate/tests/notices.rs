//! What upstreams ask for in their answers: that they are leaving, or want no requests for a while.

mod support;

use gate::{Decision, Ending, Gate, NextStep, Notices, Refusal, StateChange};
use plan::{Instance, RetrySafety};
use proptest::prelude::*;
use support::{REPLICA, answer, arrival, at_ms, forwarded, gate, instance, plan, route};

const LEAVING: Notices = Notices {
    is_leaving: true,
    backoff_ms: None,
};

const fn backoff(backoff_ms: u64) -> Notices {
    Notices {
        is_leaving: false,
        backoff_ms: Some(backoff_ms),
    }
}

fn upstream(id: &str, born_ms: u64, revision: u64) -> Instance {
    let mut upstream = instance(id, "catalogue", "east-a", revision);
    upstream.born_ms = born_ms;
    upstream
}

/// A gateway with these upstreams of one service.
fn serving(ids: &[&str]) -> Gate {
    let mut gate = gate();
    let parts = [("catalogue", 1_000)];
    let routes = vec![route("browse", "/browse/", RetrySafety::Idempotent, &parts)];
    let instances = ids.iter().zip(10..);
    let instances = instances.map(|(id, revision)| upstream(id, 1, revision));
    let instances = instances.collect();
    gate.handle_poll_answer(
        REPLICA,
        answer(20, Some(plan(1, routes)), instances),
        at_ms(0),
    );
    gate.take_state_changes();
    gate
}

/// Sends one request, whose answer carries the notices; returns the upstream that got it.
fn send(gate: &mut Gate, notices: Notices, ending: Ending, ms: u64) -> Option<String> {
    match gate.handle_arrival(&arrival("/browse/1"), at_ms(ms)) {
        Decision::Forward(target) => {
            gate.record_notices(target.request, notices, at_ms(ms));
            gate.attempt_ended(target.request, ending, None, at_ms(ms));
            Some(target.upstream.to_string())
        }
        Decision::Refuse { .. } => None,
        Decision::NoRoute | Decision::Unauthorized | Decision::Wait => panic!("no route matches"),
    }
}

#[test]
fn an_upstream_that_says_it_leaves_gets_no_new_request_however_often_it_is_listed() {
    let mut gate = serving(&["w-1"]);
    assert_eq!(
        send(&mut gate, LEAVING, Ending::Answered, 10),
        Some("w-1".to_owned())
    );
    assert_eq!(
        gate.take_state_changes(),
        [StateChange::Leaving {
            upstream: "w-1".parse().expect("a valid name")
        }]
    );
    assert_eq!(
        send(&mut gate, Notices::default(), Ending::Answered, 11),
        None
    );
    // Its heartbeats still say ready: as a change, in a complete list, and after it was missing.
    let listed = answer(21, None, vec![upstream("w-1", 1, 21)]);
    gate.handle_poll_answer(REPLICA, listed, at_ms(20));
    assert_eq!(
        send(&mut gate, Notices::default(), Ending::Answered, 21),
        None
    );
    let mut missing = answer(22, None, Vec::new());
    missing.changes.complete = true;
    gate.handle_poll_answer(REPLICA, missing, at_ms(30));
    let mut complete = answer(23, None, vec![upstream("w-1", 1, 23)]);
    complete.changes.complete = true;
    gate.handle_poll_answer(REPLICA, complete, at_ms(40));
    assert_eq!(
        send(&mut gate, Notices::default(), Ending::Answered, 41),
        None
    );
    // A later run under the same name is another one.
    let later = answer(24, None, vec![upstream("w-1", 2, 24)]);
    gate.handle_poll_answer(REPLICA, later, at_ms(50));
    assert_eq!(
        send(&mut gate, Notices::default(), Ending::Answered, 51),
        Some("w-1".to_owned())
    );
}

#[test]
fn a_retry_does_not_go_back_to_an_upstream_that_leaves() {
    for ending in [Ending::Failed, Ending::Full, Ending::Misdirected] {
        let mut gate = serving(&["w-1", "w-22"]);
        let first = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(1)));
        gate.record_notices(first.request, LEAVING, at_ms(2));
        let next = gate.attempt_ended(first.request, ending, None, at_ms(2));
        let NextStep::Retry(second) = next else {
            panic!("not retried after {ending:?}: {next:?}");
        };
        assert_ne!(second.upstream, first.upstream);
        gate.attempt_ended(second.request, Ending::Answered, None, at_ms(3));
        for ms in 10..30 {
            let used = send(&mut gate, Notices::default(), Ending::Answered, ms);
            assert_eq!(used, Some(second.upstream.to_string()));
        }
    }
}

#[test]
fn an_upstream_gets_nothing_within_the_backoff_that_it_asked_for() {
    let mut gate = serving(&["w-1"]);
    assert!(send(&mut gate, backoff(3_000), Ending::Full, 100).is_some());
    assert_eq!(
        gate.take_state_changes(),
        [StateChange::BackedOff {
            upstream: "w-1".parse().expect("a valid name"),
            backoff_ms: 3_000
        }]
    );
    for ms in (101..3_100).step_by(100) {
        assert_eq!(
            send(&mut gate, Notices::default(), Ending::Answered, ms),
            None
        );
    }
    assert!(send(&mut gate, Notices::default(), Ending::Answered, 3_100).is_some());
}

#[test]
fn a_client_is_told_to_return_when_the_first_backoff_ends() {
    let mut gate = serving(&["w-1", "w-22"]);
    for (ms, wait_ms) in [(0, 9_000), (0, 5_000)] {
        assert!(send(&mut gate, backoff(wait_ms), Ending::Full, ms).is_some());
    }
    let decision = gate.handle_arrival(&arrival("/browse/1"), at_ms(1_000));
    let Decision::Refuse {
        refusal,
        retry_after_ms,
        ..
    } = decision
    else {
        panic!("not refused: {decision:?}");
    };
    assert_eq!((refusal, retry_after_ms), (Refusal::NoUpstream, 4_000));
}

#[test]
fn a_nonsensical_backoff_does_not_exclude_an_upstream_for_good() {
    let mut gate = serving(&["w-1"]);
    assert!(send(&mut gate, backoff(u64::MAX), Ending::Full, 0).is_some());
    assert_eq!(
        send(&mut gate, Notices::default(), Ending::Answered, 599_999),
        None
    );
    assert!(send(&mut gate, Notices::default(), Ending::Answered, 600_000).is_some());
}

#[test]
fn an_answer_that_was_streamed_to_its_end_or_broke_off_is_not_retried() {
    for ending in [Ending::Answered, Ending::Broken, Ending::TimedOut] {
        let mut gate = serving(&["w-1", "w-22"]);
        let target = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(1)));
        gate.delivery_ended(target.request, ending, None, at_ms(500));
        assert_eq!(gate.in_flight(), 0, "{ending:?}");
    }
}

proptest! {
    /// Within a backoff, and after a notice that it leaves, a run gets nothing, whatever answers
    /// and lists of instances come in between.
    #[test]
    fn a_notice_holds_through_any_sequence(
        steps in prop::collection::vec((0..5_u8, 0..4_000_u64), 1..60),
    ) {
        let mut gate = serving(&["w-1"]);
        let (mut now_ms, mut revision) = (10, 30);
        let (mut leaving, mut until_ms) = (false, 0);
        for (step, value) in steps {
            now_ms += 40;
            let notices = match step {
                0 => backoff(value),
                1 if value < 400 => LEAVING,
                _ => Notices::default(),
            };
            if step == 2 || step == 3 {
                revision += 1;
                let listed = if step == 2 { vec![upstream("w-1", 1, revision)] } else { Vec::new() };
                let mut answer = answer(revision, None, listed);
                answer.changes.complete = true;
                gate.handle_poll_answer(REPLICA, answer, at_ms(now_ms));
                continue;
            }
            let sent = send(&mut gate, notices, Ending::Full, now_ms).is_some();
            prop_assert!(!sent || (!leaving && until_ms <= now_ms));
            if sent {
                leaving |= notices.is_leaving;
                until_ms = until_ms.max(now_ms + notices.backoff_ms.unwrap_or(0));
            }
        }
    }
}
