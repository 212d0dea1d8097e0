//! The configuration lease: who may confirm, and what an entry without it does.

mod support;

use support::{DECLARED, Told, World};
use types::{CONFIG_LEASE_MS, Outcome, Refusal};

/// A poll period and what a lost one costs.
const POLL_MS: u64 = 600;

fn is_ready(world: &World) -> bool {
    world.entries[0].core.is_ready(world.now_us())
}

#[test]
fn an_entry_without_a_majority_stops_taking_work_within_its_lease_and_comes_back() {
    let mut world = World::new(1);
    assert!(is_ready(&world));
    world.replica("control-1").reachable = false;
    world.replica("control-2").reachable = false;
    world.pass_ms(CONFIG_LEASE_MS);
    let request = world.send(0, None);
    let Told::Settled(settled) = &world.told[&(0, request)] else {
        panic!("the request was taken");
    };
    assert_eq!(settled.outcome, Outcome::DidNotRun);
    assert_eq!(settled.refusal, Some(Refusal::ConfigurationLease));
    world.replica("control-2").reachable = true;
    world.pass_ms(POLL_MS);
    assert!(is_ready(&world));
}

#[test]
fn one_unreachable_replica_of_three_costs_nothing() {
    let mut world = World::new(1);
    world.replica("control-3").reachable = false;
    world.pass_ms(3 * CONFIG_LEASE_MS);
    assert!(is_ready(&world));
}

#[test]
fn answers_of_a_learner_confirm_nothing() {
    let mut world = World::new(1);
    world.replica("control-1").reachable = false;
    world.replica("control-2").votes = false;
    world.pass_ms(CONFIG_LEASE_MS + POLL_MS);
    assert!(!is_ready(&world));
}

#[test]
fn a_replica_that_came_back_without_its_disk_costs_nothing() {
    for emptied in ["control-1", "control-2", "control-3"] {
        let mut world = World::new(1);
        let replica = world.replica(emptied);
        replica.last_index = 0;
        replica.applied_index = 0;
        replica.votes = false;
        replica.voters = 0;
        world.pass_ms(3 * CONFIG_LEASE_MS);
        assert!(is_ready(&world), "{emptied}");
    }
}

#[test]
fn answers_under_an_older_membership_confirm_nothing() {
    let mut world = World::new(1);
    world.replica("control-1").membership_index = 9;
    world.pass_ms(CONFIG_LEASE_MS + POLL_MS);
    assert!(!is_ready(&world));
    world.replica("control-2").membership_index = 9;
    world.pass_ms(POLL_MS);
    assert!(is_ready(&world));
}

#[test]
fn a_change_that_a_majority_holds_and_the_entry_lacks_ends_the_lease() {
    let mut world = World::new(1);
    for name in ["control-1", "control-2"] {
        world.replica(name).last_index = DECLARED + 1;
    }
    world.pass_ms(CONFIG_LEASE_MS + POLL_MS);
    assert!(!is_ready(&world));
    world.replica("control-1").applied_index = DECLARED + 1;
    world.pass_ms(POLL_MS);
    assert!(is_ready(&world));
}

#[test]
fn an_uncommitted_tail_on_one_replica_costs_nothing() {
    let mut world = World::new(1);
    world.replica("control-3").last_index = DECLARED + 5;
    world.pass_ms(3 * CONFIG_LEASE_MS);
    assert!(is_ready(&world));
}

#[test]
fn a_frozen_entry_takes_no_work_when_it_wakes() {
    let mut world = World::new(1);
    world.now_ms += 30_000;
    let request = world.send(0, None);
    assert!(matches!(
        &world.told[&(0, request)],
        Told::Settled(settled) if settled.refusal == Some(Refusal::ConfigurationLease)
    ));
    assert!(world.runs.is_empty());
}

#[test]
fn a_lagging_replica_never_brings_an_older_configuration_back() {
    let mut world = World::new(1);
    let lagging = world.replica("control-3");
    lagging.applied_index = DECLARED - 1;
    lagging.last_index = DECLARED - 1;
    lagging.lists_nothing = true;
    world.pass_ms(CONFIG_LEASE_MS);
    assert_eq!(world.entries[0].core.applied_index(), DECLARED);
    let request = world.send(0, None);
    assert!(!world.told.contains_key(&(0, request)));
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn a_restarted_entry_takes_no_work_before_a_majority_confirmed_what_it_runs() {
    let mut world = World::new(1);
    for name in ["control-1", "control-2"] {
        world.replica(name).reachable = false;
    }
    world.restart(0);
    world.pass_ms(2_000);
    assert_eq!(world.entries[0].core.applied_index(), DECLARED);
    assert!(!is_ready(&world));
    world.replica("control-1").reachable = true;
    world.pass_ms(POLL_MS);
    assert!(is_ready(&world));
}
