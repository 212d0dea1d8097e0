//! Holders that lose their memory never let a key run twice.

mod support;

use crate::support::{
    ENTRIES, TIMING, World, claimed_by, entry, key, no_majority, roles, set, settled_request,
};
use claim::{Limits, Message};

#[test]
fn a_restarted_holder_grants_only_what_it_recovered() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = roles(&key(1));
    let first = world.request(outsider, &key(1));
    world.settle(&[c]);
    assert!(world.ran(&first));

    world.restart(a);
    world.confirm_all();
    let recovery = world.intercept(a, b);
    let blank = world.request(outsider, &key(1));
    world.settle(&[b]);
    assert_eq!(
        world.decision(&blank),
        None,
        "no majority of a blank holder"
    );

    recovery
        .into_iter()
        .for_each(|envelope| world.deliver(envelope));
    world.settle(&[]);
    assert!(world.nodes[a].holder.status().missing.is_empty());
    world.advance(TIMING.decide_us);
    world.confirm_all();
    world.network.clear();
    let known = world.request(outsider, &key(1));
    world.settle(&[b]);
    assert!(!world.ran(&known), "the recovered holder knows the claim");
    let other = world.request(outsider, &key(2));
    world.settle(&[]);
    assert!(world.ran(&other));
}

#[test]
fn a_grant_of_an_earlier_run_joins_no_majority_with_later_ones() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = roles(&key(1));
    let stale = world.request(outsider, &key(1));
    let delayed = world.intercept(outsider, b);
    world.intercept(outsider, c);
    world.settle(&[]);

    world.restart(a);
    world.confirm_all();
    world.settle(&[]);
    let second = world.request(a, &key(1));
    world.intercept(a, b);
    world.settle(&[]);
    assert!(
        world.ran(&second),
        "by the restarted holder and {}",
        entry(c)
    );

    delayed
        .into_iter()
        .for_each(|envelope| world.deliver(envelope));
    world.settle(&[]);
    assert!(!world.ran(&stale));
    world.check();
}

#[test]
fn holders_that_granted_different_attempts_leave_a_recovered_one_neutral() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = roles(&key(1));
    let first = world.request(outsider, &key(1));
    world.intercept(outsider, c);
    let second = world.request(c, &key(1));
    world.intercept(c, a);
    world.intercept(c, b);
    world.settle(&[]);
    assert!(world.ran(&first));
    assert!(!world.ran(&second));

    world.restart(a);
    world.confirm_all();
    world.settle(&[]);
    world.advance(TIMING.decide_us / 2);
    world.settle(&[]);
    assert!(!world.ran(&second));
    world.check();
}

#[test]
fn two_lost_memories_wait_for_the_horizon() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = roles(&key(1));
    let first = world.request(outsider, &key(1));
    world.settle(&[c]);
    assert!(world.ran(&first));
    world.restart(a);
    world.restart(b);
    world.confirm_all();
    world.settle(&[]);
    let resend = settled_request(&mut world, outsider, &key(1));
    assert!(!world.ran(&resend), "nobody remembers the claim");
    world.advance(TIMING.decide_us);
    assert!(no_majority(&world, &resend));

    world.advance(TIMING.keep_us());
    world.confirm_all();
    world.network.clear();
    let late = settled_request(&mut world, outsider, &key(1));
    assert!(world.ran(&late));
    world.check();
}

#[test]
fn a_sole_holder_waits_for_the_horizon() {
    let mut world = World::new(1, Limits::default());
    world.declare(set([0]));
    world.confirm_all();
    let first = settled_request(&mut world, 0, &key(1));
    assert!(world.ran(&first));
    world.restart(0);
    world.confirm_all();
    let early = settled_request(&mut world, 0, &key(1));
    assert!(!world.ran(&early));
    world.advance(TIMING.keep_us());
    world.confirm_all();
    let late = settled_request(&mut world, 0, &key(1));
    assert!(world.ran(&late));
    world.check();
}

#[test]
fn a_second_loss_after_a_repair_does_no_harm() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = roles(&key(1));
    let first = world.request(outsider, &key(1));
    world.settle(&[c]);
    assert!(world.ran(&first));
    for lost in [a, b] {
        world.restart(lost);
        world.confirm_all();
        world.settle(&[]);
        assert!(world.nodes[lost].holder.status().missing.is_empty());
    }
    let resend = settled_request(&mut world, outsider, &key(1));
    assert_eq!(
        claimed_by(world.decision(&resend)).attempt.claimant,
        first.0
    );
    let other = settled_request(&mut world, outsider, &key(2));
    assert!(world.ran(&other));
}

#[test]
fn a_recovery_in_many_parts_is_whole() {
    let mut world = World::declared(ENTRIES);
    let numbers = 0..2_000;
    for number in numbers.clone() {
        settled_request(&mut world, number % ENTRIES, &key(number));
    }
    let before = world.nodes[0].holder.status().keys;
    world.restart(0);
    world.confirm(0);
    let mut parts = 0;
    while !world.network.is_empty() {
        let envelope = world.network.remove(0);
        parts += usize::from(matches!(envelope.message, Message::Recovered { .. }));
        world.deliver(envelope);
    }
    assert!(parts > ENTRIES, "{parts} parts");
    assert_eq!(world.nodes[0].holder.status().keys, before);
    assert!(world.nodes[0].holder.status().missing.is_empty());
}
