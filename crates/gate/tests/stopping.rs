//! A stopping gateway takes no request that would be cut off at the end of its grace period.

mod support;

use gate::{Decision, Ending, Gate, NextStep, Refusal};
use plan::RetrySafety;
use support::{REPLICA, answer, arrival, at_ms, forwarded, gate, instance, plan, route};

/// When the stop begins; the grace period is 6 s, and every request has its answer after 5.7 s.
const STOP_MS: u64 = 20_000;

/// A gateway with two upstreams whose requests lately took this long.
fn serving(run_ms: u64) -> Gate {
    let mut gate = gate();
    let parts = [("catalogue", 1_000)];
    let routes = vec![route("browse", "/browse/", RetrySafety::Idempotent, &parts)];
    let instances = ["w-1", "w-2"].iter().zip(10..);
    let instances = instances.map(|(id, revision)| instance(id, "catalogue", "east-a", revision));
    let answer = answer(20, Some(plan(1, routes)), instances.collect());
    gate.handle_poll_answer(REPLICA, answer, at_ms(0));
    for start_ms in [1_000, 6_000] {
        let target = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(start_ms)));
        let end = at_ms(start_ms + run_ms);
        gate.attempt_ended(target.request, Ending::Answered, None, end);
    }
    gate.stop(at_ms(STOP_MS));
    gate
}

fn arrive(gate: &mut Gate, ms: u64, timeout_ms: u64) -> Decision {
    let arrival = gate::Arrival {
        timeout_ms: Some(timeout_ms),
        ..arrival("/browse/1")
    };
    gate.handle_arrival(&arrival, at_ms(ms))
}

fn is_refused_as_stopping(decision: &Decision) -> bool {
    matches!(
        decision,
        Decision::Refuse {
            refusal: Refusal::Stopping,
            ..
        }
    )
}

#[test]
fn requests_that_end_in_time_are_taken() {
    let mut gate = serving(1_000);
    let late_ms = STOP_MS + 2_500;
    forwarded(arrive(&mut gate, late_ms, 4_000));
}

#[test]
fn requests_that_would_be_cut_off_are_refused() {
    let mut gate = serving(3_000);
    forwarded(arrive(&mut gate, STOP_MS + 1_000, 4_000));
    let late = arrive(&mut gate, STOP_MS + 2_500, 4_000);
    assert!(is_refused_as_stopping(&late), "{late:?}");
}

// The client has its answer by then in any case.
#[test]
fn requests_whose_time_ends_before_the_stop_are_taken() {
    let mut gate = serving(3_000);
    forwarded(arrive(&mut gate, STOP_MS + 2_500, 3_000));
}

#[test]
fn a_retry_that_would_be_cut_off_is_not_made() {
    for (retry_ms, is_made) in [(2_040, true), (3_000, false)] {
        let mut gate = serving(2_900);
        let target = forwarded(arrive(&mut gate, STOP_MS + 2_000, 4_000));
        let ended = at_ms(STOP_MS + retry_ms);
        let next = gate.attempt_ended(target.request, Ending::Full, None, ended);
        assert_eq!(matches!(next, NextStep::Retry(_)), is_made, "{next:?}");
    }
}

// One slow request must not keep a stopping gateway from taking ordinary ones.
#[test]
fn a_single_slow_request_is_forgotten() {
    let mut gate = serving(3_500);
    for n in 0..100 {
        let start_ms = STOP_MS + n;
        let target = forwarded(arrive(&mut gate, start_ms, 4_000));
        let end = at_ms(start_ms + 100);
        gate.attempt_ended(target.request, Ending::Answered, None, end);
    }
    forwarded(arrive(&mut gate, STOP_MS + 2_500, 4_000));
}
