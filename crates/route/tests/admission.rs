//! Admission under slots, shares, capacities and queues, and the order in which upstreams and
//! requests are chosen.

mod common;

use common::{Harness, Reaction, announcement, config, reaction_to, region, uncapped};
use route::{Fallback, Input, Limits, Output, Policy, Settled};
use strum::IntoEnumIterator;
use types::{DrainTarget, Outcome, Refusal, RegionSpec, Spec, TimeUs, UpstreamState};

fn refusal(reaction: &Reaction) -> Option<Refusal> {
    match reaction {
        Reaction::Settled(Settled {
            outcome: Outcome::DidNotRun,
            refusal,
        }) => *refusal,
        _ => None,
    }
}

#[test]
fn the_nearest_upstream_with_room_is_chosen() {
    for policy in Policy::iter() {
        let mut harness = Harness::new(config().with_policy(policy));
        harness.upstream("far", "browse", "there-a", 1);
        harness.upstream("beside", "browse", "here-b", 1);
        harness.upstream("near", "browse", "here-a", 1);
        for name in ["near", "beside", "far"] {
            let (_, reaction) = harness.arrive("browse", true);
            assert_eq!(reaction, Reaction::Forwarded(name.into()), "{policy}");
        }
        assert_eq!(
            harness.arrive("browse", true).1,
            Reaction::Nothing,
            "{policy}"
        );
    }
}

#[test]
fn only_ready_upstreams_that_are_not_drained_get_requests() {
    let mut harness = Harness::new(config());
    for state in [UpstreamState::Starting, UpstreamState::Leaving] {
        let mut changed = announcement("browse", "here-a", 3);
        changed.state = state;
        harness.announce("near", &changed);
        let (_, reaction) = harness.arrive("browse", true);
        assert_eq!(refusal(&reaction), Some(Refusal::NoUpstream));
    }
    harness.upstream("near", "browse", "here-a", 3);
    for target in [
        DrainTarget::Upstream("near".parse().unwrap()),
        DrainTarget::FailureDomain("here-a".parse().unwrap()),
        DrainTarget::Region(region("here")),
    ] {
        harness.drain(target);
        let (_, reaction) = harness.arrive("browse", true);
        assert_eq!(refusal(&reaction), Some(Refusal::NoUpstream));
    }
    harness.withdraw_drain();
    let (_, reaction) = harness.arrive("browse", true);
    assert_eq!(reaction, Reaction::Forwarded("near".into()));
}

#[test]
fn a_full_queue_refuses_and_a_deadline_ends_the_wait() {
    let limits = Limits {
        queue_requests: 1,
        ..uncapped()
    };
    let mut harness = Harness::new(config().with_limits(limits));
    harness.upstream("near", "browse", "here-a", 1);
    harness.arrive("browse", true);
    let (second, _) = harness.arrive("browse", true);
    let (_, reaction) = harness.arrive("browse", true);
    assert_eq!(refusal(&reaction), Some(Refusal::Overloaded));
    harness.now_us = harness.now_us.after_ms(1_000);
    let outputs = harness.step(Input::Tick);
    assert_eq!(
        refusal(&reaction_to(second, &outputs)),
        Some(Refusal::Deadline)
    );
}

#[test]
fn wanted_slots_follow_use_and_queued_requests() {
    let mut harness = Harness::new(config().with_policy(Policy::PowerOfTwo));
    harness.upstream("near", "browse", "here-a", 5);
    let here = region("here");
    let running: Vec<_> = (0..5).map(|_| harness.arrive("browse", true).0).collect();
    assert_eq!(harness.router.wanted_slots(&here), 5 + 1);
    harness.arrive("browse", true);
    assert_eq!(harness.router.wanted_slots(&here), 5 + 1, "no slot is free");
    harness.share("here", 1, TimeUs(u64::MAX));
    for request in &running[..4] {
        harness.finish(*request);
    }
    // 3 is the mean of the peak, 5, and the current number, 1.
    assert_eq!(harness.router.wanted_slots(&here), 3 + 1 + 1, "one waits");
    assert_eq!(harness.router.wanted_slots(&here), 1 + 1 + 1);
    assert_eq!(harness.router.wanted_slots(&region("there")), 1);
}

#[test]
fn without_suspensions_ticks_are_due_only_while_a_request_is_queued() {
    let mut harness = Harness::new(config());
    harness.upstream("near", "browse", "here-a", 1);
    let (first, _) = harness.arrive("browse", true);
    assert_eq!(harness.router.next_tick_us(harness.now_us), None);
    harness.arrive_until("browse", true, harness.now_us.after_ms(2));
    let due_us = harness.now_us.after_ms(2);
    assert_eq!(harness.router.next_tick_us(harness.now_us), Some(due_us));
    harness.now_us = due_us;
    harness.step(Input::Tick);
    assert_eq!(harness.router.next_tick_us(harness.now_us), None);
    harness.arrive("browse", true);
    let soon_us = harness.now_us.after_ms(5);
    assert_eq!(harness.router.next_tick_us(harness.now_us), Some(soon_us));
    harness.finish(first);
    assert_eq!(harness.router.next_tick_us(harness.now_us), None);
}

#[test]
fn a_share_bounds_its_region_until_it_expires() {
    let mut harness = Harness::new(config());
    harness.upstream("near", "browse", "here-a", 9);
    let expires_us = harness.now_us.after_ms(100);
    harness.share("here", 2, expires_us);
    let (first, _) = harness.arrive("browse", true);
    harness.arrive("browse", true);
    let (third, reaction) = harness.arrive("browse", true);
    assert_eq!(reaction, Reaction::Nothing);
    harness.now_us = expires_us;
    assert!(harness.finish(first).is_empty());
    let outputs = harness.share("here", 2, expires_us.after_ms(100));
    assert_eq!(
        reaction_to(third, &outputs),
        Reaction::Forwarded("near".into())
    );
}

#[test]
fn the_declared_capacity_bounds_a_region_without_a_share() {
    let mut harness = Harness::new(config());
    let spec = RegionSpec {
        capacity_slots: 2,
        failure_domains: Vec::new(),
    };
    harness.declare("here", Spec::Region(spec));
    harness.upstream("near", "browse", "here-a", 9);
    assert!(matches!(
        harness.arrive("browse", true).1,
        Reaction::Forwarded(_)
    ));
    assert!(matches!(
        harness.arrive("browse", true).1,
        Reaction::Forwarded(_)
    ));
    assert_eq!(harness.arrive("browse", true).1, Reaction::Nothing);
    harness.share("here", 9, TimeUs(u64::MAX));
    assert!(
        harness.take_forwarded().len() == 2,
        "a share never exceeds it"
    );
}

#[test]
fn without_a_share_the_fallback_applies() {
    let mut harness = Harness::new(config().with_fallback(Fallback::Zero));
    harness.upstream("near", "browse", "here-a", 9);
    assert_eq!(harness.arrive("browse", true).1, Reaction::Nothing);
    harness.now_us = harness.now_us.after_ms(1_000);
    let outputs = harness.step(Input::Tick);
    assert!(matches!(
        outputs[..],
        [Output::Settle {
            settled: Settled {
                refusal: Some(Refusal::NoCapacity),
                ..
            },
            ..
        }]
    ));
}

/// Finishes every forwarded request, those that are forwarded as a result included; returns their
/// number.
fn finish_all(harness: &mut Harness) -> u64 {
    let mut running = harness.take_forwarded();
    let mut finished = 0;
    while let Some(request) = running.pop() {
        harness.finish(request);
        finished += 1;
        running.extend(harness.take_forwarded());
    }
    harness.step(Input::Tick);
    finished
}

#[test]
fn a_link_share_bounds_the_rate_of_answers() {
    let mut harness = Harness::new(config());
    harness.upstream("far", "browse", "there-a", 99);
    let expires_us = harness.now_us.after_ms(10_000);
    harness.step(Input::LinkShare {
        from: &region("there"),
        to: &region("here"),
        kbps: 8_000,
        expires_us,
    });
    let mut forwarded = 0;
    for _ in 0..100 {
        harness.arrive("browse", true);
        harness.now_us = harness.now_us.after_ms(1);
        forwarded += finish_all(&mut harness);
    }
    forwarded += finish_all(&mut harness);
    // The transfer time of 10,000 bytes at 8,000 kbit/s.
    let answer_us = 10_000;
    let burst_us = Limits::default().link_burst_us;
    assert_eq!(forwarded, (100_000 + burst_us) / answer_us + 1);
}

#[test]
fn critical_requests_go_first_and_browse_requests_get_one_dispatch_in_six() {
    let mut harness = Harness::new(config());
    harness.upstream("near", "browse", "here-a", 9);
    harness.upstream("cash", "pay", "here-a", 9);
    let expires_us = TimeUs(u64::MAX);
    harness.share("here", 1, expires_us);
    let (mut running, _) = harness.arrive("browse", true);
    let mut queued = Vec::new();
    for _ in 0..20 {
        queued.push(harness.arrive("browse", true).0);
        queued.push(harness.arrive("pay", true).0);
    }
    let mut browsed = 0;
    for _ in 0..12 {
        let outputs = harness.finish(running);
        let [
            Output::Forward {
                request, upstream, ..
            },
        ] = &outputs[..]
        else {
            panic!("one dispatch for one free slot: {outputs:?}");
        };
        browsed += u32::from(upstream.as_str() == "near");
        running = *request;
    }
    assert_eq!(browsed, 2, "one dispatch in six");
}
