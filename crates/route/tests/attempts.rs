//! The end of an attempt: retry, refusal, unknown outcome and cancellation.

mod common;

use common::{Harness, Reaction, config, reaction_to};
use route::{Ending, Input, Limits, Output, RequestId, Settled};
use types::{Outcome, Refusal};

const UNKNOWN: Reaction = Reaction::Settled(Settled {
    outcome: Outcome::Unknown,
    refusal: None,
});

fn did_not_run(refusal: Refusal) -> Reaction {
    Reaction::Settled(Settled {
        outcome: Outcome::DidNotRun,
        refusal: Some(refusal),
    })
}

fn two_upstreams() -> Harness {
    let mut harness = Harness::new(config());
    harness.upstream("near", "browse", "here-a", 3);
    harness.upstream("far", "browse", "there-a", 3);
    harness
}

/// Refuses every attempt of a request until it is settled.
fn refuse_until_settled(harness: &mut Harness, request: RequestId) -> Reaction {
    for _ in 0..Limits::default().attempts {
        let mut reaction = reaction_to(request, &harness.end(request, Ending::Refused));
        while reaction == Reaction::Nothing {
            harness.now_us = harness.now_us.after_ms(1);
            reaction = reaction_to(request, &harness.step(Input::Tick));
        }
        if matches!(reaction, Reaction::Settled(_)) {
            return reaction;
        }
    }
    panic!("more attempts than allowed");
}

#[test]
fn retries_a_request_that_did_not_run_on_another_upstream() {
    for ending in [Ending::NotSent, Ending::Refused] {
        for idempotent in [true, false] {
            let mut harness = two_upstreams();
            let (request, first) = harness.arrive("browse", idempotent);
            assert_eq!(first, Reaction::Forwarded("near".into()));
            let outputs = harness.end(request, ending);
            assert_eq!(
                reaction_to(request, &outputs),
                Reaction::Forwarded("far".into())
            );
        }
    }
}

#[test]
fn retries_a_broken_attempt_only_when_idempotent() {
    let mut harness = two_upstreams();
    let (request, _) = harness.arrive("browse", true);
    let outputs = harness.end(request, Ending::Broken);
    assert_eq!(
        reaction_to(request, &outputs),
        Reaction::Forwarded("far".into())
    );
    let (request, _) = harness.arrive("browse", false);
    let outputs = harness.end(request, Ending::Broken);
    assert_eq!(reaction_to(request, &outputs), UNKNOWN);
}

#[test]
fn an_answer_that_began_is_never_retried() {
    for ending in [Ending::Broken, Ending::Refused, Ending::NotSent] {
        let mut harness = two_upstreams();
        let (request, _) = harness.arrive("browse", true);
        harness.step(Input::Answering { request });
        let outputs = harness.end(request, ending);
        assert_eq!(reaction_to(request, &outputs), UNKNOWN, "{ending:?}");
    }
}

#[test]
fn a_request_that_may_have_run_never_ends_as_not_run() {
    let mut harness = two_upstreams();
    let (request, _) = harness.arrive("browse", true);
    harness.end(request, Ending::Broken);
    assert_eq!(refuse_until_settled(&mut harness, request), UNKNOWN);
}

#[test]
fn a_request_that_every_upstream_refused_did_not_run() {
    let mut harness = two_upstreams();
    let (request, _) = harness.arrive("browse", false);
    assert_eq!(
        refuse_until_settled(&mut harness, request),
        did_not_run(Refusal::UpstreamRefused)
    );
}

#[test]
fn cancelling_frees_the_slot_and_cancels_the_attempt() {
    let mut harness = Harness::new(config());
    harness.upstream("near", "browse", "here-a", 1);
    let (first, _) = harness.arrive("browse", true);
    let (second, waits) = harness.arrive("browse", true);
    assert_eq!(waits, Reaction::Nothing);
    let outputs = harness.end(first, Ending::Cancelled);
    assert!(outputs.contains(&Output::Cancel { request: first }));
    assert_eq!(
        reaction_to(second, &outputs),
        Reaction::Forwarded("near".into())
    );
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut harness = Harness::new(config());
    harness.upstream("near", "browse", "here-a", 1);
    let (first, _) = harness.arrive("browse", true);
    let (second, _) = harness.arrive("browse", true);
    let (third, _) = harness.arrive("browse", true);
    assert!(harness.end(second, Ending::Cancelled).is_empty());
    let outputs = harness.finish(first);
    assert_eq!(
        reaction_to(third, &outputs),
        Reaction::Forwarded("near".into())
    );
    harness.finish(third);
    assert_eq!(harness.router.snapshot(harness.now_us).requests, 0);
}

#[test]
fn an_unknown_service_is_refused() {
    let mut harness = two_upstreams();
    let (_, reaction) = harness.arrive("other", true);
    assert_eq!(reaction, did_not_run(Refusal::UnknownService));
    let (_, reaction) = harness.arrive("pay", true);
    assert_eq!(reaction, did_not_run(Refusal::NoUpstream));
}
