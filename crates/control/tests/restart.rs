//! Tests recovery: restarts from snapshot and log, lost disks, a lost majority, and watches that
//! continue over them.

mod cluster;

use cluster::{Cluster, SNAPSHOT_ENTRIES, id, item, message_bytes, put, region};
use control::{Answer, Request};
use raft::{Message, ReplicaId};
use state::{Change, WatchAnswer};
use types::ApiError;

const CHANGES: u64 = 550;

/// The most bytes of snapshot and of log that a restart after [`CHANGES`] changes reads or
/// receives.
const SNAPSHOT_MAX_BYTES: usize = 400 * CHANGES as usize;
const TAIL_MAX_BYTES: usize = 320 * SNAPSHOT_ENTRIES as usize;

fn change(cluster: &mut Cluster, number: u64) -> u64 {
    let change = put(
        &format!("change-{number}"),
        "gauteng",
        region(number as u32 + 1, "gauteng-a"),
        number,
    );
    item(cluster.request_leader(&change)).resource.revision
}

fn run_changes(cluster: &mut Cluster, numbers: std::ops::Range<u64>) {
    for number in numbers {
        change(cluster, number);
    }
}

fn is_caught_up(cluster: &Cluster, replica: &ReplicaId) -> bool {
    let states: Vec<_> = cluster.replicas.values().map(|it| it.state()).collect();
    let most = states.iter().map(|state| state.applied_index()).max();
    Some(cluster.replicas[replica].state().applied_index()) == most
}

fn received_bytes(cluster: &Cluster, replica: &ReplicaId) -> usize {
    let to_replica = cluster.sent.iter().filter(|(to, _)| to == replica);
    let bytes: u64 = to_replica.map(|(_, message)| message_bytes(message)).sum();
    usize::try_from(bytes).expect("a size")
}

#[test]
fn a_replica_that_missed_550_changes_catches_up_by_snapshot_and_tail() {
    let mut cluster = Cluster::new(3);
    let stopped = cluster.follower();
    cluster.kill(&stopped);
    run_changes(&mut cluster, 0..CHANGES);
    cluster.sent.clear();
    cluster.start(&stopped);
    cluster.run_until("the replica to catch up", |cluster| {
        is_caught_up(cluster, &stopped)
    });
    let leader = cluster.wait_for_leader();
    assert_eq!(
        cluster.replicas[&stopped].state(),
        cluster.replicas[&leader].state()
    );
    let received = received_bytes(&cluster, &stopped);
    println!("{CHANGES} missed changes: {received} bytes received");
    assert!(received <= SNAPSHOT_MAX_BYTES + TAIL_MAX_BYTES);
    let snapshots = cluster
        .sent
        .iter()
        .filter(|(to, message)| {
            *to == stopped && matches!(message, Message::InstallSnapshot { .. })
        })
        .count();
    assert!(
        snapshots > 0,
        "no snapshot was sent, though the leader dropped the log before it"
    );
}

#[test]
fn all_replicas_restart_from_snapshot_and_tail_with_the_retained_answers() {
    let mut cluster = Cluster::new(3);
    run_changes(&mut cluster, 0..CHANGES);
    let first = put("change-0", "gauteng", region(1, "gauteng-a"), 0);
    let replicas: Vec<ReplicaId> = cluster.replicas.keys().cloned().collect();
    for replica in &replicas {
        let (snapshot, tail) = cluster.disks[replica].restart_bytes();
        println!("restart of {replica}: snapshot {snapshot} bytes, tail {tail} bytes");
        assert!(snapshot > 0 && snapshot <= SNAPSHOT_MAX_BYTES);
        assert!(tail <= TAIL_MAX_BYTES);
        cluster.kill(replica);
    }
    for replica in &replicas {
        cluster.start(replica);
    }
    assert_eq!(item(cluster.request_leader(&first)).resource.version, 1);
    let list_all = Request::List { kind: None };
    let Ok(Answer::List(list)) = cluster.request_leader(&list_all) else {
        panic!("the leader answered a list request with something else");
    };
    assert_eq!(list.items[0].resource.version, CHANGES);
}

#[test]
fn a_watch_goes_on_without_gaps_over_a_leader_change_and_a_restart() {
    let mut cluster = Cluster::new(3);
    let mut events: Vec<Change> = Vec::new();
    let mut from = 0;
    for number in 0..30 {
        let revision = change(&mut cluster, number);
        if number % 10 == 5 {
            let leader = cluster.wait_for_leader();
            cluster.kill(&leader);
            cluster.wait_for_leader();
            cluster.start(&leader);
        }
        let watcher = cluster.follower();
        while from < revision {
            let watch = Request::Watch {
                from,
                wait_ms: 1_000,
            };
            let Ok(Answer::Watched(WatchAnswer {
                revision,
                events: seen,
            })) = cluster.request(&watcher, watch)
            else {
                panic!("{watcher} answered the watch from {from} with something else");
            };
            from = revision;
            events.extend(seen);
        }
    }
    let versions: Vec<u64> = events
        .iter()
        .filter_map(|change| change.resource.as_ref().map(|it| it.version))
        .collect();
    assert_eq!(versions, (1..=30).collect::<Vec<u64>>());
}

#[test]
fn a_watch_that_sees_nothing_ends_at_its_deadline() {
    let mut cluster = Cluster::new(3);
    let from = change(&mut cluster, 0);
    let leader = cluster.wait_for_leader();
    let started_us = cluster.now_us;
    let watch = Request::Watch { from, wait_ms: 400 };
    let answer = cluster.request(&leader, watch);
    assert_eq!(
        answer,
        Ok(Answer::Watched(WatchAnswer {
            revision: from,
            events: Vec::new()
        }))
    );
    assert_eq!(cluster.now_us - started_us, 400_000);
}

#[test]
fn a_replica_that_lost_its_disk_is_admitted_and_a_second_loss_loses_nothing() {
    let mut cluster = Cluster::new(3);
    run_changes(&mut cluster, 0..150);
    let lost = cluster.follower();
    let mut replacement = id(&lost.name, 2);
    cluster.kill(&lost);
    cluster.disks.remove(&lost);
    for (round, replaced) in [(0, lost.clone()), (1, id("control-x", 0))] {
        let replaced = match round {
            0 => replaced,
            _ => {
                let second = cluster.follower();
                cluster.kill(&second);
                cluster.disks.remove(&second);
                replacement = id(&second.name, 3);
                second
            }
        };
        cluster.start(&replacement);
        cluster.run_ms(500);
        assert_eq!(cluster.replicas[&replacement].status().commit_index, 0);
        let admit = Request::Admit {
            id: replacement.clone(),
            replaces: Some(replaced.clone()),
        };
        let Ok(Answer::Replicas(_)) = cluster.request_leader(&admit) else {
            panic!("the leader did not admit {replacement}");
        };
        cluster.run_until("the new replica to become a voter", |cluster| {
            let leader = cluster.leader();
            leader.is_some_and(|leader| {
                let membership = cluster.replicas[&leader].status().membership;
                membership.voters.contains(&replacement) && !membership.voters.contains(&replaced)
            })
        });
        run_changes(&mut cluster, 150 + 10 * round..160 + 10 * round);
    }
    let Ok(Answer::List(list)) = cluster.request_leader(&Request::List { kind: None }) else {
        panic!("the leader answered a list request with something else");
    };
    assert_eq!(list.items[0].resource.version, 170);
}

#[test]
fn without_a_majority_requests_end_as_unavailable() {
    let mut cluster = Cluster::new(3);
    change(&mut cluster, 0);
    let leader = cluster.wait_for_leader();
    let others: Vec<ReplicaId> = cluster.replicas.keys().cloned().collect();
    for replica in others.iter().filter(|it| **it != leader) {
        cluster.kill(replica);
    }
    let answer = cluster.request(&leader, put("x", "gauteng", region(2, "gauteng-a"), 1));
    assert_eq!(answer, Err(ApiError::Unavailable));
}

// After a loss of power, a gateway that starts may poll a replica that has just started too. Its
// answer is that of its snapshot, and says so until the replica has heard what is committed.
#[test]
fn a_replica_that_has_just_started_says_that_its_answers_may_be_old() {
    let mut cluster = Cluster::new(3);
    run_changes(&mut cluster, 0..20);
    cluster.run_ms(500);
    let replicas: Vec<ReplicaId> = cluster.replicas.keys().cloned().collect();
    let is_current = |cluster: &mut Cluster, replica: &ReplicaId| {
        cluster.poll_as_gateway(replica, "gateway-1", 0).is_current
    };
    for replica in &replicas {
        assert!(is_current(&mut cluster, replica));
    }
    for restarted in [&replicas[..1], &replicas[1..2], &replicas[..]] {
        restarted.iter().for_each(|replica| cluster.kill(replica));
        cluster.run_ms(200);
        restarted.iter().for_each(|replica| cluster.start(replica));
        for _ in 0..300 {
            for replica in &replicas {
                let may_be_old = cluster.replicas[replica]
                    .state()
                    .resources(None)
                    .next()
                    .is_none();
                assert!(!may_be_old || !is_current(&mut cluster, replica));
            }
            cluster.tick();
        }
        for replica in &replicas {
            assert!(is_current(&mut cluster, replica), "{replica}");
        }
    }
}
