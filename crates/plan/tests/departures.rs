//! What a confirmed notice to leave binds, whatever heartbeats come afterwards.

use plan::{Change, INACTIVE_MAX, InstanceState, Registration, RegistrationStatus, Steering};
use proptest::prelude::*;

/// When the notices of these tests come, in Unix milliseconds.
const NOW_MS: u64 = 1_800_000_000_000;

/// When the run that leaves started.
const BORN_MS: u64 = NOW_MS - 800;

/// A start far ahead of every clock.
const FAR_MS: u64 = NOW_MS + 365 * 86_400_000;

fn registration(born_ms: u64, sequence: u64) -> Registration {
    Registration {
        id: "w-1".parse().expect("a valid name"),
        service: "catalogue".parse().expect("a valid name"),
        address: ([10, 9, 0, 1], 8_001).into(),
        failure_domain: "east-a".parse().expect("a valid name"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born_ms,
        sequence,
    }
}

fn leave(born_ms: Option<u64>, received_ms: Option<u64>) -> Change {
    Change::Leave {
        id: "w-1".parse().expect("a valid name"),
        born_ms,
        received_ms,
    }
}

/// Applies changes in a row, each at a log index of its own.
fn apply(steering: &mut Steering, changes: impl IntoIterator<Item = Change>) {
    for change in changes {
        let index = steering.revision() + 1;
        steering
            .apply(index, 0, &change)
            .expect("changes of instances are accepted");
    }
}

fn after(changes: impl IntoIterator<Item = Change>) -> Steering {
    let mut steering = Steering::default();
    apply(&mut steering, changes);
    steering
}

fn register(born_ms: u64, sequence: u64) -> Change {
    Change::Register(registration(born_ms, sequence))
}

fn is_in_service(steering: &Steering) -> bool {
    steering.instance("w-1").is_some_and(|it| it.is_present())
}

// A notice that came before the first heartbeat of its run had no effect, and the late heartbeat put the
// instance into service: review/13.
#[test]
fn a_late_first_heartbeat_does_not_undo_a_leave() {
    let notices = [
        leave(None, Some(NOW_MS)),
        leave(Some(BORN_MS), Some(NOW_MS)),
        leave(Some(BORN_MS), None),
    ];
    for notice in notices {
        let steering = after([notice.clone(), register(BORN_MS, 1), register(BORN_MS, 2)]);
        assert!(!is_in_service(&steering), "{notice:?}");
    }
    // Runs that don't state their start can't be told apart.
    let steering = after([leave(None, None), register(0, 1)]);
    assert!(!is_in_service(&steering));
}

// The notice ended the recorded run, and the late heartbeat of the one that had left counted as later.
#[test]
fn a_late_first_heartbeat_does_not_undo_a_leave_where_an_earlier_run_is_recorded() {
    for born_ms in [None, Some(BORN_MS)] {
        let earlier = register(BORN_MS - 60_000, 9);
        let steering = after([earlier, leave(born_ms, Some(NOW_MS)), register(BORN_MS, 1)]);
        assert!(!is_in_service(&steering), "{born_ms:?}");
    }
}

// The same for a run whose own clock is a little ahead of the replica's.
#[test]
fn a_leave_binds_a_run_whose_clock_is_a_little_ahead() {
    let steering = after([leave(None, Some(NOW_MS)), register(NOW_MS + 400, 1)]);
    assert!(!is_in_service(&steering));
}

#[test]
fn a_restart_after_a_leave_is_used() {
    let restarted_ms = NOW_MS + 2_500;
    for born_ms in [None, Some(BORN_MS)] {
        let notice = leave(born_ms, Some(NOW_MS));
        let steering = after([notice.clone(), register(restarted_ms, 1)]);
        assert!(is_in_service(&steering), "{born_ms:?}");
        let steering = after([
            register(BORN_MS, 1),
            notice,
            register(restarted_ms, 1),
            register(BORN_MS, 2),
        ]);
        let instance = steering.instance("w-1").expect("it is recorded");
        assert_eq!(instance.state, InstanceState::Ready);
        assert_eq!(instance.born_ms, restarted_ms);
    }
}

// A confirmed notice whose start is far ahead was dropped, and its own run came into service afterwards.
#[test]
fn a_leave_with_a_start_far_ahead_binds_its_own_run_only() {
    let steering = after([leave(Some(FAR_MS), Some(NOW_MS)), register(FAR_MS, 3)]);
    assert!(!is_in_service(&steering));
    let steering = after([register(BORN_MS, 1), leave(Some(FAR_MS), Some(NOW_MS))]);
    assert!(is_in_service(&steering));
}

// A second copy of a notice that states its run ends no later one.
#[test]
fn a_copy_of_a_leave_ends_no_later_run() {
    let (notice, restart) = (
        leave(Some(BORN_MS), Some(NOW_MS)),
        register(NOW_MS + 2_500, 1),
    );
    let late = leave(Some(BORN_MS), Some(NOW_MS + 4_000));
    let steering = after([register(BORN_MS, 1), notice, restart, late]);
    assert!(is_in_service(&steering));
}

// A notice outlives the expiry of a later run, which lets earlier runs return.
#[test]
fn a_run_that_has_left_does_not_return_when_a_later_one_falls_silent() {
    let restarted_ms = NOW_MS + 2_500;
    let expire = Change::Expire {
        id: "w-1".parse().expect("a valid name"),
        born_ms: restarted_ms,
    };
    let steering = after([
        leave(Some(BORN_MS), Some(NOW_MS)),
        register(restarted_ms, 1),
        expire,
    ]);
    let status = steering.compare(&registration(BORN_MS, 5), 0);
    assert_eq!(status, RegistrationStatus::Stale);
}

#[test]
fn the_oldest_leaves_are_forgotten() {
    let mut steering = Steering::default();
    for n in 0..=INACTIVE_MAX as u64 {
        let notice = Change::Leave {
            id: format!("x-{n}").parse().expect("a valid name"),
            born_ms: None,
            received_ms: Some(NOW_MS),
        };
        let applied = steering.apply(n + 1, 0, &notice);
        applied.expect("changes of instances are accepted");
    }
    let status = |n: usize| {
        let mut late = registration(BORN_MS, 1);
        late.id = format!("x-{n}").parse().expect("a valid name");
        steering.compare(&late, 0)
    };
    assert_eq!(status(0), RegistrationStatus::Changed);
    assert_eq!(status(1), RegistrationStatus::Stale);
    assert_eq!(status(INACTIVE_MAX), RegistrationStatus::Stale);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Heartbeat { run: u64, sequence: u64 },
    Leave { run: u64, states_start: bool },
    Expire { run: u64 },
}

/// Runs start ten seconds apart, and a notice comes two seconds after the start of its run.
fn born_ms(run: u64) -> u64 {
    NOW_MS + run * 10_000
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u64, 1..9_u64).prop_map(|(run, sequence)| Step::Heartbeat { run, sequence }),
        2 => (0..4_u64, any::<bool>())
            .prop_map(|(run, states_start)| Step::Leave { run, states_start }),
        1 => (0..4_u64).prop_map(|run| Step::Expire { run }),
    ]
}

proptest! {
    /// In whatever order heartbeats, notices and expiries of four runs come, and whatever snapshots lie
    /// between, a run whose notice was applied is never in service again.
    #[test]
    fn no_run_is_in_service_after_its_notice(steps in prop::collection::vec(steps(), 1..40)) {
        let mut steering = Steering::default();
        let mut left = [false; 4];
        for step in steps {
            let change = match step {
                Step::Heartbeat { run, sequence } => register(born_ms(run), sequence),
                Step::Leave { run, states_start } => {
                    left[run as usize] = true;
                    let start = states_start.then(|| born_ms(run));
                    leave(start, Some(born_ms(run) + 2_000))
                }
                Step::Expire { run } => Change::Expire {
                    id: "w-1".parse().expect("a valid name"),
                    born_ms: born_ms(run),
                },
            };
            apply(&mut steering, [change]);
            if let Some(instance) = steering.instance("w-1").filter(|it| it.is_present()) {
                let run = (instance.born_ms - NOW_MS) / 10_000;
                prop_assert!(!left[run as usize], "run {run} is in service after its notice");
            }
            let json = serde_json::to_string(&steering).expect("it has a JSON form");
            let restored: Steering = serde_json::from_str(&json).expect("its own JSON form");
            prop_assert_eq!(&restored, &steering);
            steering = restored;
        }
    }
}
