//! Heartbeats that claim more than others of the same instance or at the same address: a later start,
//! a higher sequence number. One writer's nonsense must not shut a sound instance out.

mod cluster;

use cluster::Cluster;
use control::Request;
use plan::{Change, InstanceState, Registration};
use proptest::prelude::*;
use types::ApiError;

/// The time of day in these tests, in Unix milliseconds.
const NOW_MS: u64 = 1_800_000_000_000;

/// When the sound instances started.
const BORN_MS: u64 = NOW_MS - 60_000;

/// The silence after which an instance expires, as the cluster of these tests is configured.
const SILENCE_MS: u64 = 10_000;

/// The interval of heartbeats.
const INTERVAL_MS: u64 = 1_500;

fn heartbeat(id: &str, port: u16, born_ms: u64, sequence: u64) -> Registration {
    Registration {
        id: id.parse().expect("a valid name"),
        service: "catalogue".parse().expect("a valid name"),
        address: ([10, 9, 0, 1], port).into(),
        failure_domain: "east-a".parse().expect("a valid name"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born_ms,
        sequence,
    }
}

/// A cluster whose replicas know the time of day.
struct Fixture {
    cluster: Cluster,
    sequence: u64,
}

impl Fixture {
    /// With the sound instance `w-1` at port 8001.
    fn new() -> Self {
        let mut cluster = Cluster::new(3);
        for replica in cluster.replicas.values_mut() {
            replica.set_unix_ms(NOW_MS);
        }
        let mut fixture = Self {
            cluster,
            sequence: 0,
        };
        fixture.send_sound();
        assert_eq!(fixture.state("w-1"), Some(InstanceState::Ready));
        fixture
    }

    /// Sends a heartbeat. It is acknowledged, unless it says that its instance drains and that instance
    /// is still in service.
    fn register(&mut self, registration: Registration) {
        let (id, drains) = (registration.id.clone(), registration.draining);
        let request = Request::Register { registration };
        let answer = self.cluster.request_leader(&request);
        let is_ready = self.state(id.as_str()) == Some(InstanceState::Ready);
        match drains && is_ready {
            true => assert_eq!(answer.err(), Some(ApiError::TooBusy)),
            false => drop(answer.expect("other heartbeats are acknowledged")),
        }
    }

    fn leave(&mut self, id: &str, born_ms: u64) {
        let change = Change::Leave {
            id: id.parse().expect("a valid name"),
            born_ms: Some(born_ms),
            received_ms: None,
        };
        let answer = self.cluster.request_leader(&Request::Steer { change });
        answer.expect("notices are acknowledged");
    }

    fn send_sound(&mut self) {
        self.sequence += 1;
        self.register(heartbeat("w-1", 8_001, BORN_MS, self.sequence));
    }

    /// Lets the sound instance send its heartbeats for this long.
    fn run_sound_ms(&mut self, ms: u64) {
        for _ in 0..ms / INTERVAL_MS {
            self.cluster.run_ms(INTERVAL_MS);
            self.send_sound();
        }
    }

    fn state(&mut self, id: &str) -> Option<InstanceState> {
        let leader = self.cluster.wait_for_leader();
        let steering = self.cluster.replicas[&leader].state().steering();
        steering.instance(id).map(|it| it.state)
    }

    /// Whether requests go to the address of the sound instance under its own name.
    fn serves(&mut self) -> bool {
        let leader = self.cluster.wait_for_leader();
        let steering = self.cluster.replicas[&leader].state().steering();
        steering.instance("w-1").is_some_and(|it| {
            it.is_present() && it.address.port() == 8_001 && it.born_ms == BORN_MS
        })
    }

    fn log_length(&mut self) -> u64 {
        let leader = self.cluster.wait_for_leader();
        self.cluster.replicas[&leader].status().last_index
    }
}

// One heartbeat with a start far ahead, under the name of a sound instance or at its address, shut
// that instance out for good: all its own heartbeats counted as old.
#[test]
fn a_heartbeat_with_a_start_far_ahead_changes_nothing() {
    let far_ms = NOW_MS + 365 * 86_400_000;
    for (id, port) in [("w-1", 8_001), ("w-1", 8_009), ("w-2", 8_001)] {
        let mut fixture = Fixture::new();
        let before = fixture.log_length();
        fixture.register(heartbeat(id, port, far_ms, 1));
        assert_eq!(fixture.log_length(), before, "{id} at {port}");
        for _ in 0..10 {
            fixture.run_sound_ms(INTERVAL_MS);
            assert!(fixture.serves(), "{id} at {port}");
        }
    }
}

// A notice that a run far ahead leaves ended every run under its name for good.
#[test]
fn a_notice_that_a_run_far_ahead_leaves_changes_nothing() {
    let mut fixture = Fixture::new();
    fixture.leave("w-1", NOW_MS + 365 * 86_400_000);
    fixture.run_sound_ms(2 * INTERVAL_MS);
    assert!(fixture.serves());
    fixture.leave("w-1", BORN_MS);
    assert_eq!(fixture.state("w-1"), Some(InstanceState::Gone));
}

// A start that is later than the sound one's, but not in the future, looks like a restart or like a
// new run at a used address. Once nothing more comes of it, the sound instance is back.
#[test]
fn a_sound_instance_returns_after_a_later_run_fell_silent() {
    for (id, port) in [("w-1", 8_001), ("w-1", 8_009), ("w-2", 8_001)] {
        let mut fixture = Fixture::new();
        fixture.register(heartbeat(id, port, NOW_MS, 1));
        assert!(!fixture.serves(), "{id} at {port} looks like a new run");
        fixture.run_sound_ms(SILENCE_MS + 3 * INTERVAL_MS);
        assert!(fixture.serves(), "{id} at {port}");
    }
}

// The same after a change of the leader, which forgets all heartbeats.
#[test]
fn a_sound_instance_returns_also_under_a_new_leader() {
    let mut fixture = Fixture::new();
    fixture.register(heartbeat("w-1", 8_009, NOW_MS, 1));
    let leader = fixture.cluster.wait_for_leader();
    fixture.cluster.kill(&leader);
    fixture.run_sound_ms(SILENCE_MS + 4 * INTERVAL_MS);
    assert!(fixture.serves());
}

// A sequence number far ahead made all later heartbeats of the same run count as old.
#[test]
fn a_sound_instance_returns_after_a_sequence_number_far_ahead() {
    for draining in [false, true] {
        let mut fixture = Fixture::new();
        fixture.register(Registration {
            draining,
            ..heartbeat("w-1", 8_001, BORN_MS, 1_000_000_000_000)
        });
        fixture.run_sound_ms(SILENCE_MS + 3 * INTERVAL_MS);
        assert_eq!(fixture.state("w-1"), Some(InstanceState::Ready));
    }
}

// An instance that starts again after its clock was set back has an earlier start than before.
#[test]
fn a_restart_with_an_earlier_clock_comes_into_service() {
    let mut fixture = Fixture::new();
    for sequence in 1..=9 {
        fixture.cluster.run_ms(INTERVAL_MS);
        fixture.register(heartbeat("w-1", 8_001, BORN_MS - 2_000, sequence));
    }
    let leader = fixture.cluster.wait_for_leader();
    let steering = fixture.cluster.replicas[&leader].state().steering();
    let instance = steering.instance("w-1").expect("it is recorded");
    assert!(instance.is_present());
    assert_eq!(instance.born_ms, BORN_MS - 2_000);
}

// An instance whose clock runs far ahead counts once it has sent several heartbeats, and then drains
// with its first notice.
#[test]
fn an_instance_whose_clock_is_ahead_is_used_and_drains() {
    let mut fixture = Fixture::new();
    let born_ms = NOW_MS + 60_000;
    fixture.register(heartbeat("w-2", 8_002, born_ms, 1));
    assert_eq!(fixture.state("w-2"), None);
    fixture.cluster.run_ms(INTERVAL_MS);
    fixture.register(heartbeat("w-2", 8_002, born_ms, 2));
    assert_eq!(fixture.state("w-2"), Some(InstanceState::Ready));
    fixture.register(Registration {
        draining: true,
        ..heartbeat("w-2", 8_002, born_ms, 3)
    });
    assert_eq!(fixture.state("w-2"), Some(InstanceState::Draining));
    fixture.leave("w-2", born_ms);
    assert_eq!(fixture.state("w-2"), Some(InstanceState::Gone));
}

// Heartbeats that a cut has held back arrive together when it heals. Their run is over, and its
// address may be another's.
#[test]
fn late_heartbeats_that_come_together_revive_nothing() {
    let mut fixture = Fixture::new();
    fixture.register(heartbeat("w-2", 8_001, NOW_MS, 1));
    fixture.cluster.run_ms(SILENCE_MS + 1_000);
    assert_eq!(fixture.state("w-2"), Some(InstanceState::Expired));
    for _ in 0..8 {
        fixture.cluster.run_ms(100);
        fixture.send_sound();
    }
    assert_eq!(fixture.state("w-1"), Some(InstanceState::Gone));
}

// An instance that has left doesn't return by late heartbeats, however many.
#[test]
fn a_run_that_has_left_does_not_return() {
    let mut fixture = Fixture::new();
    fixture.leave("w-1", BORN_MS);
    fixture.run_sound_ms(SILENCE_MS + 3 * INTERVAL_MS);
    assert_eq!(fixture.state("w-1"), Some(InstanceState::Gone));
}

// A notice that came before the first heartbeat of its run was confirmed and forgotten, and the late
// heartbeat put the instance into service: review/13.
#[test]
fn a_confirmed_leave_binds_a_first_heartbeat_that_comes_late() {
    let mut fixture = Fixture::new();
    let change = Change::Leave {
        id: "w-2".parse().expect("a valid name"),
        born_ms: None,
        received_ms: None,
    };
    let confirmed = fixture.cluster.request_leader(&Request::Steer { change });
    confirmed.expect("notices are acknowledged");
    // Another leader knows of it too.
    let leader = fixture.cluster.wait_for_leader();
    fixture.cluster.kill(&leader);
    fixture.cluster.wait_for_leader();
    for sequence in 1..4 {
        fixture.register(heartbeat("w-2", 8_002, NOW_MS - 800, sequence));
        assert_eq!(fixture.state("w-2"), None);
        fixture.cluster.run_ms(INTERVAL_MS);
    }
    fixture.register(heartbeat("w-2", 8_002, NOW_MS + 2_500, 1));
    assert_eq!(fixture.state("w-2"), Some(InstanceState::Ready));
}

// A leave that doesn't state its run must not end the next one where a replica's clock was set ahead.
#[test]
fn a_restart_after_a_leave_is_used_while_clocks_are_ahead() {
    let mut fixture = Fixture::new();
    for replica in fixture.cluster.replicas.values_mut() {
        replica.set_unix_ms(NOW_MS + 3_600_000);
    }
    let change = Change::Leave {
        id: "w-1".parse().expect("a valid name"),
        born_ms: None,
        received_ms: None,
    };
    let confirmed = fixture.cluster.request_leader(&Request::Steer { change });
    confirmed.expect("notices are acknowledged");
    assert_eq!(fixture.state("w-1"), Some(InstanceState::Gone));
    fixture.register(heartbeat("w-1", 8_001, NOW_MS + 4_000, 1));
    assert_eq!(fixture.state("w-1"), Some(InstanceState::Ready));
}

// A heartbeat that says that its instance drains was confirmed and ignored when it looked late, as after a
// restart with an earlier clock: requests went on to the instance.
#[test]
fn draining_is_confirmed_only_to_an_instance_that_gets_no_further_requests() {
    let mut fixture = Fixture::new();
    let draining = |born_ms, sequence| Registration {
        draining: true,
        ..heartbeat("w-1", 8_001, born_ms, sequence)
    };
    fixture.register(draining(BORN_MS - 5_000, 1));
    assert_eq!(fixture.state("w-1"), Some(InstanceState::Ready));
    fixture.register(draining(BORN_MS, 2));
    assert_eq!(fixture.state("w-1"), Some(InstanceState::Draining));
    // Copies, and late heartbeats of earlier runs, are confirmed from then on.
    fixture.register(draining(BORN_MS, 2));
    fixture.register(draining(BORN_MS - 5_000, 2));
    assert_eq!(fixture.state("w-1"), Some(InstanceState::Draining));
}

// Whoever invents names and starts adds nothing to the log, and takes no instance away.
#[test]
fn invented_runs_far_ahead_add_nothing_to_the_log() {
    let mut fixture = Fixture::new();
    let before = fixture.log_length();
    for n in 0..5_000_u16 {
        let far_ms = NOW_MS + 86_400_000 + u64::from(n);
        fixture.register(heartbeat(&format!("x-{n}"), 10_000 + n, far_ms, 1));
    }
    assert_eq!(fixture.log_length(), before);
    fixture.run_sound_ms(INTERVAL_MS);
    assert!(fixture.serves());
}

fn doubtful_report() -> impl Strategy<Value = Registration> {
    let id = prop_oneof![Just("w-1"), Just("w-2"), Just("w-3")];
    let born_ms = prop_oneof![
        BORN_MS - 10_000..BORN_MS + 10_000,
        NOW_MS..NOW_MS + 86_400_000,
        any::<u64>(),
    ];
    let sequence = prop_oneof![0..100_u64, any::<u64>()];
    (id, 8_001..8_003_u16, born_ms, sequence, any::<bool>()).prop_map(
        |(id, port, born_ms, sequence, draining)| Registration {
            draining,
            ..heartbeat(id, port, born_ms, sequence)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// After any reports of its own service, under its own name and at its own address, a sound
    /// instance is used again once they have fallen silent.
    #[test]
    fn a_sound_instance_outlasts_any_reports(
        reports in prop::collection::vec((doubtful_report(), 0..1_200_u64), 1..12),
    ) {
        let mut fixture = Fixture::new();
        for (report, gap_ms) in reports {
            fixture.register(report);
            fixture.cluster.run_ms(gap_ms);
            fixture.send_sound();
        }
        fixture.run_sound_ms(SILENCE_MS + 4 * INTERVAL_MS);
        prop_assert!(fixture.serves());
    }
}
