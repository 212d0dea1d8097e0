//! Tests which replicas vote after losses, planned replacements and lost disks.

mod cluster;

use cluster::{Cluster, id};
use control::{Answer, Input, Request};
use plan::Change;
use raft::ReplicaId;
use std::collections::BTreeSet;

/// How long a replica that came in place of a lost one may take until it counts.
const CATCH_UP_MS: u64 = 6_000;

/// How often a replica without a leader asks to join, in milliseconds.
const JOIN_PERIOD_MS: u64 = 500;

/// Runs the cluster while every replica that needs admission asks the leader for it.
fn run_with_joins(cluster: &mut Cluster, ms: u64) {
    for _ in 0..ms.div_ceil(JOIN_PERIOD_MS) {
        let replicas = cluster.replicas.iter();
        let joining: Vec<ReplicaId> = replicas
            .filter(|(_, control)| control.needs_admission())
            .map(|(replica, _)| replica.clone())
            .collect();
        if let Some(leader) = cluster.leader() {
            for from in joining {
                cluster.step(&leader, Input::Join { join: 1, from });
            }
        }
        cluster.run_ms(JOIN_PERIOD_MS);
    }
}

fn voters(cluster: &mut Cluster) -> BTreeSet<ReplicaId> {
    let leader = cluster.wait_for_leader();
    cluster.replicas[&leader].status().membership.voters
}

fn learners(cluster: &mut Cluster) -> BTreeSet<ReplicaId> {
    let leader = cluster.wait_for_leader();
    cluster.replicas[&leader].status().membership.learners
}

fn running(cluster: &Cluster) -> BTreeSet<ReplicaId> {
    cluster.replicas.keys().cloned().collect()
}

fn evacuate(cluster: &mut Cluster, domain: &str) {
    let change = Change::Evacuate {
        domain: domain.parse().expect("a valid name"),
    };
    let answer = cluster.request_leader(&Request::Steer { change });
    assert!(matches!(answer, Ok(Answer::Steered(_))), "{answer:?}");
}

fn is_evacuated(cluster: &mut Cluster, domain: &str) -> bool {
    let leader = cluster.wait_for_leader();
    let evacuated = cluster.replicas[&leader].state().steering().evacuated();
    evacuated.iter().any(|it| it.as_str() == domain)
}

/// Kills every process; two replicas come back with empty disks, the others with theirs.
fn restart_without_disks_of(cluster: &mut Cluster, lost: &[ReplicaId]) {
    let all = running(cluster);
    all.iter().for_each(|replica| cluster.kill(replica));
    for replica in all.iter().filter(|it| !lost.contains(it)) {
        cluster.start(replica);
    }
    for replica in lost {
        cluster.start(&id(&replica.name, replica.incarnation + 100));
    }
}

// Dead voters among an odd number kept their votes for good: after two replacements within the time
// in which a loss is noticed, the loss of two further disks left no majority.
#[test]
fn two_replacements_within_a_second_leave_no_dead_voter() {
    let mut cluster = Cluster::with_open_membership(5);
    cluster.wait_for_leader();
    for (number, lost) in [4, 5].into_iter().enumerate() {
        cluster.kill(&id(&format!("control-{lost}"), 1));
        run_with_joins(&mut cluster, 500);
        cluster.start(&id(&format!("control-{}", 6 + number), 77));
    }
    run_with_joins(&mut cluster, CATCH_UP_MS);
    assert_eq!(voters(&mut cluster), running(&cluster));

    evacuate(&mut cluster, "east-a");
    let newest = [id("control-6", 77), id("control-7", 77)];
    restart_without_disks_of(&mut cluster, &newest);
    run_with_joins(&mut cluster, CATCH_UP_MS);
    assert!(is_evacuated(&mut cluster, "east-a"));
}

// As above, with the successors started before their predecessors end.
#[test]
fn two_planned_replacements_within_a_second_leave_no_dead_voter() {
    let mut cluster = Cluster::with_open_membership(5);
    cluster.wait_for_leader();
    for (number, replaced) in [4, 5].into_iter().enumerate() {
        cluster.start(&id(&format!("control-{}", 6 + number), 77));
        run_with_joins(&mut cluster, 500);
        cluster.kill(&id(&format!("control-{replaced}"), 1));
    }
    run_with_joins(&mut cluster, CATCH_UP_MS);
    assert_eq!(voters(&mut cluster), running(&cluster));
}

// Two of five may come back with their disks after the others have lost theirs.
#[test]
fn two_silent_voters_of_five_keep_their_votes() {
    let mut cluster = Cluster::with_open_membership(5);
    let leader = cluster.wait_for_leader();
    let others = running(&cluster);
    let silent: Vec<_> = others.into_iter().filter(|it| *it != leader).collect();
    cluster.isolated.extend(silent[..2].iter().cloned());
    cluster.run_ms(20_000);
    assert_eq!(voters(&mut cluster), running(&cluster));
}

// The first silent voter by name was removed, which may be one that is cut off for seconds only.
#[test]
fn the_voter_that_is_silent_for_longest_is_removed_first() {
    let mut cluster = Cluster::with_open_membership(5);
    cluster.wait_for_leader();
    cluster.start(&id("control-6", 77));
    run_with_joins(&mut cluster, 1_000);
    assert_eq!(voters(&mut cluster).len(), 6);
    let leader = cluster.wait_for_leader();
    let others = running(&cluster);
    let mut others = others.into_iter().filter(|it| *it != leader);
    let (cut_off, dead) = (others.next(), others.next_back());
    let (cut_off, dead) = (cut_off.expect("a follower"), dead.expect("a follower"));
    cluster.kill(&dead);
    cluster.run_ms(20);
    cluster.isolated.insert(cut_off.clone());
    cluster.run_ms(4_000);
    let voters = voters(&mut cluster);
    assert!(voters.contains(&cut_off) && !voters.contains(&dead));
}

// A replica that lost its disk was admitted in place of another one that was down at the time.
#[test]
fn a_replica_that_lost_its_disk_takes_its_own_place() {
    let mut cluster = Cluster::with_open_membership(5);
    let leader = cluster.wait_for_leader();
    let others = running(&cluster);
    let mut others = others.into_iter().filter(|it| *it != leader);
    let (down, wiped) = (others.next(), others.next());
    let (down, wiped) = (down.expect("a follower"), wiped.expect("a follower"));
    cluster.kill(&down);
    run_with_joins(&mut cluster, 3_000);
    cluster.kill(&wiped);
    let successor = id(&wiped.name, 77);
    cluster.start(&successor);
    run_with_joins(&mut cluster, CATCH_UP_MS);
    let voters = voters(&mut cluster);
    assert!(voters.contains(&down), "{voters:?}");
    assert!(voters.contains(&successor) && !voters.contains(&wiped));
}

// Learners that never caught up stayed members for good, and gateways were told to poll them.
#[test]
fn a_learner_that_falls_silent_is_dropped() {
    let mut cluster = Cluster::with_open_membership(3);
    let leader = cluster.wait_for_leader();
    cluster.run_ms(500);
    let from = id("control-9", 77);
    cluster.step(&leader, Input::Join { join: 1, from });
    cluster.run_ms(1_000);
    assert_eq!(learners(&mut cluster).len(), 1);
    cluster.run_ms(15_000);
    assert_eq!(learners(&mut cluster), BTreeSet::new());
}
