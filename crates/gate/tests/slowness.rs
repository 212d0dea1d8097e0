//! What an upstream states about how long work takes there, beside what the gateway measures.

mod support;

use gate::{Ending, Gate, Load, Target};
use plan::RetrySafety;
use proptest::prelude::*;
use support::{REPLICA, answer, arrival, at_ms, forwarded, gate, instance, plan, route};

/// The run time that a gateway expects of a route with a target of 600 ms before the first sample.
const USUAL_RUN_MS: u64 = 300;

/// After this time a figure has no weight any more.
const FADED_MS: u64 = 800;

fn serving(upstreams: &[&str]) -> Gate {
    let mut gate = gate();
    let parts = [("catalogue", 1_000)];
    let routes = vec![route("browse", "/browse/", RetrySafety::AtMostOnce, &parts)];
    let instances = upstreams.iter().zip(10..);
    let instances = instances.map(|(id, n)| instance(id, "catalogue", "east-a", n));
    let answer = answer(20, Some(plan(1, routes)), instances.collect());
    gate.handle_poll_answer(REPLICA, answer, at_ms(0));
    gate
}

fn stating(slowness_percent: Option<u32>) -> Option<Load> {
    Some(Load {
        running: 1,
        waiting: 0,
        slots: 3,
        slowness_percent,
    })
}

fn send(gate: &mut Gate, ms: u64) -> Target {
    forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(ms)))
}

/// An attempt that is not run, so that only the figure in its answer says how long work takes.
fn state(gate: &mut Gate, percent: u32, ms: u64) -> String {
    let target = send(gate, ms);
    gate.attempt_ended(
        target.request,
        Ending::Full,
        stating(Some(percent)),
        at_ms(ms),
    );
    target.upstream.to_string()
}

fn expected_run_ms(gate: &mut Gate, ms: u64) -> u64 {
    let target = send(gate, ms);
    gate.attempt_ended(target.request, Ending::Left, None, at_ms(ms));
    target.expected_run_ms
}

/// Sends 20 requests that run one after another, and returns when they are done.
fn run_20(gate: &mut Gate, run_ms: u64, percent: Option<u32>, from_ms: u64) -> u64 {
    (0..20).fold(from_ms, |ms, _| {
        let target = send(gate, ms);
        let ended = at_ms(ms + run_ms);
        gate.attempt_ended(target.request, Ending::Answered, stating(percent), ended);
        ms + run_ms
    })
}

// A figure that was kept like a measured one kept requests away for seconds after the moment.
#[test]
fn an_upstream_slow_by_half_for_a_moment_is_avoided_for_that_moment() {
    let mut gate = serving(&["w-1", "w-22"]);
    let slow = state(&mut gate, 150, 0);
    for ms in 1..50 {
        let target = send(&mut gate, ms);
        assert_ne!(target.upstream.as_str(), slow, "{ms} ms after the figure");
        gate.attempt_ended(target.request, Ending::Left, None, at_ms(ms));
    }
    let targets = [send(&mut gate, FADED_MS), send(&mut gate, FADED_MS)];
    assert!(targets.iter().any(|it| it.upstream.as_str() == slow));
}

#[test]
fn a_figure_fades_within_a_few_hundred_milliseconds() {
    let mut gate = serving(&["w-1"]);
    state(&mut gate, 300, 0);
    assert!(expected_run_ms(&mut gate, 1) > 5 * USUAL_RUN_MS / 2);
    assert!(expected_run_ms(&mut gate, 300) < 3 * USUAL_RUN_MS / 2);
    assert!(expected_run_ms(&mut gate, FADED_MS) <= USUAL_RUN_MS * 102 / 100);
}

// The product of both would expect nine times the usual time.
#[test]
fn lasting_slowness_that_is_stated_and_measured_counts_once() {
    let mut gate = gate();
    // A tenth of the requests run at an upstream of their own, which is three times as slow.
    let parts = [("catalogue", 1_000), ("orders", 9_000)];
    let routes = vec![route("browse", "/browse/", RetrySafety::AtMostOnce, &parts)];
    let slow = instance("w-1", "catalogue", "east-a", 10);
    let usual = instance("w-22", "orders", "east-a", 11);
    let answer = answer(20, Some(plan(1, routes)), vec![slow, usual]);
    gate.handle_poll_answer(REPLICA, answer, at_ms(0));
    let (mut ms, mut slow_run_ms, mut usual_run_ms) = (0, 0, 0);
    for _ in 0..1_000 {
        let target = send(&mut gate, ms);
        let (run_ms, percent, expected_ms) = match target.upstream.as_str() {
            "w-1" => (3 * USUAL_RUN_MS, 300, &mut slow_run_ms),
            _ => (USUAL_RUN_MS, 100, &mut usual_run_ms),
        };
        *expected_ms = target.expected_run_ms;
        let ended = at_ms(ms + run_ms);
        let load = stating(Some(percent));
        gate.attempt_ended(target.request, Ending::Answered, load, ended);
        ms += 40;
    }
    let times = slow_run_ms as f64 / usual_run_ms as f64;
    assert!((2.0..4.0).contains(&times), "{times}");
}

// Runs that took long in a moment that the upstream stated made it count as slow for seconds.
#[test]
fn runs_in_a_stated_slow_moment_say_little_about_the_lasting_speed() {
    let expected_after = |percent| {
        let mut gate = serving(&["w-1"]);
        let ms = run_20(&mut gate, USUAL_RUN_MS, Some(100), 0);
        let target = send(&mut gate, ms);
        let ended_ms = ms + 2 * USUAL_RUN_MS;
        let load = stating(percent);
        gate.attempt_ended(target.request, Ending::Answered, load, at_ms(ended_ms));
        expected_run_ms(&mut gate, ended_ms + FADED_MS)
    };
    let (stated, unstated) = (expected_after(Some(200)), expected_after(None));
    assert!(stated < unstated, "{stated} and {unstated}");
}

#[test]
fn without_figures_the_measured_slowness_counts_alone() {
    let mut gate = serving(&["w-1"]);
    let ms = run_20(&mut gate, USUAL_RUN_MS, None, 0);
    assert_eq!(expected_run_ms(&mut gate, ms), USUAL_RUN_MS);
}

// A figure of 0 would attract every request, and the largest one would exclude the upstream.
#[test]
fn figures_that_are_nonsense_count_as_usual() {
    for percent in [0, u32::MAX] {
        let mut gate = serving(&["w-1"]);
        state(&mut gate, percent, 0);
        assert_eq!(expected_run_ms(&mut gate, 1), USUAL_RUN_MS);
    }
}

proptest! {
    #[test]
    fn any_figures_change_the_expected_time_within_bounds_and_are_forgotten(
        figures in proptest::collection::vec(any::<u32>(), 1..40),
    ) {
        let mut gate = serving(&["w-1"]);
        let mut ms = 0;
        for percent in figures {
            state(&mut gate, percent, ms);
            ms += 10;
            let run_ms = expected_run_ms(&mut gate, ms);
            prop_assert!((USUAL_RUN_MS / 2..=8 * USUAL_RUN_MS).contains(&run_ms), "{}", run_ms);
        }
        let run_ms = expected_run_ms(&mut gate, ms + 2 * FADED_MS);
        prop_assert!(run_ms.abs_diff(USUAL_RUN_MS) <= USUAL_RUN_MS / 100, "{}", run_ms);
    }
}
