//! Tests each rule of the claim protocol under the fault that it protects against.

mod support;

use crate::support::{
    ENTRIES, TIMING, World, claimed_by, entry, finished, holders_and_outsider, index_of, key,
    no_majority, request_and_deliver, set,
};
use claim::{Decision, Ending, Limits, Progress, Unavailable};
use std::collections::BTreeSet;

#[test]
fn a_resend_to_another_entry_gets_the_first_answer() {
    let mut world = World::declared(ENTRIES);
    let first = request_and_deliver(&mut world, 0, &key(1));
    assert!(world.ran(&first));
    let early = request_and_deliver(&mut world, 1, &key(1));
    let claim = claimed_by(world.decision(&early));
    assert_eq!(claim.progress, Progress::Claimed);
    assert_eq!(claim.attempt.claimant, first.0);

    world.end(&first, finished());
    world.deliver_all(&[]);
    let late = request_and_deliver(&mut world, 2, &key(1));
    let progress = &claimed_by(world.decision(&late)).progress;
    let answer = Some(b"paid".to_vec());
    assert_eq!(
        *progress,
        Progress::Finished {
            status: 201,
            answer
        }
    );
}

#[test]
fn a_request_proved_not_run_frees_its_key() {
    let mut world = World::declared(ENTRIES);
    let first = request_and_deliver(&mut world, 0, &key(1));
    world.end(&first, Ending::DidNotRun);
    world.deliver_all(&[]);
    let second = request_and_deliver(&mut world, 1, &key(1));
    assert!(world.ran(&second));
    world.assert_at_most_once();
}

/// A delayed claim that arrives after its attempt ended must not block the key for the next one.
#[test]
fn a_late_claim_of_a_released_attempt_is_not_granted() {
    let mut world = World::declared(ENTRIES);
    let ([holder, ..], outsider) = holders_and_outsider(&key(1));
    let first = world.request(outsider, &key(1));
    let late = world.intercept(outsider, holder);
    world.deliver_all(&[]);
    world.end(&first, Ending::DidNotRun);
    world.deliver_all(&[]);
    late.into_iter()
        .for_each(|envelope| world.deliver(envelope));
    world.deliver_all(&[]);
    let second = request_and_deliver(&mut world, outsider, &key(1));
    assert!(world.ran(&second));
    assert_eq!(world.nodes[outsider].claimant.attempts(), 1);
}

#[test]
fn a_request_runs_while_one_holder_is_unreachable() {
    let mut world = World::declared(ENTRIES);
    let ([lost, ..], outsider) = holders_and_outsider(&key(1));
    let attempt = world.request(outsider, &key(1));
    world.deliver_all(&[lost]);
    assert!(world.ran(&attempt));
}

#[test]
fn without_a_majority_nothing_runs() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, _], outsider) = holders_and_outsider(&key(1));
    let attempt = world.request(outsider, &key(1));
    world.deliver_all(&[a, b]);
    assert_eq!(world.decision(&attempt), None);
    world.advance(TIMING.decide_us);
    assert!(no_majority(&world, &attempt));
}

#[test]
fn nothing_runs_while_no_entry_is_declared() {
    let mut world = World::declared(ENTRIES);
    world.declare(set([]));
    world.update_configurations();
    let attempt = request_and_deliver(&mut world, 0, &key(1));
    let reason = Unavailable::NoHolders;
    let decision = Decision::Unavailable { reason };
    assert_eq!(world.decision(&attempt), Some(&decision));
}

#[test]
fn a_claim_still_counts_after_its_holders_were_removed() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, _], outsider) = holders_and_outsider(&key(1));
    let first = request_and_deliver(&mut world, outsider, &key(1));
    assert!(world.ran(&first));
    world.declare(set((0..ENTRIES).filter(|index| ![a, b].contains(index))));
    world.update_configurations();
    let resend = request_and_deliver(&mut world, outsider, &key(1));
    assert_eq!(
        claimed_by(world.decision(&resend)).attempt.claimant,
        first.0
    );
    let other = request_and_deliver(&mut world, outsider, &key(2));
    assert!(world.ran(&other));
}

#[test]
fn a_holder_that_is_ahead_refuses_an_older_configuration() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = holders_and_outsider(&key(1));
    let without_a = set((0..ENTRIES).filter(|index| *index != a));
    world.declare(without_a);
    for index in [a, b, c] {
        world.update_configuration(index);
    }
    let behind = request_and_deliver(&mut world, outsider, &key(1));
    assert_eq!(world.decision(&behind), None);
    world.update_configuration(outsider);
    world.deliver_all(&[]);
    world.update_configurations();
    world.advance(300_000);
    world.deliver_all(&[]);
    assert!(world.ran(&behind));
}

#[test]
fn a_holder_without_a_lease_grants_nothing() {
    let mut world = World::declared(ENTRIES);
    world.advance(TIMING.lease_us);
    let attempt = request_and_deliver(&mut world, 0, &key(1));
    assert_eq!(world.decision(&attempt), None);
    world.advance(TIMING.decide_us);
    assert!(no_majority(&world, &attempt));
}

#[test]
fn a_full_holder_refuses_new_keys_and_keeps_the_stored_ones() {
    let limits = Limits {
        keys: 1,
        ..Limits::default()
    };
    let mut world = World::new(3, limits);
    world.declare(set(0..3));
    world.update_configurations();
    let first = request_and_deliver(&mut world, 0, &key(1));
    assert!(world.ran(&first));
    let second = request_and_deliver(&mut world, 0, &key(2));
    assert_eq!(world.decision(&second), None);
    let resend = request_and_deliver(&mut world, 1, &key(1));
    assert!(matches!(
        world.decision(&resend),
        Some(Decision::AlreadyClaimed { .. })
    ));
    assert_eq!(world.nodes[1].holder.status().keys, 1);
}

#[test]
fn answers_beyond_the_limit_are_not_stored() {
    let limits = Limits {
        answer_bytes: 3,
        ..Limits::default()
    };
    let mut world = World::new(3, limits);
    world.declare(set(0..3));
    world.update_configurations();
    let first = request_and_deliver(&mut world, 0, &key(1));
    world.end(&first, finished());
    world.deliver_all(&[]);
    let resend = request_and_deliver(&mut world, 1, &key(1));
    let progress = &claimed_by(world.decision(&resend)).progress;
    let answer = None;
    assert_eq!(
        *progress,
        Progress::Finished {
            status: 201,
            answer
        }
    );
    assert_eq!(world.nodes[0].holder.status().answer_bytes, 0);
}

#[test]
fn expired_keys_are_removed() {
    let mut world = World::declared(ENTRIES);
    for number in 0..50 {
        let attempt = request_and_deliver(&mut world, 0, &key(number));
        world.end(&attempt, finished());
        world.deliver_all(&[]);
    }
    world.advance(TIMING.retention_us() + 1);
    for node in &world.nodes {
        assert_eq!(node.holder.status().keys, 0);
        assert_eq!(node.holder.status().answer_bytes, 0);
        assert_eq!(node.claimant.attempts(), 0);
    }
}

#[test]
fn holders_run_in_distinct_regions_and_few_keys_move() {
    let all = set(0..9);
    let fewer = set(0..8);
    let mut moved = 0;
    for number in 0..300 {
        let holders = all.holders(&key(number));
        let regions: BTreeSet<usize> = holders.iter().map(|holder| index_of(holder) % 3).collect();
        assert_eq!(regions.len(), 3);
        moved += usize::from(holders != fewer.holders(&key(number)));
        if !holders.contains(&&entry(8)) {
            assert_eq!(holders, fewer.holders(&key(number)));
        }
    }
    assert!((60..=140).contains(&moved), "{moved} of 300 keys moved");
}
