//! What is recorded of instances, compared with a walk over all of them.

use plan::{Change, INACTIVE_MAX, Instance, Registration, RegistrationStatus, Steering};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn registration(name: u8, port: u8, born_ms: u64, sequence: u64) -> Registration {
    Registration {
        id: format!("w-{name}").parse().expect("a valid name"),
        service: "catalogue".parse().expect("a valid name"),
        address: ([10, 9, 0, 1], 8_000 + u16::from(port)).into(),
        failure_domain: "east-a".parse().expect("a valid name"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born_ms,
        sequence,
    }
}

fn apply(steering: &mut Steering, index: u64, change: &Change) {
    steering.apply(index, 0, change).expect("it is no plan");
}

fn by_name<'a>(instances: impl Iterator<Item = &'a Instance>) -> BTreeMap<String, Instance> {
    instances
        .map(|it| (it.id.to_string(), it.clone()))
        .collect()
}

/// The changed instances after an index, found by a walk.
fn walked(steering: &Steering, index: u64) -> BTreeMap<String, Instance> {
    by_name(steering.instances().filter(|it| it.revision > index))
}

/// Whether a later run under another name has the registration's address, found by a walk.
fn is_displaced(steering: &Steering, registration: &Registration) -> bool {
    steering.instances().any(|it| {
        it.address == registration.address
            && it.id != registration.id
            && it.is_present()
            && it.born_ms > registration.born_ms
    })
}

fn changes() -> impl Strategy<Value = Change> {
    let (name, port, born_ms) = (0..6_u8, 0..4_u8, 0..5_u64);
    let id = |name: u8| format!("w-{name}").parse().expect("a valid name");
    prop_oneof![
        4 => (name.clone(), port, born_ms.clone(), 0..30_u64).prop_map(
            |(name, port, born_ms, sequence)| Change::Register(registration(
                name, port, born_ms, sequence
            ))
        ),
        1 => (name.clone(), prop::option::of(born_ms.clone()))
            .prop_map(move |(name, born_ms)| Change::Leave { id: id(name), born_ms, received_ms: None }),
        1 => (name, born_ms).prop_map(move |(name, born_ms)| Change::Expire { id: id(name), born_ms }),
    ]
}

proptest! {
    /// After any changes, polls get what a walk finds, each address has one present instance, and
    /// the state that a snapshot restores behaves the same.
    #[test]
    fn changes_and_addresses_match_a_walk(changes in prop::collection::vec(changes(), 1..80)) {
        let mut steering = Steering::default();
        for (index, change) in (1..).zip(&changes) {
            apply(&mut steering, index, change);
            for since in 1..=index {
                let told = steering.changes_since(since);
                if told.complete {
                    continue;
                }
                prop_assert_eq!(by_name(told.instances.iter()), walked(&steering, since));
            }
            let mut addresses: Vec<_> = steering.instances().filter(|it| it.is_present()).collect();
            addresses.sort_by_key(|it| it.address);
            prop_assert!(addresses.windows(2).all(|pair| pair[0].address != pair[1].address));
        }
        let json = serde_json::to_string(&steering).expect("it is plain data");
        let restored: Steering = serde_json::from_str(&json).expect("it was just written");
        prop_assert_eq!(&restored, &steering);
        for name in 0..6 {
            for port in 0..4 {
                for born_ms in 0..5 {
                    let late = registration(name, port, born_ms, 99);
                    let status = steering.compare(&late, 0);
                    prop_assert_eq!(restored.compare(&late, 0), status);
                    if is_displaced(&steering, &late) {
                        prop_assert_eq!(status, RegistrationStatus::Stale);
                    }
                }
            }
        }
        let last = changes.len() as u64;
        for since in 1..last {
            prop_assert_eq!(
                by_name(restored.changes_since(since).instances.iter()),
                by_name(steering.changes_since(since).instances.iter())
            );
        }
    }
}

#[test]
fn the_instances_that_ended_first_are_forgotten_and_older_polls_get_a_complete_list() {
    let mut steering = Steering::default();
    let count = INACTIVE_MAX as u64 + 10;
    for n in 0..count {
        let mut registration = registration(0, 0, 1, 1);
        registration.id = format!("w-{n}").parse().expect("a valid name");
        registration.address = ([10, 1, (n >> 8) as u8, n as u8], 80).into();
        let id = registration.id.clone();
        apply(&mut steering, 2 * n + 1, &Change::Register(registration));
        let leave = Change::Leave {
            id,
            born_ms: None,
            received_ms: None,
        };
        apply(&mut steering, 2 * n + 2, &leave);
    }
    assert_eq!(steering.instances().count(), INACTIVE_MAX);
    assert!(steering.instance("w-9").is_none());
    assert!(steering.instance("w-10").is_some());
    assert!(steering.changes_since(1).complete);
    let recent = steering.changes_since(2 * count - 2);
    assert!(!recent.complete);
    assert_eq!(recent.instances.len(), 1);
}

#[test]
fn a_snapshot_of_an_older_build_is_read() {
    let json = r#"{"in_force":null,"accepted":{},"evacuated":[],"evacuated_revision":0,
        "instances":{"w-1":{"id":"w-1","service":"catalogue","address":"10.9.0.1:8001",
            "failure_domain":"east-a","slots":3,"state":"ready","cold_until_ms":0,"born_ms":5,
            "sequence":4,"revision":7}},
        "revision":7,"forgotten_revision":0}"#;
    let steering: Steering = serde_json::from_str(json).expect("the format is unchanged");
    assert_eq!(steering.changes_since(6).instances.len(), 1);
    let displaced = registration(2, 1, 4, 1);
    assert_eq!(steering.compare(&displaced, 0), RegistrationStatus::Stale);
}
