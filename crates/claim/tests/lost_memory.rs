//! Holders that restart without their records never let a key run twice within the horizon.

mod support;

use crate::support::{
    ENTRIES, TIMING, World, claimed_by, entry, holders_and_outsider, key, no_majority,
    request_and_deliver, set,
};
use claim::{Limits, Message};

#[test]
fn a_restarted_holder_grants_only_what_it_recovered() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = holders_and_outsider(&key(1));
    let first = world.request(outsider, &key(1));
    world.deliver_all(&[c]);
    assert!(world.ran(&first));

    world.restart(a);
    world.update_configurations();
    let recovery = world.intercept(a, b);
    let unrecovered = world.request(outsider, &key(1));
    world.deliver_all(&[b]);
    assert_eq!(
        world.decision(&unrecovered),
        None,
        "a holder that has not recovered must not grant"
    );

    recovery
        .into_iter()
        .for_each(|envelope| world.deliver(envelope));
    world.deliver_all(&[]);
    assert!(world.nodes[a].holder.status().missing.is_empty());
    world.advance(TIMING.decide_us);
    world.update_configurations();
    world.network.clear();
    let recovered = world.request(outsider, &key(1));
    world.deliver_all(&[b]);
    assert!(
        !world.ran(&recovered),
        "the recovered holder knows the claim"
    );
    let other = world.request(outsider, &key(2));
    world.deliver_all(&[]);
    assert!(world.ran(&other));
}

/// A restarted holder can't recover a grant that no other holder stores. If the claimant still
/// counted that grant together with a later one of another holder, both its attempt and a second
/// one, granted by the restarted holder, would run.
#[test]
fn a_grant_from_before_a_known_restart_does_not_count() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = holders_and_outsider(&key(1));
    let stale = world.request(outsider, &key(1));
    let delayed = world.intercept(outsider, b);
    world.intercept(outsider, c);
    world.deliver_all(&[]);

    world.restart(a);
    world.update_configurations();
    world.deliver_all(&[]);
    let second = world.request(a, &key(1));
    world.intercept(a, b);
    world.deliver_all(&[]);
    assert!(
        world.ran(&second),
        "granted by the restarted holder and {}",
        entry(c)
    );

    delayed
        .into_iter()
        .for_each(|envelope| world.deliver(envelope));
    world.deliver_all(&[]);
    assert!(!world.ran(&stale));
    world.assert_at_most_once();
}

/// The restarted holder recovers a claim of each of two attempts. It must not give the second one a
/// majority, since the first may have had one and run.
#[test]
fn a_holder_that_recovered_two_claims_of_a_key_grants_neither() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = holders_and_outsider(&key(1));
    let first = world.request(outsider, &key(1));
    world.intercept(outsider, c);
    let second = world.request(c, &key(1));
    world.intercept(c, a);
    world.intercept(c, b);
    world.deliver_all(&[]);
    assert!(world.ran(&first));
    assert!(!world.ran(&second));

    world.restart(a);
    world.update_configurations();
    world.deliver_all(&[]);
    world.advance(TIMING.decide_us / 2);
    world.deliver_all(&[]);
    assert!(!world.ran(&second));
    world.assert_at_most_once();
}

/// When two of the three holders restart, the third may not have granted a claim that ran. So
/// nothing is granted until any such claim has expired.
#[test]
fn two_restarted_holders_grant_nothing_within_the_horizon() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = holders_and_outsider(&key(1));
    let first = world.request(outsider, &key(1));
    world.deliver_all(&[c]);
    assert!(world.ran(&first));
    world.restart(a);
    world.restart(b);
    world.update_configurations();
    world.deliver_all(&[]);
    let resend = request_and_deliver(&mut world, outsider, &key(1));
    assert!(!world.ran(&resend), "two holders have lost their records");
    world.advance(TIMING.decide_us);
    assert!(no_majority(&world, &resend));

    world.advance(TIMING.retention_us());
    world.update_configurations();
    world.network.clear();
    let late = request_and_deliver(&mut world, outsider, &key(1));
    assert!(world.ran(&late));
    world.assert_at_most_once();
}

#[test]
fn a_restarted_sole_holder_grants_nothing_within_the_horizon() {
    let mut world = World::new(1, Limits::default());
    world.declare(set([0]));
    world.update_configurations();
    let first = request_and_deliver(&mut world, 0, &key(1));
    assert!(world.ran(&first));
    world.restart(0);
    world.update_configurations();
    let early = request_and_deliver(&mut world, 0, &key(1));
    assert!(!world.ran(&early));
    world.advance(TIMING.retention_us());
    world.update_configurations();
    let late = request_and_deliver(&mut world, 0, &key(1));
    assert!(world.ran(&late));
    world.assert_at_most_once();
}

#[test]
fn a_second_holder_may_restart_once_the_first_has_recovered() {
    let mut world = World::declared(ENTRIES);
    let ([a, b, c], outsider) = holders_and_outsider(&key(1));
    let first = world.request(outsider, &key(1));
    world.deliver_all(&[c]);
    assert!(world.ran(&first));
    for lost in [a, b] {
        world.restart(lost);
        world.update_configurations();
        world.deliver_all(&[]);
        assert!(world.nodes[lost].holder.status().missing.is_empty());
    }
    let resend = request_and_deliver(&mut world, outsider, &key(1));
    assert_eq!(
        claimed_by(world.decision(&resend)).attempt.claimant,
        first.0
    );
    let other = request_and_deliver(&mut world, outsider, &key(2));
    assert!(world.ran(&other));
}

#[test]
fn a_recovery_in_many_chunks_is_complete() {
    let mut world = World::declared(ENTRIES);
    let numbers = 0..2_000;
    for number in numbers.clone() {
        request_and_deliver(&mut world, number % ENTRIES, &key(number));
    }
    let before = world.nodes[0].holder.status().keys;
    world.restart(0);
    world.update_configuration(0);
    let mut chunks = 0;
    while !world.network.is_empty() {
        let envelope = world.network.remove(0);
        chunks += usize::from(matches!(envelope.message, Message::Recovered { .. }));
        world.deliver(envelope);
    }
    assert!(chunks > ENTRIES, "{chunks} chunks");
    assert_eq!(world.nodes[0].holder.status().keys, before);
    assert!(world.nodes[0].holder.status().missing.is_empty());
}
