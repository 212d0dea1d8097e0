//! The cap, declared shifts and automatic moves.

mod common;

use common::{Bench, Step, config, region, resource, service};
use proptest::prelude::{ProptestConfig, any, proptest};
use route::{Cap, Limits, Output, Settled, ShiftController, ShiftReason, ShiftState};
use types::{DrainTarget, Outcome, Refusal, ShiftSpec, Spec, TimeUs};

const CAP: Cap = Cap {
    percent: 10,
    interval_ms: 1_000,
};
const TO: usize = 7;
const USUAL_US: u64 = 50_000;

/// One interval of 100 arrivals; the answer is how many went elsewhere.
fn interval(
    controller: &mut ShiftController,
    now_us: &mut TimeUs,
    far: impl Fn(u64) -> Option<u64>,
) -> u64 {
    let mut moved = 0;
    for _ in 0..100 {
        *now_us = now_us.after_ms(10);
        let sent = controller.record_arrival(*now_us) == Some(TO) && controller.may_move();
        match sent {
            true => {
                controller.record_moved();
                controller.record_answer(true, far(moved));
                moved += 1;
            }
            false => controller.record_answer(false, Some(USUAL_US)),
        }
    }
    moved
}

fn moves(controller: &mut ShiftController, now_us: &mut TimeUs, intervals: u32) -> Vec<u64> {
    let usual = |_| Some(USUAL_US);
    (0..intervals)
        .map(|_| interval(controller, now_us, usual))
        .collect()
}

#[test]
fn a_shift_steps_by_the_cap_until_its_target() {
    let mut controller = ShiftController::new(CAP);
    controller.set_target(Some((TO, 35)));
    let mut now_us = TimeUs(1);
    let moved = moves(&mut controller, &mut now_us, 6);
    assert!(moved[0] <= 1, "{moved:?}");
    for pair in moved.windows(2) {
        assert!(pair[1] <= pair[0] + 11, "{moved:?}");
    }
    assert!((34..=36).contains(&moved[5]), "{moved:?}");
    let progress = controller.progress().unwrap();
    assert_eq!(progress.state, ShiftState::Done);
    assert_eq!(progress.step_percent, 35);
}

#[test]
fn without_answers_no_further_step_is_taken() {
    let mut controller = ShiftController::new(CAP);
    controller.set_target(Some((TO, 100)));
    let mut now_us = TimeUs(1);
    for _ in 0..500 {
        now_us = now_us.after_ms(10);
        if controller.record_arrival(now_us).is_some() && controller.may_move() {
            controller.record_moved();
        }
    }
    let progress = controller.progress().unwrap();
    assert_eq!(progress.step_percent, 10);
    assert_eq!(progress.state, ShiftState::Paused);
    assert_eq!(progress.reason, ShiftReason::NoAnswers);
}

#[test]
fn failures_and_latency_turn_a_shift_back() {
    let failing: fn(u64) -> Option<u64> = |moved| (moved % 4 != 0).then_some(USUAL_US);
    let slow: fn(u64) -> Option<u64> = |_| Some(USUAL_US * 3);
    for (far, reason) in [
        (failing, ShiftReason::Failures),
        (slow, ShiftReason::Latency),
    ] {
        let mut controller = ShiftController::new(CAP);
        controller.set_target(Some((TO, 100)));
        let mut now_us = TimeUs(1);
        moves(&mut controller, &mut now_us, 4);
        let before = controller.progress().unwrap().step_percent;
        for _ in 0..3 {
            interval(&mut controller, &mut now_us, far);
        }
        let progress = controller.progress().unwrap();
        assert!(progress.step_percent < before, "{progress:?}");
        assert_eq!(progress.state, ShiftState::SteppingBack);
        assert_eq!(progress.reason, reason);
    }
}

#[test]
fn a_somewhat_slower_region_pauses_a_shift() {
    let mut controller = ShiftController::new(CAP);
    controller.set_target(Some((TO, 100)));
    let mut now_us = TimeUs(1);
    moves(&mut controller, &mut now_us, 4);
    let before = controller.progress().unwrap().step_percent;
    for _ in 0..3 {
        interval(&mut controller, &mut now_us, |_| Some(USUAL_US * 7 / 4));
    }
    let progress = controller.progress().unwrap();
    assert!(progress.step_percent <= before + CAP.percent);
    assert_eq!(progress.state, ShiftState::Paused);
    assert_eq!(progress.reason, ShiftReason::Latency);
}

#[test]
fn a_withdrawn_shift_goes_back_by_steps() {
    let mut controller = ShiftController::new(CAP);
    controller.set_target(Some((TO, 30)));
    let mut now_us = TimeUs(1);
    moves(&mut controller, &mut now_us, 6);
    controller.set_target(None);
    let moved = moves(&mut controller, &mut now_us, 5);
    assert!(moved[0] >= 19, "{moved:?}");
    assert_eq!(*moved.last().unwrap(), 0, "{moved:?}");
}

#[test]
fn the_ceiling_stays_at_the_cap_while_nothing_moves() {
    let mut controller = ShiftController::new(CAP);
    let mut now_us = TimeUs(1);
    moves(&mut controller, &mut now_us, 8);
    assert_eq!(controller.ceiling_permille(), 100);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever is asked for, no more goes elsewhere than a part that rises by the cap an interval.
    #[test]
    fn the_cap_is_never_passed(
        gaps_ms in proptest::collection::vec(0_u64..60, 1..800),
        wants in proptest::collection::vec(any::<bool>(), 800),
        percent in 1_u32..60,
        target in proptest::option::of(0_u32..=100),
    ) {
        let cap = Cap { percent, interval_ms: 1_000 };
        let mut controller = ShiftController::new(cap);
        controller.set_target(target.map(|target| (TO, target)));
        let mut now_us = TimeUs(1);
        let mut started_us = None;
        let (mut allowed_percent, mut moved) = (0, 0);
        for (gap_ms, wants) in gaps_ms.iter().zip(wants) {
            now_us = now_us.after_ms(*gap_ms);
            let sent = controller.record_arrival(now_us).is_some();
            let since_us = now_us.since_us(*started_us.get_or_insert(now_us));
            let intervals = since_us / 1_000_000 + 1;
            allowed_percent += (intervals * u64::from(percent)).min(100);
            if (sent || wants) && controller.may_move() {
                controller.record_moved();
                moved += 1;
                controller.record_answer(true, Some(USUAL_US));
            }
            assert!(moved * 100 <= allowed_percent + 100, "{moved} of {allowed_percent}");
        }
    }
}

/// A router at 10% an interval with room in both regions.
fn capped() -> Bench {
    let limits = Limits {
        cap: CAP,
        ..Limits::default()
    };
    let mut bench = Bench::new(config().with_limits(limits));
    bench.upstream("near", "browse", "here-a", 99);
    bench.upstream("far", "browse", "there-a", 99);
    bench
}

/// Runs 100 requests in an interval; the answer is how many went far, and how many were refused.
fn run_interval(bench: &mut Bench) -> (u32, u32) {
    let (mut far, mut refused) = (0, 0);
    for _ in 0..100 {
        bench.now_us = bench.now_us.after_ms(10);
        let (request, step) = bench.arrive("browse", true);
        match step {
            Step::Forwarded(name) => far += u32::from(name == "far"),
            Step::Settled(Settled {
                outcome: Outcome::DidNotRun,
                refusal: Some(Refusal::NoCapacity),
            }) => refused += 1,
            other => panic!("{other:?}"),
        }
        bench.finish(request);
    }
    (far, refused)
}

#[test]
fn a_drained_region_gives_up_its_traffic_under_the_cap() {
    let mut bench = capped();
    run_interval(&mut bench);
    bench.drain(DrainTarget::Region(region("here")));
    let mut last = 0;
    for _ in 0..12 {
        let (far, refused) = run_interval(&mut bench);
        assert_eq!(far + refused, 100, "what may not move is refused");
        assert!(far <= last + 11, "{far} after {last}");
        last = far;
    }
    assert!(last >= 95, "all has moved in the end: {last}");
}

#[test]
fn a_declared_shift_sends_its_part_to_the_region_it_names() {
    let mut bench = capped();
    let spec = ShiftSpec {
        service: service("browse"),
        from: region("here"),
        to: region("there"),
        target_percent: 20,
        cap_percent: 5,
        interval_ms: 1_000,
    };
    let resource = resource("move", Spec::Shift(spec));
    let declare = route::Input::Declared(&resource);
    let outputs: Vec<Output> = bench.step(declare);
    assert!(outputs.is_empty());
    let mut last = 0;
    for _ in 0..8 {
        let (far, refused) = run_interval(&mut bench);
        assert_eq!(refused, 0);
        assert!(far <= last + 6, "{far} after {last}");
        last = far;
    }
    assert!((19..=21).contains(&last), "{last}");
    let snapshot = bench.router.snapshot(bench.now_us);
    let shift = snapshot.services[0].shift.unwrap();
    assert_eq!(shift.state, ShiftState::Done);
}

#[test]
fn a_queue_spills_over_under_the_cap() {
    let mut bench = capped();
    bench.upstream("near", "browse", "here-a", 1);
    let mut forwarded = 0;
    for _ in 0..100 {
        bench.now_us = bench.now_us.after_us(9_000);
        bench.arrive("browse", true);
        bench.step(route::Input::Tick);
        let requests = bench.take_forwarded();
        forwarded += requests.len();
        for request in requests {
            if forwarded > 1 {
                bench.finish(request);
            }
        }
    }
    let far = forwarded - 1;
    assert!((1..=11).contains(&far), "{far}");
}

/// The declared way to the other region takes longer than its answers do: what they took says
/// nothing against the upstreams here.
#[test]
fn answers_that_come_sooner_than_the_declared_way_eject_nobody() {
    let limits = Limits {
        cap: CAP,
        ..Limits::default()
    };
    let mut bench = Bench::new(config().with_limits(limits));
    for (near, far) in [("a", "e"), ("b", "f"), ("c", "g"), ("d", "h")] {
        bench.upstream(near, "browse", "here-a", 99);
        bench.upstream(far, "browse", "there-a", 99);
    }
    let spec = ShiftSpec {
        service: service("browse"),
        from: region("here"),
        to: region("there"),
        target_percent: 90,
        cap_percent: 90,
        interval_ms: 100,
    };
    bench.step(route::Input::Declared(&resource("move", Spec::Shift(spec))));
    let mut far = 0;
    for _ in 0..4_000 {
        let (request, step) = bench.arrive("browse", true);
        let Step::Forwarded(name) = step else {
            panic!("{step:?}");
        };
        far += u32::from(name.as_str() >= "e");
        bench.now_us = bench.now_us.after_ms(10);
        bench.finish(request);
    }
    assert!(far > 2_000, "{far} went far");
    let snapshot = bench.router.snapshot(bench.now_us);
    assert_eq!(snapshot.counters.ejections, 0);
}
