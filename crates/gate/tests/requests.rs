//! Routing, admission, retries and results of client requests.

mod support;

use gate::{Arrival, Decision, Ending, Failure, Load, NextStep, Refusal};
use plan::{InstanceState, RetrySafety};
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::{
    DOMAINS, REPLICA, answer, arrival, at_ms, evacuated, forwarded, gate, instance, name, plan,
    refusal, route,
};

/// A gateway with one upstream of `catalogue` in each failure domain.
fn serving(repeat: RetrySafety) -> gate::Gate {
    let mut gate = gate();
    let routes = vec![route("browse", "/browse/", repeat, &[("catalogue", 1_000)])];
    let instances = DOMAINS.iter().zip(10..).map(|((domain, _), revision)| {
        instance(&format!("w-{domain}"), "catalogue", domain, revision)
    });
    gate.handle_poll_answer(
        REPLICA,
        answer(20, Some(plan(1, routes)), instances.collect()),
        at_ms(0),
    );
    gate
}

#[test]
fn without_a_plan_every_request_is_refused_as_not_run() {
    let mut gate = gate();
    let decision = gate.handle_arrival(&arrival("/browse/1"), at_ms(1));
    assert_eq!(refusal(&decision), Some(Refusal::NoPlan));
    assert!(!gate.is_ready(at_ms(1)));
}

#[test]
fn the_longest_prefix_decides() {
    let mut gate = gate();
    let routes = vec![
        route("all", "/", RetrySafety::Idempotent, &[("orders", 1_000)]),
        route(
            "browse",
            "/browse/",
            RetrySafety::Idempotent,
            &[("catalogue", 1_000)],
        ),
    ];
    let instances = vec![
        instance("w-1", "catalogue", "east-a", 1),
        instance("w-22", "orders", "east-a", 2),
    ];
    gate.handle_poll_answer(
        REPLICA,
        answer(3, Some(plan(1, routes)), instances),
        at_ms(0),
    );
    let browse = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(1)));
    assert_eq!(browse.upstream.as_str(), "w-1");
    let other = forwarded(gate.handle_arrival(&arrival("/browser"), at_ms(1)));
    assert_eq!(other.upstream.as_str(), "w-22");
}

#[test]
fn an_unknown_host_or_path_has_no_route() {
    let mut gate = serving(RetrySafety::Idempotent);
    let decision = gate.handle_arrival(&arrival("/elsewhere"), at_ms(1));
    assert_eq!(decision, Decision::NoRoute);
}

#[test]
fn weights_are_kept_exactly_over_each_round() {
    let mut gate = gate();
    let parts = [("catalogue", 9_000), ("orders", 1_000)];
    let routes = vec![route("browse", "/browse/", RetrySafety::Idempotent, &parts)];
    let instances = vec![
        instance("w-1", "catalogue", "east-a", 1),
        instance("w-22", "orders", "east-a", 2),
    ];
    gate.handle_poll_answer(
        REPLICA,
        answer(3, Some(plan(1, routes)), instances),
        at_ms(0),
    );
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for n in 0..100 {
        let target = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(n * 10)));
        *counts.entry(target.upstream.to_string()).or_default() += 1;
        gate.attempt_ended(target.request, Ending::Answered, None, at_ms(n * 10 + 5));
    }
    assert_eq!(
        counts,
        BTreeMap::from([("w-1".to_owned(), 90), ("w-22".to_owned(), 10)])
    );
}

#[test]
fn a_draining_evacuated_or_gone_upstream_gets_nothing() {
    let mut gate = serving(RetrySafety::Idempotent);
    let mut draining = instance("w-east-a", "catalogue", "east-a", 21);
    draining.state = InstanceState::Draining;
    gate.handle_poll_answer(REPLICA, answer(21, None, vec![draining]), at_ms(10));
    gate.handle_poll_answer(REPLICA, evacuated(22, &["east-b"]), at_ms(20));
    let mut gone = instance("w-west-a", "catalogue", "west-a", 23);
    gone.state = InstanceState::Gone;
    gate.handle_poll_answer(REPLICA, answer(23, None, vec![gone]), at_ms(30));
    for n in 0..20 {
        let target = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(40 + n)));
        assert_eq!(target.upstream.as_str(), "w-west-b");
        gate.attempt_ended(target.request, Ending::Answered, None, at_ms(40 + n));
    }
    gate.handle_poll_answer(REPLICA, evacuated(24, &["east-b", "west-b"]), at_ms(100));
    let decision = gate.handle_arrival(&arrival("/browse/1"), at_ms(101));
    assert_eq!(refusal(&decision), Some(Refusal::NoUpstream));
}

#[test]
fn an_older_answer_changes_nothing() {
    let mut gate = serving(RetrySafety::Idempotent);
    let routes = vec![route(
        "other",
        "/other/",
        RetrySafety::Idempotent,
        &[("orders", 1)],
    )];
    assert!(!gate.handle_poll_answer(
        REPLICA,
        answer(19, Some(plan(9, routes)), Vec::new()),
        at_ms(5)
    ));
    assert_eq!((gate.plan_version(), gate.revision()), (1, 20));
}

#[test]
fn large_changes_are_fetched_from_one_replica() {
    let mut gate = serving(RetrySafety::Idempotent);
    let without_large = || {
        let mut without_large = answer(20, None, Vec::new());
        without_large.newest = 30;
        without_large
    };
    gate.handle_poll_answer(REPLICA, without_large(), at_ms(10));
    let asked = gate.tick(at_ms(10));
    assert!(asked.iter().any(|replica| replica == REPLICA));
    assert!(gate.poll_request(REPLICA, at_ms(10)).wants_large);
    gate.handle_poll_answer("10.1.0.2", without_large(), at_ms(20));
    assert!(
        !gate.poll_request("10.1.0.2", at_ms(20)).wants_large,
        "another replica is being asked"
    );
    gate.handle_poll_answer("10.1.0.2", without_large(), at_ms(1_500));
    assert!(
        gate.poll_request("10.1.0.2", at_ms(1_500)).wants_large,
        "the first one did not answer"
    );
    let routes = vec![route(
        "other",
        "/other/",
        RetrySafety::Idempotent,
        &[("catalogue", 1)],
    )];
    assert!(gate.handle_poll_answer(
        "10.1.0.2",
        answer(30, Some(plan(2, routes)), Vec::new()),
        at_ms(1_600)
    ));
    assert_eq!((gate.plan_version(), gate.revision()), (2, 30));
    assert!(!gate.poll_request("10.1.0.2", at_ms(1_600)).wants_large);
}

#[test]
fn an_at_most_once_request_is_retried_only_if_it_certainly_did_not_run() {
    for (ending, is_retried) in [
        (Ending::Full, true),
        (Ending::Misdirected, true),
        (Ending::NotSent, true),
        (Ending::Broken, false),
        (Ending::Failed, false),
        (Ending::TimedOut, false),
        (Ending::Left, false),
    ] {
        let mut gate = serving(RetrySafety::AtMostOnce);
        let first = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(1)));
        let next = gate.attempt_ended(first.request, ending, None, at_ms(2));
        assert_eq!(
            matches!(next, NextStep::Retry(_)),
            is_retried,
            "{ending:?}: {next:?}"
        );
        if let NextStep::Retry(second) = next {
            assert_ne!(second.upstream, first.upstream);
        }
    }
}

#[test]
fn only_a_request_that_did_not_run_is_given_up_as_not_run() {
    let mut gate = serving(RetrySafety::AtMostOnce);
    let first = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(1)));
    let NextStep::Retry(second) = gate.attempt_ended(first.request, Ending::Full, None, at_ms(2))
    else {
        panic!("not retried at a second upstream");
    };
    let next = gate.attempt_ended(second.request, Ending::Full, None, at_ms(3));
    assert!(
        matches!(next, NextStep::GiveUp(Failure::NotRun { .. })),
        "{next:?}"
    );

    let mut gate = serving(RetrySafety::Idempotent);
    let first = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(1)));
    let NextStep::Retry(second) = gate.attempt_ended(first.request, Ending::Broken, None, at_ms(2))
    else {
        panic!("an idempotent request is not retried");
    };
    let next = gate.attempt_ended(second.request, Ending::Full, None, at_ms(3));
    assert_eq!(next, NextStep::GiveUp(Failure::Unknown));
}

#[test]
fn a_request_is_sent_to_no_more_upstreams_than_its_route_allows() {
    let mut gate = serving(RetrySafety::Idempotent);
    let mut target = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(1)));
    let mut attempts = 1;
    while let NextStep::Retry(again) =
        gate.attempt_ended(target.request, Ending::Failed, None, at_ms(2))
    {
        attempts += 1;
        target = again;
    }
    assert_eq!(attempts, 2);
}

#[test]
fn retries_stay_within_the_gateways_part_of_the_budget() {
    let mut gate = serving(RetrySafety::Idempotent);
    let (mut requests, mut retries) = (0.0, 0.0);
    for n in 0..1_000 {
        let now = at_ms(n * 10);
        let Decision::Forward(target) = gate.handle_arrival(&arrival("/browse/1"), now) else {
            continue;
        };
        requests += 1.0;
        if let NextStep::Retry(again) =
            gate.attempt_ended(target.request, Ending::Failed, None, now)
        {
            retries += 1.0;
            gate.attempt_ended(again.request, Ending::Failed, None, now);
        }
    }
    // Four gateways share the `retry_slack` of 60 in a window of 10 s.
    assert!(
        retries <= 0.2 * requests + 60.0 / 4.0,
        "{retries} of {requests}"
    );
    assert!(retries >= 10.0, "{retries} of {requests}");
}

#[test]
fn a_cold_upstream_gets_no_more_than_the_gateways_part_of_its_rate() {
    let mut gate = gate();
    let routes = vec![route(
        "browse",
        "/browse/",
        RetrySafety::Idempotent,
        &[("catalogue", 1_000)],
    )];
    let mut cold = instance("w-1", "catalogue", "east-a", 1);
    cold.cold_until_ms = 11_000;
    gate.handle_poll_answer(
        REPLICA,
        answer(2, Some(plan(1, routes)), vec![cold]),
        at_ms(0),
    );
    let mut sent = 0;
    for n in 0..1_000 {
        let now = at_ms(n * 5);
        if let Decision::Forward(target) = gate.handle_arrival(&arrival("/browse/1"), now) {
            sent += 1;
            gate.attempt_ended(target.request, Ending::Answered, None, now);
        }
    }
    // All four gateways together may send two requests per second, for five seconds.
    assert!((1..=3).contains(&sent), "{sent}");
}

/// The target is 0.6 s, and a run lasts 0.2 s without samples: 24 waiting requests take 1.6 s at
/// three slots, which is more than one and a half targets.
#[test]
fn a_request_that_would_be_late_everywhere_is_refused_at_once() {
    let mut gate = serving(RetrySafety::Idempotent);
    let busy = Load {
        running: 3,
        waiting: 24,
        slots: 3,
        slowness_percent: None,
    };
    let mut refused = None;
    for n in 0..60 {
        let now = at_ms(n);
        match gate.handle_arrival(&arrival("/browse/1"), now) {
            Decision::Forward(target) => {
                gate.attempt_ended(target.request, Ending::Full, Some(busy), now);
            }
            Decision::Refuse {
                refusal,
                retry_after_ms,
                best,
                ..
            } => {
                let best = best.expect("a refusal for overload names the best upstream");
                assert!(best.wait_ms > best.wait_max_ms);
                refused = Some(refusal);
                assert!(retry_after_ms >= 100);
            }
            Decision::NoRoute | Decision::Unauthorized | Decision::Wait => {
                panic!("no route matches")
            }
        }
    }
    assert_eq!(refused, Some(Refusal::Overloaded));
}

/// Nine waiting requests take 0.7 s: too long for a client that waits 0.5 s, and not for one that
/// waits 3 s.
#[test]
fn a_request_whose_deadline_passes_in_every_queue_is_refused_at_once() {
    let mut gate = serving(RetrySafety::Idempotent);
    let busy = Load {
        running: 3,
        waiting: 9,
        slots: 3,
        slowness_percent: None,
    };
    for n in 0..8 {
        if let Decision::Forward(target) = gate.handle_arrival(&arrival("/browse/1"), at_ms(n)) {
            gate.attempt_ended(target.request, Ending::Left, Some(busy), at_ms(n));
        }
    }
    let hurried = Arrival {
        timeout_ms: Some(500),
        ..arrival("/browse/1")
    };
    let decision = gate.handle_arrival(&hurried, at_ms(10));
    assert_eq!(refusal(&decision), Some(Refusal::Overloaded));
    forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(10)));
}

#[test]
fn a_stopping_gateway_takes_requests_for_a_while_and_is_not_ready() {
    let mut gate = serving(RetrySafety::Idempotent);
    gate.stop(at_ms(100));
    assert!(!gate.is_ready(at_ms(100)));
    assert!(!gate.poll_request(REPLICA, at_ms(100)).report.takes_clients);
    forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(1_000)));
    let late = gate.handle_arrival(&arrival("/browse/1"), at_ms(4_000));
    assert_eq!(refusal(&late), Some(Refusal::Stopping));
}

#[test]
fn requests_of_a_route_with_home_regions_run_only_there() {
    let mut gate = gate();
    let mut browse = route(
        "browse",
        "/browse/",
        RetrySafety::Idempotent,
        &[("catalogue", 1_000)],
    );
    browse.home_regions = vec![name("west")];
    let instances = DOMAINS.iter().zip(10..).map(|((domain, _), revision)| {
        instance(&format!("w-{domain}"), "catalogue", domain, revision)
    });
    let instances = instances.collect();
    gate.handle_poll_answer(
        REPLICA,
        answer(20, Some(plan(1, vec![browse])), instances),
        at_ms(0),
    );
    for n in 0..50 {
        let target = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(n)));
        assert!(target.upstream.as_str().starts_with("w-west"));
        gate.attempt_ended(target.request, Ending::Answered, None, at_ms(n));
    }
}

#[test]
fn an_upstream_that_fails_repeatedly_is_paused() {
    let mut gate = serving(RetrySafety::AtMostOnce);
    let mut sent = 0;
    for n in 0..100 {
        let now = at_ms(n * 4);
        let Decision::Forward(target) = gate.handle_arrival(&arrival("/browse/1"), now) else {
            continue;
        };
        let is_broken = target.upstream.as_str() == "w-east-a";
        sent += u32::from(is_broken);
        let ending = if is_broken {
            Ending::Broken
        } else {
            Ending::Answered
        };
        gate.attempt_ended(target.request, ending, None, now);
    }
    assert!((1..=4).contains(&sent), "{sent}");
}

proptest! {
    /// However attempts end, each request gets one result and none stays in flight.
    #[test]
    fn every_request_ends(endings in proptest::collection::vec(0..8_u8, 1..80)) {
        let mut gate = serving(RetrySafety::Idempotent);
        let all = [
            Ending::Answered, Ending::Failed, Ending::Full, Ending::Misdirected,
            Ending::NotSent, Ending::Broken, Ending::TimedOut, Ending::Left,
        ];
        for (n, ending) in (0..).zip(&endings) {
            let now = at_ms(n * 20);
            if let Decision::Forward(mut target) = gate.handle_arrival(&arrival("/browse/1"), now) {
                let ending = all[usize::from(*ending)];
                while let NextStep::Retry(again) =
                    gate.attempt_ended(target.request, ending, None, now)
                {
                    prop_assert_ne!(&again.upstream, &target.upstream);
                    target = again;
                }
            }
            prop_assert_eq!(gate.in_flight(), 0);
        }
    }
}
