//! Declarations of large plans between replicas whose connections carry some megabytes a second, as over
//! the distance between regions.

mod cluster;

use cluster::{Cluster, plan_of};
use control::{Answer, Request};
use plan::{Change, ChangeResult, Document, PlanDeclaration};

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
    let text = format!("{version}{}", "x".repeat(DOCUMENT_BYTES));
    Request::Steer {
        change: Change::Declare(Box::new(PlanDeclaration {
            plan: plan_of(version, ROUTES),
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
