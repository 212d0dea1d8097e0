//! Network partitions, paused processes, lost disks and crashes in a simulated group of replicas.

mod group;

use group::{ELECTION_US, Group};
use raft::{Input, Message, Output, ProposeError, Role};

const DELAY_US: u64 = 12_000;

/// Proposes `count` commands, 5 ms apart.
fn propose(group: &mut Group, count: u64) {
    for request in 0..count {
        let leader = group.run_until_leader();
        let data = request.to_le_bytes().to_vec();
        group.input(leader, Input::Propose { request, data });
        group.run_for(5_000);
    }
}

/// Blocks all links of a node, in both directions.
fn isolate(group: &mut Group, node: usize) {
    for other in (0..group.nodes.len()).filter(|other| *other != node) {
        group.blocked_links.insert((node, other));
        group.blocked_links.insert((other, node));
    }
}

/// Starts a group that has committed some commands and has no work left.
fn settled_group(voters: usize) -> Group {
    let mut group = Group::new(voters, DELAY_US, 3);
    propose(&mut group, 5);
    group.run_until(Group::has_settled);
    group
}

/// Restarts a node whose disk was lost and runs until it is a voter under its new identity.
fn repair(group: &mut Group, node: usize) {
    group.restart(node);
    for _ in 0..100 {
        group.admit_unknown_replicas();
        group.run_for(100_000);
        if group.has_settled() {
            return;
        }
    }
    panic!("replica {node} was not made a voter again");
}

#[test]
fn follower_returns_from_a_long_partition_without_an_election() {
    let mut group = settled_group(3);
    let leader = group.leader().unwrap();
    let follower = (leader + 1) % 3;
    let term = group.status(leader).term;
    for with_changes in [true, false] {
        isolate(&mut group, follower);
        if with_changes {
            propose(&mut group, 20);
        }
        group.run_for(600_000_000);
        group.blocked_links.clear();
        group.run_for(3_000_000);
        assert!(group.has_settled());
        assert_eq!(group.status(leader).term, term);
    }
}

#[test]
fn paused_follower_resumes_without_asking_for_votes() {
    let mut group = settled_group(3);
    let leader = group.leader().unwrap();
    let follower = (leader + 1) % 3;
    group.nodes[follower].paused = true;
    group.run_for(30_000_000);
    group.nodes[follower].paused = false;
    group.on_send = |_, _, message| {
        assert!(!matches!(message, Message::RequestVote { .. }));
    };
    group.input(follower, Input::Tick);
    group.run_for(3_000_000);
    assert_eq!(group.leader(), Some(leader));
}

#[test]
fn leader_without_a_majority_steps_down_and_answers_no_read() {
    let mut group = settled_group(3);
    let leader = group.leader().unwrap();
    isolate(&mut group, leader);
    group.run_for(10_000);
    group.nodes[leader].answers.clear();
    group.read(leader, 77);
    group.run_for(2 * ELECTION_US);
    assert_ne!(group.status(leader).role, Role::Leader);
    let rejected = Output::Rejected {
        request: 77,
        error: ProposeError::NotLeader { leader: None },
    };
    assert_eq!(group.nodes[leader].answers, [rejected]);
    group.run_until(|g| g.leader().is_some_and(|l| l != leader));
}

#[test]
fn leader_that_sends_but_receives_nothing_steps_down() {
    let mut group = settled_group(3);
    let leader = group.leader().unwrap();
    for other in (0..3).filter(|other| *other != leader) {
        group.blocked_links.insert((other, leader));
    }
    group.run_for(4 * ELECTION_US);
    assert_ne!(group.status(leader).role, Role::Leader);
    let next = group.leader().unwrap();
    let term = group.status(next).term;
    group.run_for(60_000_000);
    group.blocked_links.clear();
    group.run_for(3_000_000);
    assert!(group.has_settled());
    assert_eq!(group.status(next).term, term);
}

#[test]
fn paused_leader_steps_down_before_it_accepts_a_read() {
    let mut group = settled_group(3);
    let leader = group.leader().unwrap();
    group.nodes[leader].paused = true;
    group.run_for(30_000_000);
    group.nodes[leader].paused = false;
    group.nodes[leader].answers.clear();
    group.read(leader, 78);
    let is_rejected = matches!(
        group.nodes[leader].answers[..],
        [Output::Rejected { request: 78, .. }]
    );
    assert!(is_rejected);
    group.run_for(3_000_000);
    assert!(group.has_settled());
    assert_eq!(group.checks.elections, 2);
}

#[test]
fn second_disk_lost_right_after_the_first_was_repaired_loses_nothing() {
    let mut group = settled_group(3);
    for node in [0, 1, 2, 0] {
        let committed = group.checks.committed_index();
        group.lose_disk(node);
        propose(&mut group, 3);
        repair(&mut group, node);
        assert!(group.nodes[node].machine.index >= committed + 3);
        let status = group.status(group.leader().unwrap());
        assert_eq!(status.membership.voters.len(), 3);
        assert!(status.membership.learners.is_empty());
    }
}

#[test]
fn restarted_replica_catches_up_by_snapshot_and_later_entries() {
    let mut group = settled_group(3);
    let leader = group.leader().unwrap();
    let follower = (leader + 1) % 3;
    group.crash(follower, 0);
    propose(&mut group, 500);
    group.run_for(200_000);
    group.snapshot(leader);
    propose(&mut group, 10);
    group.on_send = |group, _, message| {
        if let Message::InstallSnapshot { .. } = message {
            group.on_send_total += 1;
        }
    };
    group.restart(follower);
    group.run_until(Group::has_settled);
    assert_eq!(
        group.on_send_total, 4,
        "16 bytes are sent in chunks of at most 5, each chunk once"
    );
}

#[test]
fn snapshot_transfer_resumes_after_a_partition_where_it_stopped() {
    let mut group = settled_group(3);
    let leader = group.leader().unwrap();
    let follower = (leader + 1) % 3;
    group.crash(follower, 0);
    propose(&mut group, 500);
    group.run_for(200_000);
    group.snapshot(leader);
    group.on_send = |group, _, message| {
        if let Message::InstallSnapshot { .. } = message {
            group.on_send_total += 1;
        }
    };
    group.restart(follower);
    group.run_until(|g| g.on_send_total == 2);
    isolate(&mut group, follower);
    group.run_for(5_000_000);
    assert!(
        group.on_send_total <= 4,
        "snapshot chunks were sent to an unreachable peer"
    );
    group.blocked_links.clear();
    group.run_until(Group::has_settled);
    assert!(group.on_send_total <= 8);
}

#[test]
fn killed_leader_is_replaced_within_two_timeouts_and_some_round_trips() {
    let round_trip_us = 2 * 35_000;
    for seed in 0..100 {
        let mut group = Group::new(3, 35_000, 1_000 + 10 * seed);
        let leader = group.run_until_leader();
        group.run_for(1_000_000 + 997 * seed);
        let committed = group.checks.committed_index();
        group.crash(leader, 0);
        let killed_us = group.now_us;
        group.run_until(|g| g.checks.committed_index() > committed);
        assert!(group.now_us - killed_us < 2 * ELECTION_US + 5 * round_trip_us);
    }
}

#[test]
fn removed_leader_is_replaced() {
    let mut group = settled_group(3);
    let leader = group.leader().unwrap();
    let id = group.nodes[leader].id.clone();
    group.input(leader, Input::Remove { request: 1, id });
    group.run_until(|g| g.leader().is_some_and(|l| l != leader));
    assert_eq!(group.status(leader).role, Role::Learner);
    let next = group.leader().unwrap();
    assert_eq!(group.status(next).membership.voters.len(), 2);
}

#[test]
fn group_of_one_commits_and_answers_reads() {
    let mut group = settled_group(1);
    group.read(0, 5);
    let is_ready = |o: &Output| matches!(o, Output::ReadReady { request: 5, .. });
    assert!(group.nodes[0].answers.iter().any(is_ready));
    group.snapshot(0);
    group.run_for(10_000);
    group.crash(0, 0);
    let committed = group.checks.committed_index();
    group.restart(0);
    assert_eq!(group.nodes[0].machine.index, committed);
}
