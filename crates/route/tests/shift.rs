//! The cap on traffic that leaves the home region, declared shifts, drains and spillover.

mod common;

use common::{Harness, Reaction, config, region, resource, service};
use proptest::prelude::{ProptestConfig, any, proptest};
use route::{Cap, Limits, Output, Settled, ShiftController, ShiftReason, ShiftState};
use types::{DrainTarget, Outcome, Refusal, ShiftSpec, Spec, TimeUs};

const CAP: Cap = Cap {
    percent: 10,
    interval_ms: 1_000,
};
const TARGET_REGION: usize = 7;
const BASELINE_US: u64 = 50_000;

/// Runs one interval of 100 arrivals and returns how many left the home region. `remote_answer`
/// gives each remote request's latency, or `None` for a failure.
fn drive_interval(
    controller: &mut ShiftController,
    now_us: &mut TimeUs,
    remote_answer: impl Fn(u64) -> Option<u64>,
) -> u64 {
    let mut moved = 0;
    for _ in 0..100 {
        *now_us = now_us.after_ms(10);
        let sent =
            controller.record_arrival(*now_us) == Some(TARGET_REGION) && controller.may_move();
        match sent {
            true => {
                controller.record_moved();
                controller.record_answer(true, remote_answer(moved));
                moved += 1;
            }
            false => controller.record_answer(false, Some(BASELINE_US)),
        }
    }
    moved
}

fn drive_intervals(
    controller: &mut ShiftController,
    now_us: &mut TimeUs,
    intervals: u32,
) -> Vec<u64> {
    let baseline = |_| Some(BASELINE_US);
    (0..intervals)
        .map(|_| drive_interval(controller, now_us, baseline))
        .collect()
}

#[test]
fn a_shift_steps_by_the_cap_until_its_target() {
    let mut controller = ShiftController::new(CAP);
    controller.set_target(Some((TARGET_REGION, 35)));
    let mut now_us = TimeUs(1);
    let moved = drive_intervals(&mut controller, &mut now_us, 6);
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
    controller.set_target(Some((TARGET_REGION, 100)));
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
fn failures_and_latency_step_a_shift_back() {
    let failing: fn(u64) -> Option<u64> = |moved| (moved % 4 != 0).then_some(BASELINE_US);
    let slow: fn(u64) -> Option<u64> = |_| Some(BASELINE_US * 3);
    for (remote_answer, reason) in [
        (failing, ShiftReason::Failures),
        (slow, ShiftReason::Latency),
    ] {
        let mut controller = ShiftController::new(CAP);
        controller.set_target(Some((TARGET_REGION, 100)));
        let mut now_us = TimeUs(1);
        drive_intervals(&mut controller, &mut now_us, 4);
        let before = controller.progress().unwrap().step_percent;
        for _ in 0..3 {
            drive_interval(&mut controller, &mut now_us, remote_answer);
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
    controller.set_target(Some((TARGET_REGION, 100)));
    let mut now_us = TimeUs(1);
    drive_intervals(&mut controller, &mut now_us, 4);
    let before = controller.progress().unwrap().step_percent;
    for _ in 0..3 {
        drive_interval(&mut controller, &mut now_us, |_| Some(BASELINE_US * 7 / 4));
    }
    let progress = controller.progress().unwrap();
    assert!(progress.step_percent <= before + CAP.percent);
    assert_eq!(progress.state, ShiftState::Paused);
    assert_eq!(progress.reason, ShiftReason::Latency);
}

#[test]
fn a_withdrawn_shift_goes_back_by_steps() {
    let mut controller = ShiftController::new(CAP);
    controller.set_target(Some((TARGET_REGION, 30)));
    let mut now_us = TimeUs(1);
    drive_intervals(&mut controller, &mut now_us, 6);
    controller.set_target(None);
    let moved = drive_intervals(&mut controller, &mut now_us, 5);
    assert!(moved[0] >= 19, "{moved:?}");
    assert_eq!(*moved.last().unwrap(), 0, "{moved:?}");
}

#[test]
fn the_ceiling_stays_at_the_cap_while_nothing_moves() {
    let mut controller = ShiftController::new(CAP);
    let mut now_us = TimeUs(1);
    drive_intervals(&mut controller, &mut now_us, 8);
    assert_eq!(controller.ceiling_permille(), 100);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// However many requests try to leave the home region, the fraction of the arrivals that leaves
    /// never exceeds a bound that rises by the cap in each interval.
    #[test]
    fn the_cap_is_never_exceeded(
        gaps_ms in proptest::collection::vec(0_u64..60, 1..800),
        wants in proptest::collection::vec(any::<bool>(), 800),
        percent in 1_u32..60,
        target in proptest::option::of(0_u32..=100),
    ) {
        let cap = Cap { percent, interval_ms: 1_000 };
        let mut controller = ShiftController::new(cap);
        controller.set_target(target.map(|target| (TARGET_REGION, target)));
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
                controller.record_answer(true, Some(BASELINE_US));
            }
            assert!(moved * 100 <= allowed_percent + 100, "{moved} of {allowed_percent}");
        }
    }
}

/// A router with a cap of 10% an interval and room in both regions.
fn capped() -> Harness {
    let limits = Limits {
        cap: CAP,
        ..Limits::default()
    };
    let mut harness = Harness::new(config().with_limits(limits));
    harness.upstream("near", "browse", "here-a", 99);
    harness.upstream("far", "browse", "there-a", 99);
    harness
}

/// Runs one interval of 100 requests; returns how many went to the other region and how many were
/// refused for lack of capacity.
fn run_interval(harness: &mut Harness) -> (u32, u32) {
    let (mut far, mut refused) = (0, 0);
    for _ in 0..100 {
        harness.now_us = harness.now_us.after_ms(10);
        let (request, reaction) = harness.arrive("browse", true);
        match reaction {
            Reaction::Forwarded(name) => far += u32::from(name == "far"),
            Reaction::Settled(Settled {
                outcome: Outcome::DidNotRun,
                refusal: Some(Refusal::NoCapacity),
            }) => refused += 1,
            other => panic!("{other:?}"),
        }
        harness.finish(request);
    }
    (far, refused)
}

#[test]
fn traffic_leaves_a_drained_region_under_the_cap() {
    let mut harness = capped();
    run_interval(&mut harness);
    harness.drain(DrainTarget::Region(region("here")));
    let mut last = 0;
    for _ in 0..12 {
        let (far, refused) = run_interval(&mut harness);
        assert_eq!(far + refused, 100, "a request that may not move is refused");
        assert!(far <= last + 11, "{far} after {last}");
        last = far;
    }
    assert!(last >= 95, "not all traffic has moved: {last}%");
}

#[test]
fn a_declared_shift_sends_its_target_percentage_to_the_other_region() {
    let mut harness = capped();
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
    let outputs: Vec<Output> = harness.step(declare);
    assert!(outputs.is_empty());
    let mut last = 0;
    for _ in 0..8 {
        let (far, refused) = run_interval(&mut harness);
        assert_eq!(refused, 0);
        assert!(far <= last + 6, "{far} after {last}");
        last = far;
    }
    assert!((19..=21).contains(&last), "{last}");
    let snapshot = harness.router.snapshot(harness.now_us);
    let shift = snapshot.services[0].shift.unwrap();
    assert_eq!(shift.state, ShiftState::Done);
}

#[test]
fn a_queue_spills_over_under_the_cap() {
    let mut harness = capped();
    harness.upstream("near", "browse", "here-a", 1);
    // The first request occupies the only local slot to the end; the others have to queue and to
    // spill over.
    let mut forwarded = 0;
    for _ in 0..100 {
        harness.now_us = harness.now_us.after_us(9_000);
        harness.arrive("browse", true);
        harness.step(route::Input::Tick);
        let requests = harness.take_forwarded();
        forwarded += requests.len();
        for request in requests {
            if forwarded > 1 {
                harness.finish(request);
            }
        }
    }
    let far = forwarded - 1;
    assert!((1..=11).contains(&far), "{far}");
}

/// Answers from the other region come sooner than the declared round trip. Subtracting it would
/// make that region seem faster than it is, and the upstreams here slow by comparison; no upstream
/// may be ejected for it.
#[test]
fn answers_sooner_than_the_declared_round_trip_eject_no_upstream() {
    let limits = Limits {
        cap: CAP,
        ..Limits::default()
    };
    let mut harness = Harness::new(config().with_limits(limits));
    for (near, far) in [("a", "e"), ("b", "f"), ("c", "g"), ("d", "h")] {
        harness.upstream(near, "browse", "here-a", 99);
        harness.upstream(far, "browse", "there-a", 99);
    }
    let spec = ShiftSpec {
        service: service("browse"),
        from: region("here"),
        to: region("there"),
        target_percent: 90,
        cap_percent: 90,
        interval_ms: 100,
    };
    harness.step(route::Input::Declared(&resource("move", Spec::Shift(spec))));
    let mut far = 0;
    for _ in 0..4_000 {
        let (request, reaction) = harness.arrive("browse", true);
        let Reaction::Forwarded(name) = reaction else {
            panic!("{reaction:?}");
        };
        far += u32::from(name.as_str() >= "e");
        harness.now_us = harness.now_us.after_ms(10);
        harness.finish(request);
    }
    assert!(far > 2_000, "{far} went to the other region");
    let snapshot = harness.router.snapshot(harness.now_us);
    assert_eq!(snapshot.counters.ejections, 0);
}
