//! Reports of services that the plan doesn't name: they come from another writer and must change
//! nothing about the instances of named services.

use plan::{
    Change, Document, Instance, InstanceState, Limits, Plan, PlanDeclaration, Registration,
    RegistrationStatus, ServiceTerms, Steering,
};
use proptest::prelude::*;

const FOREIGN: &str = "node-agent";

fn registration(id: &str, service: &str, port: u16, born_ms: u64, sequence: u64) -> Registration {
    Registration {
        id: id.parse().expect("a valid name"),
        service: service.parse().expect("a valid name"),
        address: ([10, 9, 0, 1], port).into(),
        failure_domain: "east-a".parse().expect("a valid name"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born_ms,
        sequence,
    }
}

/// A plan without routes that names these services.
fn declare(version: u64, services: &[&str]) -> Change {
    let terms = services.iter().map(|service| ServiceTerms {
        name: service.parse().expect("a valid name"),
        connections_max: 100,
        cold_milli_per_s: 2_000,
    });
    Change::Declare(Box::new(PlanDeclaration {
        plan: Plan {
            version,
            routes: Vec::new(),
            services: terms.collect(),
            limits: Limits {
                header_max_bytes: 16_384,
                body_max_bytes: 1 << 20,
                header_timeout_ms: 3_000,
                idle_timeout_ms: 15_000,
            },
            tenants: Vec::new(),
            keys: plan::KeyUse::Unused,
        },
        document: Document::Own,
        based_on: version - 1,
    }))
}

/// The state after changes at the log indexes 1, 2 and so on.
#[derive(Default)]
struct Log {
    steering: Steering,
    index: u64,
}

impl Log {
    fn apply(&mut self, change: &Change) {
        self.index += 1;
        let applied = self.steering.apply(self.index, 0, change);
        applied.expect("a valid change");
    }

    fn register(&mut self, registration: Registration) {
        self.apply(&Change::Register(registration));
    }

    fn state(&self, id: &str) -> Option<InstanceState> {
        self.steering.instance(id).map(|it| it.state)
    }
}

// A report of any service at a sound instance's address, started later, marked that instance as gone
// for good: its later heartbeats counted as stale.
#[test]
fn a_foreign_report_at_an_address_takes_no_instance_away() {
    let mut log = Log::default();
    log.apply(&declare(1, &["catalogue"]));
    log.register(registration("w-1", "catalogue", 8_001, 10, 1));
    let foreign = registration("agent-1", FOREIGN, 8_001, 20, 1);
    let status = log.steering.compare(&foreign, 0);
    assert_eq!(status, RegistrationStatus::UnknownService);
    log.register(foreign);
    assert_eq!(log.state("w-1"), Some(InstanceState::Ready));
    assert_eq!(log.state("agent-1"), None);
    let later = registration("w-1", "catalogue", 8_001, 10, 2);
    let status = log.steering.compare(&later, 0);
    assert_eq!(status, RegistrationStatus::Unchanged);
}

#[test]
fn a_foreign_report_under_the_name_of_an_instance_changes_nothing() {
    let mut log = Log::default();
    log.apply(&declare(1, &["catalogue"]));
    log.register(registration("w-1", "catalogue", 8_001, 10, 1));
    let before = log.steering.clone();
    log.register(registration("w-1", FOREIGN, 8_009, 99, 1));
    assert_eq!(log.steering, before);
}

// Instances register before the first plan, when no service has a name yet.
#[test]
fn a_foreign_report_before_the_first_plan_takes_no_instance_away() {
    for foreign_first in [false, true] {
        let mut log = Log::default();
        let sound = registration("w-1", "catalogue", 8_001, 10, 1);
        let foreign = registration("agent-1", FOREIGN, 8_001, 20, 1);
        let reports = match foreign_first {
            true => [foreign, sound],
            false => [sound, foreign],
        };
        reports.into_iter().for_each(|report| log.register(report));
        log.apply(&declare(1, &["catalogue"]));
        assert_eq!(log.state("w-1"), Some(InstanceState::Ready));
        let later = registration("w-1", "catalogue", 8_001, 10, 2);
        let status = log.steering.compare(&later, 0);
        assert_eq!(status, RegistrationStatus::Unchanged);
    }
}

#[test]
fn an_address_that_another_named_service_takes_over_has_one_instance() {
    let mut log = Log::default();
    log.apply(&declare(1, &["catalogue", "orders"]));
    log.register(registration("w-1", "catalogue", 8_001, 10, 1));
    log.register(registration("o-1", "orders", 8_001, 20, 1));
    assert_eq!(log.state("w-1"), Some(InstanceState::Gone));
    assert_eq!(log.state("o-1"), Some(InstanceState::Ready));
}

// Of two instances that registered at one address before their services were named, the one that
// started later has it.
#[test]
fn a_plan_that_names_a_service_settles_who_has_an_address() {
    let mut log = Log::default();
    log.register(registration("o-1", "orders", 8_001, 20, 1));
    log.register(registration("w-1", "catalogue", 8_001, 10, 1));
    log.apply(&declare(1, &["catalogue"]));
    assert_eq!(log.state("w-1"), Some(InstanceState::Ready));
    log.apply(&declare(2, &["catalogue", "orders"]));
    assert_eq!(log.state("w-1"), Some(InstanceState::Gone));
    assert_eq!(log.state("o-1"), Some(InstanceState::Ready));
    let told = log.steering.changes_since(log.index - 1);
    let told: Vec<&str> = told.instances.iter().map(|it| it.id.as_str()).collect();
    assert_eq!(told, ["w-1"]);
}

// An instance may drain and leave also while no plan names its service, since a later plan may again.
#[test]
fn an_instance_of_a_service_that_was_dropped_can_still_drain() {
    let mut log = Log::default();
    log.apply(&declare(1, &["catalogue", "orders"]));
    log.register(registration("o-1", "orders", 8_001, 10, 1));
    log.apply(&declare(2, &["catalogue"]));
    log.register(Registration {
        draining: true,
        ..registration("o-1", "orders", 8_001, 10, 2)
    });
    log.apply(&declare(3, &["catalogue", "orders"]));
    assert_eq!(log.state("o-1"), Some(InstanceState::Draining));
}

fn foreign_report() -> impl Strategy<Value = Registration> {
    let id = prop_oneof![
        (0..4_u8).prop_map(|n| format!("w-{n}")),
        (0..4_u8).prop_map(|n| format!("agent-{n}")),
    ];
    (id, 8_000..8_004_u16, any::<u64>(), any::<u64>()).prop_map(|(id, port, born_ms, sequence)| {
        registration(&id, FOREIGN, port, born_ms, sequence)
    })
}

proptest! {
    /// Whatever another writer reports, before or after the plan, each sound instance is present after
    /// its next heartbeat.
    #[test]
    fn sound_instances_outlast_any_foreign_reports(
        before in prop::collection::vec(foreign_report(), 0..12),
        after in prop::collection::vec(foreign_report(), 0..12),
    ) {
        let sound = |n: u8, sequence| {
            registration(&format!("w-{n}"), "catalogue", 8_000 + u16::from(n), 10, sequence)
        };
        let mut log = Log::default();
        (0..4).for_each(|n| log.register(sound(n, 1)));
        let before = before.into_iter().filter(|it| it.id.as_str().starts_with("agent"));
        before.for_each(|report| log.register(report));
        log.apply(&declare(1, &["catalogue"]));
        after.into_iter().for_each(|report| log.register(report));
        (0..4).for_each(|n| log.register(sound(n, 2)));
        let present: Vec<&Instance> = log
            .steering
            .instances()
            .filter(|it| it.is_present() && it.service.as_str() == "catalogue")
            .collect();
        prop_assert_eq!(present.len(), 4);
    }
}
