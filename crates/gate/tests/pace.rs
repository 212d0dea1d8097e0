//! How fast upstreams fill that have started or recovered, under the loads that they meet then.

mod support;

use gate::{Arrival, Ending, Load, PaceChange, StateChange};
use plan::RetrySafety;
use support::{
    REPLICA, answer, arrival, at_ms,
    fleet::{Fleet, SLOTS},
    forwarded, gate, instance, plan, route,
};

/// The smaller of the two fleets that share upstreams of nine slots.
const GATEWAYS: usize = 34;

const WARM: usize = 11;

/// What eleven upstreams with nine slots and runs of 300 ms answer at full use, per second.
const FULL_PER_S: u64 = 330;

/// Three quarters of that.
const USUAL_PER_S: u64 = 250;

fn warm_fleet(gateways: usize, per_s: u64) -> Fleet {
    let mut fleet = Fleet::new(gateways, WARM, false, Some(100));
    fleet.run(3_000, per_s);
    fleet
}

fn pace_changes(fleet: &Fleet) -> Vec<PaceChange> {
    let pace = |change: &StateChange| match change {
        StateChange::Pace { change, .. } => Some(*change),
        _ => None,
    };
    fleet.changes.iter().filter_map(pace).collect()
}

fn count(fleet: &Fleet, counted: impl Fn(&PaceChange) -> bool) -> usize {
    pace_changes(fleet)
        .iter()
        .filter(|change| counted(change))
        .count()
}

// All gateways that saw the idle upstream sent there at once: it had 43 requests for its nine slots.
#[test]
fn a_fleet_that_meets_one_fresh_upstream_neither_floods_it_nor_leaves_it_idle() {
    for gateways in [GATEWAYS, 118] {
        let mut fleet = warm_fleet(gateways, FULL_PER_S);
        fleet.start_upstream(true);
        fleet.upstreams[WARM].slowness_percent = 200;
        fleet.run(1_500, FULL_PER_S);
        let most_requests = fleet.upstreams[WARM].most_requests;
        assert!(most_requests <= 2 * SLOTS, "{most_requests}");
        fleet.upstreams[WARM].slowness_percent = 100;
        let before: Vec<u32> = fleet.upstreams.iter().map(|it| it.answered).collect();
        fleet.run(4_000, FULL_PER_S);
        let answered = fleet.upstreams.iter().zip(before);
        let answered: Vec<u32> = answered.map(|(it, before)| it.answered - before).collect();
        assert!(2 * answered[WARM] > answered[0], "{answered:?}");
        assert!(count(&fleet, |it| *it == PaceChange::Ended) > 0);
    }
}

/// The upstreams that requests for 20 objects go to, one after the other, where all of them started at
/// `born_ms` by a clock that shows 1,000 s, and the fleet is large.
fn chosen_for_objects(born_ms: u64) -> Vec<String> {
    const STATED: Load = Load {
        running: 0,
        waiting: 0,
        slots: 3,
        slowness_percent: Some(100),
    };
    let mut gate = gate();
    let parts = [("catalogue", 1_000)];
    let mut browse = route("browse", "/browse/", RetrySafety::Idempotent, &parts);
    browse.sticky = true;
    let instances = ["w-1", "w-22", "w-333", "w-4444"].iter().zip(10..);
    let instances = instances.map(|(id, n)| {
        let mut instance = instance(id, "catalogue", "east-a", n);
        instance.born_ms = born_ms;
        instance
    });
    let mut answer = answer(20, Some(plan(1, vec![browse])), instances.collect());
    (answer.clock_ms, answer.gateways) = (1_000_000, 118);
    gate.handle_poll_answer(REPLICA, answer, at_ms(0));
    let chosen = (0..20).map(|object| {
        let arrival = Arrival {
            object: Some(object),
            ..arrival("/browse/1")
        };
        let target = forwarded(gate.handle_arrival(&arrival, at_ms(object)));
        gate.attempt_ended(target.request, Ending::Left, Some(STATED), at_ms(object));
        target.upstream.to_string()
    });
    chosen.collect()
}

// Gateways that wait for their turn at a fresh upstream sent its objects elsewhere, where each ran three
// times as long and took another object's place.
#[test]
fn a_request_for_an_object_waits_for_no_turn_at_a_fresh_upstream() {
    assert_eq!(chosen_for_objects(1_000_000), chosen_for_objects(1));
}

// An upstream whose answers alone widen its window must get the first request without them.
#[test]
fn a_fresh_upstream_gets_requests_of_a_single_gateway_until_it_is_filled() {
    let mut fleet = warm_fleet(1, FULL_PER_S);
    fleet.start_upstream(true);
    fleet.run(8_000, FULL_PER_S);
    assert_eq!(count(&fleet, |it| *it == PaceChange::Ended), 1);
}

// When every upstream is paced, none must be left out and no request refused for it.
#[test]
fn after_a_mass_restart_of_upstreams_nothing_is_starved() {
    let mut fleet = Fleet::new(GATEWAYS, WARM, true, Some(100));
    fleet.run(3_000, USUAL_PER_S);
    assert_eq!(fleet.refused, 0);
    let answered: Vec<u32> = fleet.upstreams.iter().map(|it| it.answered).collect();
    let least = answered.iter().min().copied().unwrap_or_default();
    let total: u32 = answered.iter().sum();
    assert!(4 * least * WARM as u32 > total, "{answered:?}");
}

// An upstream that had failed twice was the last choice for good, although it had recovered; and one
// that goes on failing must cost no more than a few requests of each gateway.
#[test]
fn an_upstream_that_recovers_and_fails_again_is_tried_with_few_requests_and_filled_again() {
    const OUTAGES: usize = 4;
    let mut fleet = warm_fleet(GATEWAYS, FULL_PER_S);
    for _ in 0..OUTAGES {
        fleet.upstreams[0].fails = true;
        fleet.run(2_000, FULL_PER_S);
        fleet.upstreams[0].fails = false;
        for upstream in &mut fleet.upstreams {
            upstream.most_requests = 0;
        }
        fleet.run(1_000, FULL_PER_S);
        // This load is all that eleven upstreams can take, so that requests queue at each.
        let most: Vec<usize> = fleet.upstreams.iter().map(|it| it.most_requests).collect();
        assert!(most[1..].iter().all(|other| most[0] < *other), "{most:?}");
    }
    let failed = fleet.upstreams[0].failed as usize;
    assert!(failed <= 6 * GATEWAYS, "{failed}");
    fleet.run(8_000, USUAL_PER_S);
    let before: Vec<u32> = fleet.upstreams.iter().map(|it| it.answered).collect();
    fleet.run(3_000, USUAL_PER_S);
    let answered = |index: usize| fleet.upstreams[index].answered - before[index];
    assert!(
        2 * answered(0) > answered(1),
        "{} {}",
        answered(0),
        answered(1)
    );
    // Begin and end alternate, so that an upstream that fails again and again writes few lines.
    let began = count(&fleet, |it| matches!(it, PaceChange::Began(_)));
    assert!(began <= GATEWAYS * OUTAGES, "{began}");
}

// A moment's slowness, which the upstream states, is no reason to send it half as much afterwards.
#[test]
fn a_fresh_upstream_slow_by_half_for_a_moment_keeps_its_window() {
    let mut fleet = warm_fleet(GATEWAYS, USUAL_PER_S);
    fleet.start_upstream(true);
    for percent in [100, 150, 100, 150, 100] {
        fleet.upstreams[WARM].slowness_percent = percent;
        fleet.upstreams[WARM].stated_percent = Some(percent);
        fleet.run(500, USUAL_PER_S);
    }
    assert_eq!(count(&fleet, |it| *it == PaceChange::Halved), 0);
}

#[test]
fn nonsensical_figures_of_a_fresh_upstream_keep_no_requests_from_it() {
    for percent in [0, u32::MAX] {
        let mut fleet = warm_fleet(GATEWAYS, FULL_PER_S);
        fleet.start_upstream(true);
        fleet.upstreams[WARM].stated_percent = Some(percent);
        fleet.run(4_000, FULL_PER_S);
        let answered = |index: usize| fleet.upstreams[index].answered;
        assert!(answered(WARM) > answered(0) / 4, "{}", answered(WARM));
        assert!(count(&fleet, |it| *it == PaceChange::Ended) > 0);
    }
}

// Deployments whose upstreams don't state how long work takes must be served as before.
#[test]
fn without_the_figure_a_fresh_upstream_is_chosen_like_any_other() {
    let run = |is_fresh| {
        let mut fleet = Fleet::new(GATEWAYS, WARM, false, None);
        fleet.run(3_000, FULL_PER_S);
        fleet.start_upstream(is_fresh);
        fleet.run(3_000, FULL_PER_S);
        let answered = fleet.upstreams.iter().map(|it| it.answered);
        (answered.collect::<Vec<_>>(), pace_changes(&fleet))
    };
    let (answered, changes) = run(true);
    assert_eq!(answered, run(false).0);
    assert_eq!(changes, []);
}
