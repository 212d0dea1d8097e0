//! Tests the status of a resource: in force, waiting for entries, or rejected, and when a silent
//! entry counts as fenced.

mod cluster;

use cluster::{Cluster, entry_spec, item, key, put, region};
use control::{Answer, CONFIG_LEASE_MARGIN_MS, PollRejection, Request};
use raft::ReplicaId;
use state::{ResourceState, ResourceStatus};
use types::CONFIG_LEASE_MS;

const POLL_MS: u64 = 500;
const FENCED_AFTER_MS: u64 = CONFIG_LEASE_MS + CONFIG_LEASE_MARGIN_MS;

/// A cluster with two declared entries, its leader and the revision of the last declaration.
fn cluster_with_two_entries() -> (Cluster, ReplicaId, u64) {
    let mut cluster = Cluster::new(3);
    let leader = cluster.wait_for_leader();
    item(cluster.request_leader(&put("a", "gauteng", region(9, "gauteng-a"), 0)));
    item(cluster.request_leader(&put("b", "entry-1", entry_spec(1), 0)));
    let last = item(cluster.request_leader(&put("c", "entry-2", entry_spec(2), 0)));
    (cluster, leader, last.resource.revision)
}

fn status(cluster: &mut Cluster, resource: &str) -> ResourceStatus {
    let get = Request::Get { key: key(resource) };
    item(cluster.request_leader(&get)).status
}

/// Runs the cluster for `ms` while each listed entry polls the replica with its applied index.
fn run_polling(cluster: &mut Cluster, replica: &ReplicaId, ms: u64, polls: &[(&str, u64)]) {
    for _ in 0..ms / POLL_MS {
        for (entry, applied_index) in polls {
            cluster.poll(replica, entry, *applied_index);
        }
        cluster.run_ms(POLL_MS);
    }
}

/// The names of the confirmed, the waiting and the fenced entries.
fn names(status: &ResourceStatus) -> [Vec<String>; 3] {
    let waiting = status.waiting.iter().map(|it| it.entry.to_string());
    [
        status.confirmed.iter().map(ToString::to_string).collect(),
        waiting.collect(),
        status.fenced.iter().map(ToString::to_string).collect(),
    ]
}

#[test]
fn a_resource_waits_until_each_entry_confirms_it() {
    let (mut cluster, leader, revision) = cluster_with_two_entries();
    cluster.poll(&leader, "entry-1", revision);
    cluster.poll(&leader, "entry-2", revision - 1);
    cluster.run_ms(300);
    let waiting = status(&mut cluster, "entry/entry-2");
    assert_eq!(waiting.state, ResourceState::Waiting);
    assert_eq!(
        names(&waiting),
        [
            vec!["entry-1".to_owned()],
            vec!["entry-2".to_owned()],
            vec![]
        ]
    );
    assert!(waiting.waiting[0].since_ms >= 300);
    let earlier = status(&mut cluster, "entry/entry-1");
    assert_eq!(earlier.state, ResourceState::InForce);
    cluster.poll(&leader, "entry-2", revision);
    let confirmed = status(&mut cluster, "entry/entry-2");
    assert_eq!(confirmed.state, ResourceState::InForce);
    assert_eq!((confirmed.confirmed_count, confirmed.waiting_count), (2, 0));
}

#[test]
fn a_silent_entry_is_fenced_after_its_lease_and_not_before() {
    let (mut cluster, leader, revision) = cluster_with_two_entries();
    let polls = [("entry-1", revision)];
    cluster.poll(&leader, "entry-2", revision - 1);
    run_polling(&mut cluster, &leader, FENCED_AFTER_MS - POLL_MS, &polls);
    assert_eq!(
        status(&mut cluster, "entry/entry-2").state,
        ResourceState::Waiting
    );
    run_polling(&mut cluster, &leader, 2 * POLL_MS, &polls);
    let fenced = status(&mut cluster, "entry/entry-2");
    assert_eq!(fenced.state, ResourceState::InForce);
    assert_eq!(fenced.fenced, ["entry-2".parse().expect("a valid name")]);
}

/// The entry may poll other replicas than the leader and hold a lease by their answers. So it may
/// run the older revision for a whole lease after the change.
#[test]
fn a_new_revision_waits_for_an_entry_counted_as_fenced() {
    let (mut cluster, leader, revision) = cluster_with_two_entries();
    run_polling(
        &mut cluster,
        &leader,
        2 * FENCED_AFTER_MS,
        &[("entry-1", revision)],
    );
    let change = put("d", "gauteng", region(10, "gauteng-a"), 1);
    let changed = item(cluster.request_leader(&change));
    cluster.poll(&leader, "entry-1", changed.resource.revision);
    let fresh = status(&mut cluster, "region/gauteng");
    assert_eq!(fresh.state, ResourceState::Waiting);
    assert_eq!(names(&fresh)[1], ["entry-2"]);
}

#[test]
fn a_new_leader_counts_no_entry_as_fenced_before_a_whole_lease() {
    let (mut cluster, leader, revision) = cluster_with_two_entries();
    cluster.run_ms(2 * FENCED_AFTER_MS);
    assert_eq!(status(&mut cluster, "region/gauteng").fenced_count, 2);
    cluster.kill(&leader);
    let new_leader = cluster.wait_for_leader();
    let fresh = status(&mut cluster, "region/gauteng");
    assert_eq!((fresh.fenced_count, fresh.waiting_count), (0, 2));
    run_polling(
        &mut cluster,
        &new_leader,
        FENCED_AFTER_MS + POLL_MS,
        &[("entry-1", revision)],
    );
    let later = status(&mut cluster, "region/gauteng");
    assert_eq!((later.confirmed_count, later.fenced_count), (1, 1));
}

#[test]
fn a_replica_that_was_suspended_counts_no_entry_as_fenced() {
    let mut cluster = Cluster::new(1);
    let leader = cluster.wait_for_leader();
    item(cluster.request_leader(&put("a", "gauteng", region(9, "gauteng-a"), 0)));
    item(cluster.request_leader(&put("b", "entry-1", entry_spec(1), 0)));
    cluster.poll(&leader, "entry-1", 1);
    cluster.now_us += 30_000_000;
    let resumed = status(&mut cluster, "region/gauteng");
    assert_eq!((resumed.fenced_count, resumed.waiting_count), (0, 1));
}

#[test]
fn an_entry_that_cannot_run_a_revision_rejects_it() {
    let (mut cluster, leader, revision) = cluster_with_two_entries();
    cluster.poll(&leader, "entry-1", revision);
    let rejected = PollRejection {
        revision,
        reason: "unreadable".to_owned(),
    };
    cluster.poll_with_rejection(&leader, "entry-2", revision - 1, Some(rejected));
    let status = status(&mut cluster, "entry/entry-2");
    assert_eq!(status.state, ResourceState::Rejected);
    assert_eq!(status.rejected[0].reason, "unreadable");
}

#[test]
fn polls_are_answered_by_any_replica_without_a_leader() {
    let (mut cluster, leader, revision) = cluster_with_two_entries();
    cluster.run_ms(200);
    let others: Vec<ReplicaId> = cluster.replicas.keys().cloned().collect();
    cluster.kill(&leader);
    for replica in others.iter().filter(|it| **it != leader) {
        let answer = cluster.poll(replica, "entry-1", revision - 1);
        assert!(answer.is_voter);
        assert_eq!(answer.voters, 3);
        assert_eq!(answer.changes.changes.len(), 1);
        assert!(answer.applied_index >= revision && answer.last_index >= revision);
    }
}

#[test]
fn a_list_has_the_same_states_as_its_items() {
    let (mut cluster, leader, revision) = cluster_with_two_entries();
    cluster.poll(&leader, "entry-1", revision);
    cluster.poll(&leader, "entry-2", revision - 1);
    let Ok(Answer::List(list)) = cluster.request_leader(&Request::List { kind: None }) else {
        panic!("the leader answered a list request with something else");
    };
    let states: Vec<ResourceState> = list.items.iter().map(|item| item.status.state).collect();
    use ResourceState::{InForce, Waiting};
    assert_eq!(states, [InForce, InForce, Waiting]);
}
