//! Slots, shares, queues and the order of choice.

mod common;

use common::{Bench, Step, announcement, config, of, region, uncapped};
use route::{Fallback, Input, Limits, Output, Policy, Settled};
use strum::IntoEnumIterator;
use types::{DrainTarget, Outcome, Refusal, RegionSpec, Spec, TimeUs, UpstreamState};

fn refusal(step: &Step) -> Option<Refusal> {
    match step {
        Step::Settled(Settled {
            outcome: Outcome::DidNotRun,
            refusal,
        }) => *refusal,
        _ => None,
    }
}

#[test]
fn the_nearest_upstream_with_room_is_chosen() {
    for policy in Policy::iter() {
        let mut bench = Bench::new(config().with_policy(policy));
        bench.upstream("far", "browse", "there-a", 1);
        bench.upstream("beside", "browse", "here-b", 1);
        bench.upstream("near", "browse", "here-a", 1);
        for name in ["near", "beside", "far"] {
            let (_, step) = bench.arrive("browse", true);
            assert_eq!(step, Step::Forwarded(name.into()), "{policy}");
        }
        assert_eq!(bench.arrive("browse", true).1, Step::Nothing, "{policy}");
    }
}

#[test]
fn only_ready_upstreams_that_no_drain_names_get_work() {
    let mut bench = Bench::new(config());
    for state in [UpstreamState::Starting, UpstreamState::Leaving] {
        let mut said = announcement("browse", "here-a", 3);
        said.state = state;
        bench.announce("near", &said);
        let (_, step) = bench.arrive("browse", true);
        assert_eq!(refusal(&step), Some(Refusal::NoUpstream));
    }
    bench.upstream("near", "browse", "here-a", 3);
    for target in [
        DrainTarget::Upstream("near".parse().unwrap()),
        DrainTarget::FailureDomain("here-a".parse().unwrap()),
        DrainTarget::Region(region("here")),
    ] {
        bench.drain(target);
        let (_, step) = bench.arrive("browse", true);
        assert_eq!(refusal(&step), Some(Refusal::NoUpstream));
    }
    bench.withdraw_drain();
    let (_, step) = bench.arrive("browse", true);
    assert_eq!(step, Step::Forwarded("near".into()));
}

#[test]
fn a_full_queue_refuses_and_a_deadline_ends_the_wait() {
    let limits = Limits {
        queue_requests: 1,
        ..uncapped()
    };
    let mut bench = Bench::new(config().with_limits(limits));
    bench.upstream("near", "browse", "here-a", 1);
    bench.arrive("browse", true);
    let (second, _) = bench.arrive("browse", true);
    let (_, step) = bench.arrive("browse", true);
    assert_eq!(refusal(&step), Some(Refusal::Overloaded));
    bench.now_us = bench.now_us.after_ms(1_000);
    let outputs = bench.step(Input::Tick);
    assert_eq!(refusal(&of(second, &outputs)), Some(Refusal::Deadline));
}

#[test]
fn wanted_slots_follow_use_and_what_waits() {
    let mut bench = Bench::new(config().with_policy(Policy::PowerOfTwo));
    bench.upstream("near", "browse", "here-a", 5);
    let here = region("here");
    let running: Vec<_> = (0..5).map(|_| bench.arrive("browse", true).0).collect();
    assert_eq!(bench.router.wanted_slots(&here), 5 + 1);
    bench.arrive("browse", true);
    assert_eq!(bench.router.wanted_slots(&here), 5 + 1, "no slot is free");
    bench.share("here", 1, TimeUs(u64::MAX));
    for request in &running[..4] {
        bench.finish(*request);
    }
    assert_eq!(bench.router.wanted_slots(&here), 3 + 1 + 1, "one waits");
    assert_eq!(bench.router.wanted_slots(&here), 1 + 1 + 1);
    assert_eq!(bench.router.wanted_slots(&region("there")), 1);
}

#[test]
fn ticks_are_due_only_while_something_waits_or_is_closed() {
    let mut bench = Bench::new(config());
    bench.upstream("near", "browse", "here-a", 1);
    let (first, _) = bench.arrive("browse", true);
    assert_eq!(bench.router.next_tick_us(bench.now_us), None);
    bench.arrive_until("browse", true, bench.now_us.after_ms(2));
    let due_us = bench.now_us.after_ms(2);
    assert_eq!(bench.router.next_tick_us(bench.now_us), Some(due_us));
    bench.now_us = due_us;
    bench.step(Input::Tick);
    assert_eq!(bench.router.next_tick_us(bench.now_us), None);
    bench.arrive("browse", true);
    let soon_us = bench.now_us.after_ms(5);
    assert_eq!(bench.router.next_tick_us(bench.now_us), Some(soon_us));
    bench.finish(first);
    assert_eq!(bench.router.next_tick_us(bench.now_us), None);
}

#[test]
fn a_share_bounds_its_region_until_it_expires() {
    let mut bench = Bench::new(config());
    bench.upstream("near", "browse", "here-a", 9);
    let expires_us = bench.now_us.after_ms(100);
    bench.share("here", 2, expires_us);
    let (first, _) = bench.arrive("browse", true);
    bench.arrive("browse", true);
    let (third, step) = bench.arrive("browse", true);
    assert_eq!(step, Step::Nothing);
    bench.now_us = expires_us;
    assert!(bench.finish(first).is_empty());
    let outputs = bench.share("here", 2, expires_us.after_ms(100));
    assert_eq!(of(third, &outputs), Step::Forwarded("near".into()));
}

#[test]
fn the_declared_capacity_bounds_a_region_without_a_share() {
    let mut bench = Bench::new(config());
    let spec = RegionSpec {
        capacity_slots: 2,
        failure_domains: Vec::new(),
    };
    bench.declare("here", Spec::Region(spec));
    bench.upstream("near", "browse", "here-a", 9);
    assert!(matches!(bench.arrive("browse", true).1, Step::Forwarded(_)));
    assert!(matches!(bench.arrive("browse", true).1, Step::Forwarded(_)));
    assert_eq!(bench.arrive("browse", true).1, Step::Nothing);
    bench.share("here", 9, TimeUs(u64::MAX));
    assert!(
        bench.take_forwarded().len() == 2,
        "a share never exceeds it"
    );
}

#[test]
fn without_any_share_the_fallback_holds() {
    let mut bench = Bench::new(config().with_fallback(Fallback::Zero));
    bench.upstream("near", "browse", "here-a", 9);
    assert_eq!(bench.arrive("browse", true).1, Step::Nothing);
    bench.now_us = bench.now_us.after_ms(1_000);
    let outputs = bench.step(Input::Tick);
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

/// Finishes what was forwarded, and what is forwarded thereupon; counts it.
fn finish_all(bench: &mut Bench) -> u64 {
    let mut running = bench.take_forwarded();
    let mut finished = 0;
    while let Some(request) = running.pop() {
        bench.finish(request);
        finished += 1;
        running.extend(bench.take_forwarded());
    }
    bench.step(Input::Tick);
    finished
}

#[test]
fn a_link_share_bounds_the_rate_of_answers() {
    let mut bench = Bench::new(config());
    bench.upstream("far", "browse", "there-a", 99);
    let expires_us = bench.now_us.after_ms(10_000);
    bench.step(Input::LinkShare {
        from: &region("there"),
        to: &region("here"),
        kbps: 8_000,
        expires_us,
    });
    let mut forwarded = 0;
    for _ in 0..100 {
        bench.arrive("browse", true);
        bench.now_us = bench.now_us.after_ms(1);
        forwarded += finish_all(&mut bench);
    }
    forwarded += finish_all(&mut bench);
    let answer_us = 10_000;
    let burst_us = Limits::default().link_burst_us;
    assert_eq!(forwarded, (100_000 + burst_us) / answer_us + 1);
}

#[test]
fn critical_requests_go_first_and_browsing_keeps_its_part() {
    let mut bench = Bench::new(config());
    bench.upstream("near", "browse", "here-a", 9);
    bench.upstream("cash", "pay", "here-a", 9);
    let expires_us = TimeUs(u64::MAX);
    bench.share("here", 1, expires_us);
    let (mut running, _) = bench.arrive("browse", true);
    let mut queued = Vec::new();
    for _ in 0..20 {
        queued.push(bench.arrive("browse", true).0);
        queued.push(bench.arrive("pay", true).0);
    }
    let mut browsed = 0;
    for _ in 0..12 {
        let outputs = bench.finish(running);
        let [
            Output::Forward {
                request, upstream, ..
            },
        ] = &outputs[..]
        else {
            panic!("one grant for one free slot: {outputs:?}");
        };
        browsed += u32::from(upstream.as_str() == "near");
        running = *request;
    }
    assert_eq!(browsed, 2, "one grant in six");
}
