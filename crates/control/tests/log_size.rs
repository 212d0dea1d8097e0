//! Tests that the log is bounded by its size, whatever is declared, refused ones included.

mod cluster;

use cluster::{Cluster, SNAPSHOT_LOG_BYTES};
use control::{Answer, Request};
use plan::{Change, ChangeResult, Document, Limits, Plan, PlanDeclaration};
use proptest::prelude::*;
use types::ApiError;

/// A plan without routes, declared by a document of this many bytes.
fn declare(version: u64, based_on: u64, document_bytes: usize) -> Request {
    let plan = Plan {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Limits {
            header_max_bytes: 16_384,
            body_max_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: Vec::new(),
        keys: plan::KeyUse::Unused,
    };
    let change = Change::Declare(Box::new(PlanDeclaration {
        plan,
        document: Document::Foreign("x".repeat(document_bytes)),
        based_on,
    }));
    Request::Steer { change }
}

fn version_in_force(cluster: &mut Cluster) -> u64 {
    match cluster.request_leader(&Request::ReadPlan) {
        Ok(Answer::Plan(in_force)) => in_force.plan.map_or(0, |it| it.version),
        other => panic!("the leader did not answer with the plan: {other:?}"),
    }
}

/// The most bytes of snapshot and log that a restart may read, where no entry takes more than
/// `entry_bytes`: the snapshot holds one declaration, and the log may grow by as much as the
/// snapshot, and by the entry that exceeds it.
fn restart_max_bytes(entry_bytes: usize) -> usize {
    let snapshot_bytes = entry_bytes + 64 * 1024;
    snapshot_bytes + snapshot_bytes.max(SNAPSHOT_LOG_BYTES) + entry_bytes
}

/// Declares plans with documents of these sizes, each second one refused. Returns the largest size of
/// snapshot and log on any disk.
fn declare_all(cluster: &mut Cluster, document_bytes: &[usize]) -> usize {
    let mut peak_bytes = 0;
    for (number, document_bytes) in (1..).zip(document_bytes) {
        let accepted = cluster.request_leader(&declare(number, number - 1, *document_bytes));
        let declared = ChangeResult::Declared { version: number };
        assert_eq!(accepted, Ok(Answer::Steered(declared)));
        let refused = cluster.request_leader(&declare(number, number - 1, document_bytes + 1));
        assert!(matches!(refused, Err(ApiError::PlanConflict { .. })));
        let on_disk = cluster.disks.values().map(cluster::Disk::restart_bytes);
        let largest = on_disk.map(|(snapshot, tail)| snapshot + tail).max();
        peak_bytes = peak_bytes.max(largest.unwrap_or_default());
    }
    peak_bytes
}

fn restart_all(cluster: &mut Cluster) {
    let all: Vec<_> = cluster.replicas.keys().cloned().collect();
    all.iter().for_each(|replica| cluster.kill(replica));
    all.iter().for_each(|replica| cluster.start(replica));
}

// A snapshot was taken by the number of entries only, so that some 270 declarations of 0.7 MB made a
// log that no replica could read within its memory after a restart.
#[test]
fn large_declarations_do_not_pile_up_in_the_log() {
    const DOCUMENT_BYTES: usize = 300_000;
    let mut cluster = Cluster::new(3);
    let peak_bytes = declare_all(&mut cluster, &[DOCUMENT_BYTES; 30]);
    let max_bytes = restart_max_bytes(DOCUMENT_BYTES + 4_096);
    println!("{peak_bytes} bytes of snapshot and log, allowed {max_bytes}");
    assert!(peak_bytes <= max_bytes, "{peak_bytes} > {max_bytes}");
    restart_all(&mut cluster);
    assert_eq!(version_in_force(&mut cluster), 30);
}

// The restored log counts too: replicas that are restarted before each snapshot would never take one.
#[test]
fn restarts_between_declarations_do_not_let_the_log_grow() {
    const DOCUMENT_BYTES: usize = 300_000;
    let mut cluster = Cluster::new(3);
    let mut peak_bytes = 0;
    for number in 1..=20 {
        let accepted = cluster.request_leader(&declare(number, number - 1, DOCUMENT_BYTES));
        assert!(accepted.is_ok(), "{accepted:?}");
        restart_all(&mut cluster);
        let on_disk = cluster.disks.values().map(cluster::Disk::restart_bytes);
        let largest = on_disk.map(|(snapshot, tail)| snapshot + tail).max();
        peak_bytes = peak_bytes.max(largest.unwrap_or_default());
    }
    assert!(peak_bytes <= restart_max_bytes(DOCUMENT_BYTES + 4_096));
    assert_eq!(version_in_force(&mut cluster), 20);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6))]

    #[test]
    fn any_sequence_of_declarations_stays_within_a_factor_of_the_largest(
        document_bytes in proptest::collection::vec(1_usize..600_000, 1..12),
    ) {
        let mut cluster = Cluster::new(3);
        let peak_bytes = declare_all(&mut cluster, &document_bytes);
        let largest = document_bytes.iter().copied().max().unwrap_or_default();
        prop_assert!(peak_bytes <= restart_max_bytes(largest + 4_096));
        restart_all(&mut cluster);
        prop_assert_eq!(version_in_force(&mut cluster), document_bytes.len() as u64);
    }
}
