//! Declarations of large plans between replicas whose connections carry some megabytes a second, as over
//! the distance between regions.

mod cluster;

use cluster::Cluster;
use control::{Answer, Request};
use plan::{
    Change, ChangeResult, Document, Limits, Plan, PlanDeclaration, RetrySafety, Route,
    ServiceTerms, WeightedService,
};

/// The text of a declaration, half of what is accepted.
const DOCUMENT_BYTES: usize = 2_000_000;

/// As many routes as such a text has.
const ROUTES: usize = 6_000;

/// What a connection with a round trip of 70 ms and a window of 350 kB carries in a second.
const LINK_BYTES_PER_S: u64 = 5_000_000;

/// A sixth of the daemon's shortest election timeout, so that the cluster has that timeout.
const HEARTBEAT_US: u64 = 400_000 / 6;

/// Within this time a proper order of the operator is to be confirmed, and 3 ms later for each route.
const ACK_MS: u64 = 4_000 + 3 * ROUTES as u64;

const DECLARATIONS: u64 = 20;

fn declaration(version: u64) -> Request {
    let route = |n: usize| Route {
        name: format!("route-{n}"),
        host: "shop.example".to_owned(),
        prefix: format!("/{n}/"),
        repeat: RetrySafety::Idempotent,
        timeout_ms: 2_000 + version,
        target_ms: 250,
        priority: 1,
        parts: vec![WeightedService {
            service: "catalogue".parse().expect("a valid name"),
            weight_milli: 1_000,
        }],
        attempts_max: 2,
        sticky: false,
        home_regions: Vec::new(),
    };
    let plan = Plan {
        version,
        routes: (0..ROUTES).map(route).collect(),
        services: vec![ServiceTerms {
            name: "catalogue".parse().expect("a valid name"),
            connections_max: 360,
            cold_milli_per_s: 2_600,
        }],
        limits: Limits {
            header_max_bytes: 16_384,
            body_max_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    };
    let text = format!("{version}{}", "x".repeat(DOCUMENT_BYTES));
    Request::Steer {
        change: Change::Declare(Box::new(PlanDeclaration {
            plan,
            document: Document::Foreign(text),
            based_on: version - 1,
        })),
    }
}

/// Sends a declaration again and again, to whoever leads. Returns whether it is confirmed in time.
fn is_confirmed(cluster: &mut Cluster, version: u64) -> bool {
    let started_us = cluster.now_us;
    let body = declaration(version);
    while cluster.now_us - started_us < ACK_MS * 1_000 {
        let leader = cluster.wait_for_leader();
        let answer = cluster.request(&leader, body.clone());
        if let Ok(Answer::Steered(ChangeResult::Declared { .. })) = answer {
            return true;
        }
        cluster.run_ms(50);
    }
    false
}

// The heartbeats of a leader wait behind the entry that it sends, and the answers to them as long. A
// leader in a calm group is deposed by a large declaration, and by its resend the next one is.
#[test]
fn large_declarations_in_a_row_depose_no_leader() {
    let mut cluster = Cluster::with_heartbeat_interval_us(5, HEARTBEAT_US);
    cluster.wait_for_leader();
    cluster.run_ms(1_000);
    cluster.link_bytes_per_s = Some(LINK_BYTES_PER_S);
    let leader = cluster.wait_for_leader();
    let term = cluster.replicas[&leader].status().term;
    for version in 1..=DECLARATIONS {
        assert!(
            is_confirmed(&mut cluster, version),
            "version {version} was not confirmed in time"
        );
        let leader = cluster.wait_for_leader();
        let status = cluster.replicas[&leader].status();
        assert_eq!(status.term, term, "version {version} deposed the leader");
    }
}
