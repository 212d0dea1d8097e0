//! Tests the bytes and messages of an idle second, of one change and of an entry's restart against
//! limits for the largest intended deployment: 720 entries and 5 control replicas.

mod cluster;

use cluster::{Cluster, entry_spec, item, put, region};
use control::PollAnswer;
use prost::Message;
use raft::ReplicaId;
use types::poll_interval_ms;
use wire::{grant_to_wire, peer, raft_to_wire};

/// The most bytes a second that a daemon may spend on control traffic in that deployment.
const BUDGET_BYTES_PER_S: f64 = 28_000.0;
const ENTRIES: usize = 720;
const REPLICAS: usize = 5;

/// The most bytes of the log message that carries one change to a follower.
const APPEND_MAX_BYTES: usize = 400;

/// The most bytes of an entry's poll and of the answer that carries one change.
const POLL_WITH_CHANGE_MAX_BYTES: usize = 320;

/// The period of a leader's heartbeats as the daemon sets it.
const HEARTBEAT_US: u64 = 150_000;

/// The bytes of a frame besides its message: its length and its authentication code.
const FRAME_OVERHEAD_BYTES: usize = 4 + 16;

/// A serial number that a connection reaches after some days. Also stands in for log indexes, so
/// that variable-length integers have a realistic size.
const SERIAL: u64 = 200_000;

fn frame_bytes(body: peer::frame::Body) -> usize {
    let frame = peer::Frame {
        serial: SERIAL,
        body: Some(body),
    };
    FRAME_OVERHEAD_BYTES + frame.encoded_len()
}

fn poll_bytes(applied_index: u64) -> usize {
    frame_bytes(peer::frame::Body::Poll(peer::Poll {
        applied_index,
        ..peer::Poll::default()
    }))
}

fn answer_bytes(answer: &PollAnswer) -> usize {
    let changes = answer.changes.changes.iter().map(|change| peer::Change {
        revision: change.revision,
        kind: change.key.kind.to_string(),
        name: change.key.name.to_string(),
        resource_json: change
            .resource
            .as_ref()
            .map(|resource| serde_json::to_vec(resource).expect("JSON"))
            .unwrap_or_default(),
    });
    frame_bytes(peer::frame::Body::PollAnswer(peer::PollAnswer {
        last_index: answer.last_index,
        applied_index: answer.applied_index,
        membership_index: answer.membership_index,
        voters: answer.voters,
        votes: answer.is_voter,
        complete: answer.changes.complete,
        changes: changes.collect(),
        layout_json: Vec::new(),
        grants: answer.grants.iter().map(grant_to_wire).collect(),
    }))
}

/// The bytes that the replicas' log messages take in a second without changes.
fn idle_log_bytes(cluster: &mut Cluster, leader: &ReplicaId) -> usize {
    cluster.sent.clear();
    cluster.run_ms(1_000);
    let messages = cluster.sent.iter().map(|(to, message)| {
        let message = raft_to_wire(to, message.clone());
        frame_bytes(peer::frame::Body::Raft(message))
    });
    let bytes = messages.sum();
    assert_eq!(cluster.leader().as_ref(), Some(leader));
    bytes
}

fn polls_per_second() -> f64 {
    1_000.0 / poll_interval_ms(ENTRIES) as f64
}

/// A cluster with one declared region and one entry, its leader and the revision of the entry.
fn cluster_with_one_entry() -> (Cluster, ReplicaId, u64) {
    let mut cluster = Cluster::with_heartbeat_interval_us(REPLICAS as u32, HEARTBEAT_US);
    let leader = cluster.wait_for_leader();
    item(cluster.request_leader(&put("a", "gauteng", region(9, "gauteng-a"), 0)));
    let entry = item(cluster.request_leader(&put("b", "entry-1", entry_spec(1), 0)));
    cluster.run_ms(500);
    (cluster, leader, entry.resource.revision)
}

#[test]
fn an_idle_second_of_all_entries_stays_within_the_budget() {
    let (mut cluster, leader, revision) = cluster_with_one_entry();
    let mut answer = cluster.poll(&leader, "entry-1", revision);
    assert!(answer.changes.changes.is_empty());
    answer.last_index = SERIAL;
    answer.applied_index = SERIAL;
    answer.membership_index = SERIAL;
    let both_bytes = poll_bytes(SERIAL) + answer_bytes(&answer);
    let entry_bytes = both_bytes as f64 * polls_per_second() * REPLICAS as f64;
    let replica_bytes = both_bytes as f64 * polls_per_second() * ENTRIES as f64;
    let log_bytes = idle_log_bytes(&mut cluster, &leader) as f64;
    println!("idle: {both_bytes} bytes a poll, {entry_bytes:.0} B/s an entry");
    println!("idle leader: {replica_bytes:.0} B/s of polls, {log_bytes:.0} B/s of the log");
    // An entry may spend a hundredth of the budget on its polls of all replicas.
    assert!(entry_bytes <= BUDGET_BYTES_PER_S / 100.0);
    assert!(replica_bytes + log_bytes <= BUDGET_BYTES_PER_S);
}

#[test]
fn each_replica_sends_a_change_to_an_entry_once() {
    let (mut cluster, leader, revision) = cluster_with_one_entry();
    cluster.sent.clear();
    let change = put("c", "gauteng", region(10, "gauteng-a"), 1);
    let request = cluster.submit(&leader, change);
    cluster.run_until("the answer to the change", |cluster| {
        cluster.answers.contains_key(&request)
    });
    let appends: Vec<usize> = cluster
        .sent
        .iter()
        .filter(|(_, message)| {
            matches!(message, raft::Message::Append { entries, .. } if !entries.is_empty())
        })
        .map(|(to, message)| raft_to_wire(to, message.clone()).encoded_len())
        .collect();
    cluster.run_ms(500);
    let replicas: Vec<ReplicaId> = cluster.replicas.keys().cloned().collect();
    let mut entry_bytes = 0;
    for replica in &replicas {
        let answer = cluster.poll(replica, "entry-1", revision);
        assert_eq!(answer.changes.changes.len(), 1);
        entry_bytes += poll_bytes(revision) + answer_bytes(&answer);
        let after = cluster.poll(replica, "entry-1", answer.applied_index);
        assert!(after.changes.changes.is_empty());
    }
    let log_bytes: usize = appends.iter().sum();
    println!(
        "change: {} appends, {log_bytes} bytes of log, {entry_bytes} bytes an entry",
        appends.len()
    );
    assert_eq!(appends.len(), REPLICAS - 1);
    assert!(log_bytes <= APPEND_MAX_BYTES * (REPLICAS - 1));
    assert!(entry_bytes <= POLL_WITH_CHANGE_MAX_BYTES * REPLICAS);
}

#[test]
fn a_restarted_entry_gets_everything_in_one_frame() {
    let (mut cluster, leader, _) = cluster_with_one_entry();
    let declarations = (2..=ENTRIES as u32).map(|number| state::Declaration {
        name: cluster::name(&format!("entry-{number}")),
        spec: cluster::spec(
            "entry",
            serde_json::json!({
                "region": "gauteng", "failure_domain": "gauteng-a",
                "address": format!("10.1.{}.{}:8080", number / 250, number % 250),
                "peer_address": format!("10.1.{}.{}:8081", number / 250, number % 250),
            }),
        ),
        based_on: None,
    });
    let change = control::Request::Change {
        request_id: "all".to_owned(),
        operation: state::Operation::Apply {
            declarations: declarations.collect(),
            prune: false,
        },
    };
    cluster.request_leader(&change).expect("valid");
    let answer = cluster.poll(&leader, "entry-1", 0);
    assert_eq!(answer.changes.changes.len(), ENTRIES + 1);
    let bytes = answer_bytes(&answer);
    println!("restart: {bytes} bytes for {ENTRIES} entries");
    assert!(bytes <= state::RESOURCES_MAX_BYTES);
    assert!(bytes <= wire::FRAME_MAX_BYTES);
}
