//! Tests which replica grants shares of a region, and that a new leader grants no more than is held
//! while grants of an earlier leader may be in use.

mod cluster;

use cluster::{Cluster, item, key, put, region};
use control::{PollAnswer, Request};
use raft::ReplicaId;
use share::{GrantId, Pool, Want};
use state::Operation;

const SLOTS: u32 = 9;

fn want(serial: u64) -> Want {
    Want {
        pool: Pool::Region {
            region: "gauteng".parse().expect("a valid name"),
        },
        serial,
        applied: GrantId::default(),
        held: 0,
        demand: 5,
    }
}

/// The amounts granted for an entry's second poll. The first makes the leader confirm its
/// leadership, without which it grants nothing.
fn granted_amounts(cluster: &mut Cluster, replica: &ReplicaId) -> Vec<u64> {
    cluster.poll_with_want(replica, "entry-1", want(1));
    cluster.run_ms(300);
    let answer: PollAnswer = cluster.poll_with_want(replica, "entry-1", want(2));
    answer.grants.iter().map(|grant| grant.amount).collect()
}

#[test]
fn a_region_declared_under_a_leader_is_shared_at_once() {
    let mut cluster = Cluster::new(3);
    cluster.wait_for_leader();
    item(cluster.request_leader(&put("a", "gauteng", region(SLOTS, "gauteng-a"), 0)));
    let leader = cluster.wait_for_leader();
    assert!(granted_amounts(&mut cluster, &leader)[0] >= 5);
}

#[test]
fn only_the_leader_grants() {
    let mut cluster = Cluster::new(3);
    cluster.wait_for_leader();
    item(cluster.request_leader(&put("a", "gauteng", region(SLOTS, "gauteng-a"), 0)));
    let follower = cluster.follower();
    assert!(granted_amounts(&mut cluster, &follower).is_empty());
}

#[test]
fn a_leader_that_is_cut_off_grants_nothing() {
    let mut cluster = Cluster::new(3);
    cluster.wait_for_leader();
    item(cluster.request_leader(&put("a", "gauteng", region(SLOTS, "gauteng-a"), 0)));
    let leader = cluster.wait_for_leader();
    assert!(!granted_amounts(&mut cluster, &leader).is_empty());
    cluster.isolated.insert(leader.clone());
    cluster.run_ms(1_000);
    let answer = cluster.poll_with_want(&leader, "entry-1", want(9));
    assert!(answer.grants.is_empty());
}

#[test]
fn a_new_leader_confirms_only_what_is_held() {
    let mut cluster = Cluster::new(3);
    cluster.wait_for_leader();
    item(cluster.request_leader(&put("a", "gauteng", region(SLOTS, "gauteng-a"), 0)));
    let first = cluster.wait_for_leader();
    cluster.kill(&first);
    let second = cluster.wait_for_leader();
    assert_eq!(granted_amounts(&mut cluster, &second), [0]);
}

#[test]
fn a_region_that_is_declared_again_is_not_taken_for_new() {
    let mut cluster = Cluster::new(3);
    cluster.wait_for_leader();
    item(cluster.request_leader(&put("a", "gauteng", region(SLOTS, "gauteng-a"), 0)));
    let operation = Operation::Delete {
        key: key("region/gauteng"),
        based_on: 1,
    };
    let delete = Request::Change {
        request_id: "b".to_owned(),
        operation,
    };
    assert!(cluster.request_leader(&delete).is_ok());
    let first = cluster.wait_for_leader();
    cluster.kill(&first);
    let second = cluster.wait_for_leader();
    item(cluster.request_leader(&put("c", "gauteng", region(SLOTS, "gauteng-a"), 0)));
    assert_eq!(granted_amounts(&mut cluster, &second), [0]);
}
