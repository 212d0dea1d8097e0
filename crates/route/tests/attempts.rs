//! What follows from the end of an attempt.

mod common;

use common::{Bench, Step, config, of};
use route::{Ending, Input, Limits, Output, RequestId, Settled};
use types::{Outcome, Refusal};

const UNKNOWN: Step = Step::Settled(Settled {
    outcome: Outcome::Unknown,
    refusal: None,
});

fn did_not_run(refusal: Refusal) -> Step {
    Step::Settled(Settled {
        outcome: Outcome::DidNotRun,
        refusal: Some(refusal),
    })
}

fn two_upstreams() -> Bench {
    let mut bench = Bench::new(config());
    bench.upstream("near", "browse", "here-a", 3);
    bench.upstream("far", "browse", "there-a", 3);
    bench
}

/// Refuses every attempt of a request until it is settled.
fn refuse_until_settled(bench: &mut Bench, request: RequestId) -> Step {
    for _ in 0..Limits::default().attempts {
        let mut step = of(request, &bench.end(request, Ending::Refused));
        while step == Step::Nothing {
            bench.now_us = bench.now_us.after_ms(1);
            step = of(request, &bench.step(Input::Tick));
        }
        if matches!(step, Step::Settled(_)) {
            return step;
        }
    }
    panic!("more attempts than allowed");
}

#[test]
fn retries_what_never_ran_on_another_upstream() {
    for ending in [Ending::NotSent, Ending::Refused] {
        for idempotent in [true, false] {
            let mut bench = two_upstreams();
            let (request, first) = bench.arrive("browse", idempotent);
            assert_eq!(first, Step::Forwarded("near".into()));
            let outputs = bench.end(request, ending);
            assert_eq!(of(request, &outputs), Step::Forwarded("far".into()));
        }
    }
}

#[test]
fn retries_a_broken_attempt_only_when_idempotent() {
    let mut bench = two_upstreams();
    let (request, _) = bench.arrive("browse", true);
    let outputs = bench.end(request, Ending::Broken);
    assert_eq!(of(request, &outputs), Step::Forwarded("far".into()));
    let (request, _) = bench.arrive("browse", false);
    let outputs = bench.end(request, Ending::Broken);
    assert_eq!(of(request, &outputs), UNKNOWN);
}

#[test]
fn an_answer_that_began_is_never_retried() {
    for ending in [Ending::Broken, Ending::Refused, Ending::NotSent] {
        let mut bench = two_upstreams();
        let (request, _) = bench.arrive("browse", true);
        bench.step(Input::Answering { request });
        let outputs = bench.end(request, ending);
        assert_eq!(of(request, &outputs), UNKNOWN, "{ending:?}");
    }
}

#[test]
fn a_request_that_may_have_run_never_ends_as_not_run() {
    let mut bench = two_upstreams();
    let (request, _) = bench.arrive("browse", true);
    bench.end(request, Ending::Broken);
    assert_eq!(refuse_until_settled(&mut bench, request), UNKNOWN);
}

#[test]
fn refused_everywhere_did_not_run() {
    let mut bench = two_upstreams();
    let (request, _) = bench.arrive("browse", false);
    assert_eq!(
        refuse_until_settled(&mut bench, request),
        did_not_run(Refusal::UpstreamRefused)
    );
}

#[test]
fn cancelling_frees_the_slot_and_cancels_the_attempt() {
    let mut bench = Bench::new(config());
    bench.upstream("near", "browse", "here-a", 1);
    let (first, _) = bench.arrive("browse", true);
    let (second, waits) = bench.arrive("browse", true);
    assert_eq!(waits, Step::Nothing);
    let outputs = bench.end(first, Ending::Cancelled);
    assert!(outputs.contains(&Output::Cancel { request: first }));
    assert_eq!(of(second, &outputs), Step::Forwarded("near".into()));
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut bench = Bench::new(config());
    bench.upstream("near", "browse", "here-a", 1);
    let (first, _) = bench.arrive("browse", true);
    let (second, _) = bench.arrive("browse", true);
    let (third, _) = bench.arrive("browse", true);
    assert!(bench.end(second, Ending::Cancelled).is_empty());
    let outputs = bench.finish(first);
    assert_eq!(of(third, &outputs), Step::Forwarded("near".into()));
    bench.finish(third);
    assert_eq!(bench.router.snapshot(bench.now_us).requests, 0);
}

#[test]
fn an_unknown_service_is_refused() {
    let mut bench = two_upstreams();
    let (_, step) = bench.arrive("other", true);
    assert_eq!(step, did_not_run(Refusal::UnknownService));
    let (_, step) = bench.arrive("pay", true);
    assert_eq!(step, did_not_run(Refusal::NoUpstream));
}
