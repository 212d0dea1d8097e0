//! Commands against the state machine: versions and conflicts, all-or-nothing changes, validation,
//! and the changes that watches and entries get.

mod resources;

use resources::{
    apply, command, deployed, deployment, drain, entry, key, link, put, region, run, service,
};
use serde_json::json;
use state::{
    Applied, ChangeAnswer, HISTORY_MAX_CHANGES, InvalidReason, Operation, Rejection, State,
};
use types::{ApiError, Key};

fn applied(answer: Result<ChangeAnswer, Rejection>) -> Applied {
    match answer {
        Ok(ChangeAnswer::Applied(applied)) => applied,
        other => panic!("not applied: {other:?}"),
    }
}

fn conflict(text: &str, current_version: u64) -> Rejection {
    Rejection::Conflict {
        key: key(text),
        current_version,
    }
}

#[test]
fn of_two_changes_based_on_the_same_version_the_second_is_a_conflict() {
    let mut state = deployed();
    assert!(run(&mut state, put(region("gauteng", 70), 1)).is_ok());
    let second = run(&mut state, put(region("gauteng", 80), 1));
    assert_eq!(second, Err(conflict("region/gauteng", 2)));
    let created_twice = run(&mut state, put(region("kzn", 80), 0));
    assert_eq!(created_twice, Err(conflict("region/kzn", 1)));
    let missing = run(&mut state, put(region("cape", 80), 3));
    assert_eq!(missing, Err(conflict("region/cape", 0)));
}

#[test]
fn apply_changes_all_or_nothing() {
    let mut state = deployed();
    let before = state.clone();
    let changes = vec![region("gauteng", 70), region("cape", 10), region("kzn", 0)];
    let answer = run(&mut state, apply(changes, false));
    assert!(matches!(
        answer,
        Err(Rejection::Invalid {
            reason: InvalidReason::ZeroCapacity,
            ..
        })
    ));
    assert!(state.resources(None).eq(before.resources(None)));
    assert_eq!(state.revision(), before.revision());
}

#[test]
fn prune_withdraws_what_is_not_named_and_unchanged_resources_keep_their_version() {
    let mut state = deployed();
    let mut declared = deployment();
    declared.pop();
    declared[0] = region("gauteng", 61);
    let preview = state
        .preview(&apply(declared.clone(), true))
        .expect("the change is valid");
    assert_eq!(state, deployed(), "a preview changes nothing");
    let answer = applied(run(&mut state, apply(declared, true)));
    assert_eq!(answer.withdrawn, [key("drain/entry-1")]);
    assert_eq!(answer.changed, [key("region/gauteng")]);
    assert_eq!(answer.unchanged.len(), 5);
    assert_eq!(
        answer,
        Applied {
            revision: 2,
            ..preview
        }
    );
    let version = |text: &str| {
        state
            .get(&key(text))
            .map(|resource| (resource.version, resource.revision))
    };
    assert_eq!(version("region/gauteng"), Some((2, 2)));
    assert_eq!(version("region/kzn"), Some((1, 1)));
    assert_eq!(version("drain/entry-1"), None);
}

#[test]
fn an_apply_that_changes_nothing_keeps_the_revision() {
    let mut state = deployed();
    let answer = applied(run(&mut state, apply(deployment(), true)));
    assert_eq!((answer.revision, answer.unchanged.len()), (1, 7));
    assert_eq!((state.revision(), state.applied_index()), (1, 2));
}

#[test]
fn a_resource_in_use_is_not_withdrawn() {
    let mut state = deployed();
    let delete = |text: &str| Operation::Delete {
        key: key(text),
        based_on: 1,
    };
    for (text, user) in [
        ("region/gauteng", "link/gauteng-kzn"),
        ("service/browse", "shift/browse-kzn"),
        ("entry/entry-1", "drain/entry-1"),
    ] {
        let in_use = Rejection::Invalid {
            key: key(text),
            reason: InvalidReason::InUse,
            subject: user.to_owned(),
        };
        assert_eq!(run(&mut state, delete(text)), Err(in_use));
    }
    assert!(run(&mut state, delete("drain/entry-1")).is_ok());
    assert_eq!(
        run(&mut state, delete("drain/entry-1")),
        Err(Rejection::NotFound)
    );
}

#[test]
fn a_watch_gets_every_change_or_an_error() {
    let mut state = deployed();
    for capacity in 100..110 {
        run(&mut state, apply(vec![region("kzn", capacity)], false)).expect("valid");
    }
    let changes = state.watch(1, 4).expect("nothing is dropped yet");
    let revisions: Vec<u64> = changes.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, [2, 3, 4, 5]);
    for _ in 0..HISTORY_MAX_CHANGES {
        let version = state
            .get(&key("region/kzn"))
            .map_or(0, |resource| resource.version);
        run(
            &mut state,
            put(region("kzn", 1000 + version as u32), version),
        )
        .expect("valid");
    }
    let Err(ApiError::Compacted { oldest_revision }) = state.watch(1, 4) else {
        panic!("the first changes are no longer kept");
    };
    let rest = state.watch(oldest_revision, usize::MAX).expect("kept");
    assert_eq!(rest.len(), HISTORY_MAX_CHANGES);
    assert_eq!(rest[0].revision, oldest_revision + 1);
    assert!(state.changes_since(1).complete);
}

#[test]
fn changes_since_an_index_hold_the_latest_of_each_resource_and_withdrawals() {
    let mut state = deployed();
    run(&mut state, apply(vec![region("kzn", 1)], false)).expect("valid");
    run(&mut state, apply(vec![region("kzn", 2)], false)).expect("valid");
    let delete = Operation::Delete {
        key: key("drain/entry-1"),
        based_on: 1,
    };
    run(&mut state, delete).expect("valid");
    let changes = state.changes_since(1);
    assert!(!changes.complete);
    let keys: Vec<&Key> = changes.changes.iter().map(|change| &change.key).collect();
    assert_eq!(keys, [&key("region/kzn"), &key("drain/entry-1")]);
    assert_eq!(state.changes_since(4).changes, []);
    assert_eq!(state.changes_since(9).changes, []);
}

#[test]
fn resources_beyond_the_size_limit_are_rejected() {
    let mut state = deployed();
    let many = (0..4_000).map(|n| drain(&format!("worker-{n}"), "upstream", "worker"));
    let answer = run(&mut state, apply(many.collect(), false));
    assert_eq!(answer, Err(Rejection::TooLarge));
}

#[test]
fn each_broken_rule_has_its_own_reason() {
    use InvalidReason as R;
    let region_fields = |slots: u32, domains: &[&str]| {
        let fields = json!({"capacity_slots": slots, "failure_domains": domains});
        resources::declare("region/cape", fields, None)
    };
    let shift = |from: &str, to: &str, target: u32, cap: u32, interval_ms: u64| {
        let fields = json!({"service": "browse", "from": from, "to": to,
            "target_percent": target, "cap_percent": cap, "interval_ms": interval_ms});
        resources::declare("shift/other", fields, None)
    };
    let mut no_deadline = service("stock", &["kzn"]);
    no_deadline.spec = resources::spec(
        "service",
        json!({"regions": ["kzn"],
        "idempotent": true, "priority": "browse", "deadline_ms": 0, "answer_bytes": 1}),
    );
    let mut no_limit = link("x", "gauteng", "cape");
    no_limit.spec = resources::spec(
        "link",
        json!({"a": "gauteng", "b": "cape", "limit_kbps": 0, "delay_us": 1}),
    );
    let no_service = resources::declare(
        "shift/other",
        json!({"service": "nothing",
        "from": "kzn", "to": "gauteng", "target_percent": 1, "cap_percent": 1,
        "interval_ms": 1}),
        None,
    );
    let cases = vec![
        (vec![link("x", "gauteng", "nowhere")], R::UnknownRegion),
        (vec![service("stock", &["nowhere"])], R::UnknownRegion),
        (vec![drain("x", "region", "nowhere")], R::UnknownRegion),
        (
            vec![entry("entry-2", "kzn", "gauteng-a", 2)],
            R::UnknownFailureDomain,
        ),
        (
            vec![drain("x", "failure_domain", "nowhere")],
            R::UnknownFailureDomain,
        ),
        (vec![drain("x", "entry", "nobody")], R::UnknownEntry),
        (vec![no_service], R::UnknownService),
        (vec![region("kzn", 0)], R::ZeroCapacity),
        (vec![region("cape", 1), no_limit], R::ZeroLimit),
        (vec![shift("kzn", "gauteng", 1, 0, 1)], R::ZeroCap),
        (vec![shift("kzn", "gauteng", 1, 1, 0)], R::ZeroInterval),
        (vec![no_deadline], R::ZeroDeadline),
        (vec![shift("kzn", "gauteng", 101, 1, 1)], R::PercentTooLarge),
        (vec![shift("kzn", "gauteng", 1, 101, 1)], R::PercentTooLarge),
        (vec![link("x", "kzn", "kzn")], R::SameEnds),
        (vec![link("x", "kzn", "gauteng")], R::DuplicateLink),
        (vec![shift("kzn", "kzn", 1, 1, 1)], R::SameRegion),
        (
            vec![region("cape", 1), shift("kzn", "cape", 1, 1, 1)],
            R::RegionWithoutService,
        ),
        (vec![shift("gauteng", "kzn", 1, 1, 1)], R::ConflictingShift),
        (vec![service("stock", &[])], R::EmptyList),
        (vec![region_fields(1, &[])], R::EmptyList),
        (vec![service("stock", &["kzn", "kzn"])], R::Repeated),
        (vec![region_fields(1, &["x", "x"])], R::Repeated),
        (
            vec![region_fields(1, &["kzn-a"])],
            R::DuplicateFailureDomain,
        ),
        (
            vec![entry("entry-2", "kzn", "kzn-a", 1)],
            R::DuplicateAddress,
        ),
        (vec![region("kzn", 1), region("kzn", 2)], R::DeclaredTwice),
    ];
    let mut covered = vec![R::InUse];
    for (declarations, expected) in cases {
        let answer = run(&mut deployed(), apply(declarations.clone(), false));
        let Err(Rejection::Invalid { reason, .. }) = answer else {
            panic!("{declarations:?} was not rejected as invalid");
        };
        assert_eq!(reason, expected, "{declarations:?}");
        covered.push(reason);
    }
    for reason in <R as strum::IntoEnumIterator>::iter() {
        assert!(covered.contains(&reason), "no case for {reason}");
    }
}

#[test]
fn an_encoded_command_decodes_to_the_same_command() {
    let original = command("r1", 7, apply(deployment(), true));
    let bytes = original.encode().expect("JSON");
    assert_eq!(state::Command::decode(&bytes).expect("a command"), original);
    assert!(state::Command::decode(b"{}").is_err());
    assert_eq!(State::new().applied_index(), 0);
}
