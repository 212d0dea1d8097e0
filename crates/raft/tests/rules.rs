//! Tests of single Raft rules on one replica, with messages made by the test.

mod replica;

use raft::{Input, Membership, Message, Output, ProposeError, Role, Snapshot};
use replica::{ELECTION_US, Replica, append_message, entry, id, voters};

#[test]
fn entry_of_an_older_term_is_not_committed_by_counting_replicas() {
    let mut leader = Replica::leader(&["a", "b", "c"], vec![entry(1, 1), entry(2, 1)]);
    leader.acknowledge("b", 2);
    assert_eq!(leader.raft.commit_index(), 0);
    leader.acknowledge("b", 3);
    assert_eq!(leader.raft.commit_index(), 3);
}

#[test]
fn membership_changes_one_at_a_time_and_only_after_a_commit_in_the_term() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    leader.admit(1, "d", None);
    assert_eq!(
        leader.rejection(1),
        Some(&ProposeError::MembershipChangePending)
    );
    leader.acknowledge("b", 1);
    leader.admit(2, "d", None);
    assert_eq!(leader.rejection(2), None);
    leader.admit(3, "e", None);
    assert_eq!(
        leader.rejection(3),
        Some(&ProposeError::MembershipChangePending)
    );
}

#[test]
fn voter_is_not_removed_while_the_rest_lacks_a_live_majority() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    leader.acknowledge("b", 1);
    leader.admit(1, "d", Some("b"));
    leader.acknowledge("b", 2);
    leader.now_us += ELECTION_US * 3 / 4;
    leader.acknowledge("b", 2);
    leader.now_us += ELECTION_US / 2;
    leader.acknowledge("d", 2);
    assert!(leader.raft.status().membership.voters.contains(&id("b", 1)));
    leader.acknowledge("c", 2);
    assert!(!leader.raft.status().membership.voters.contains(&id("b", 1)));
}

#[test]
fn only_voter_is_never_removed() {
    let mut leader = Replica::leader(&["a"], Vec::new());
    let id = id("a", 1);
    leader.input(Input::Remove { request: 1, id });
    assert_eq!(leader.rejection(1), Some(&ProposeError::LastVoter));
    assert_eq!(leader.raft.commit_index(), 1);
}

#[test]
fn snapshot_chunks_of_two_leaders_are_not_combined() {
    let mut follower = Replica::new(voters(&["a", "b", "c"]), Vec::new());
    assert_eq!(follower.receive_chunk(2, 9, 0, false), 5);
    assert_eq!(
        follower.receive_chunk(2, 9, 0, false),
        5,
        "a repeated chunk adds nothing"
    );
    assert_eq!(follower.receive_chunk(3, 9, 5, true), 0);
    assert_eq!(follower.receive_chunk(3, 9, 0, false), 5);
    assert_eq!(follower.receive_chunk(3, 9, 5, true), 10);
    let restored = Output::Restore(Snapshot {
        index: 9,
        term: 2,
        membership: voters(&["a", "b", "c"]),
        data: vec![9; 10],
    });
    assert!(follower.outputs.contains(&restored));
}

#[test]
fn snapshot_removes_entries_that_do_not_continue_it() {
    let entries = (1..=12).map(|index| entry(index, 1)).collect();
    let mut follower = Replica::new(voters(&["a", "b", "c"]), entries);
    follower.receive_chunk(3, 9, 0, true);
    assert_eq!(follower.raft.last_index(), 9);
    let truncates = |output: &Output| match output {
        Output::Persist(persist) => persist.snapshot.is_some() && persist.truncate_from == Some(10),
        _ => false,
    };
    assert!(follower.outputs.iter().any(truncates));
}

#[test]
fn removed_entries_are_not_acknowledged_as_synced() {
    for synced_before in [true, false] {
        let mut follower = Replica::new(voters(&["a", "b", "c"]), Vec::new());
        let from_b = |message| Input::Receive {
            from: id("b", 1),
            message,
        };
        let old = vec![entry(1, 1), entry(2, 1), entry(3, 1)];
        let mut inputs = vec![
            from_b(append_message(1, (0, 0), old)),
            from_b(append_message(2, (1, 1), vec![entry(2, 2)])),
        ];
        let position = if synced_before { 1 } else { 2 };
        inputs.insert(position, Input::Persisted { ticket: 1 });
        inputs.push(from_b(append_message(2, (2, 2), Vec::new())));
        for input in inputs {
            follower.raft.step(1, input, &mut follower.outputs);
        }
        let acknowledged = match follower.sent_messages().last() {
            Some(Message::Appended { match_index, .. }) => Some(*match_index),
            _ => None,
        };
        assert_eq!(acknowledged, Some(1));
    }
}

#[test]
fn silent_peer_gets_a_bounded_number_of_messages() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    leader.acknowledge("b", 1);
    leader.acknowledge("c", 1);
    leader.outputs.clear();
    for request in 0..1000 {
        let data = vec![0; 100];
        leader.input(Input::Propose { request, data });
    }
    assert!(leader.sent_messages().count() <= 2 * 64);
}

#[test]
fn rejections_of_in_flight_appends_cause_one_resend() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    leader.acknowledge("b", 1);
    for request in 0..10 {
        let data = vec![0; 10];
        leader.input(Input::Propose { request, data });
    }
    leader.outputs.clear();
    for _ in 0..9 {
        leader.reject_append(2);
    }
    assert_eq!(leader.sent_messages().count(), 1);
}

#[test]
fn uncommitted_proposals_are_bounded() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    for request in 0..6 {
        let data = vec![0; 1024 * 1024];
        leader.input(Input::Propose { request, data });
    }
    assert_eq!(leader.rejection(5), Some(&ProposeError::Busy));
}

#[test]
fn replica_with_a_failed_disk_sends_nothing_and_rejects_requests() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    leader.input(Input::Read { request: 1 });
    leader.input(Input::StorageFailed);
    assert_eq!(leader.rejection(1), Some(&ProposeError::StorageFailed));
    leader.outputs.clear();
    assert!(!leader.grants_vote("b", 9, false, (9, 9)));
    leader.append(9, (1, 1), Vec::new());
    leader.now_us += 10 * ELECTION_US;
    leader.input(Input::Tick);
    assert_eq!(leader.sent_messages().count(), 0);
    let data = Vec::new();
    leader.input(Input::Propose { request: 2, data });
    assert_eq!(leader.rejection(2), Some(&ProposeError::StorageFailed));
    assert_eq!(leader.raft.status().role, Role::Failed);
}

#[test]
fn replica_that_does_not_know_of_its_promotion_yet_grants_its_vote() {
    let mut learner = Replica::new(voters(&["b", "c"]), vec![entry(1, 1)]);
    assert_eq!(learner.raft.status().role, Role::Learner);
    learner.now_us = ELECTION_US;
    assert!(learner.grants_vote("b", 2, true, (2, 1)));
    assert!(
        !learner.grants_vote("b", 2, false, (0, 1)),
        "no vote for a candidate with a shorter log"
    );
    assert!(learner.grants_vote("b", 2, false, (2, 1)));
    learner.now_us += 10 * ELECTION_US;
    learner.outputs.clear();
    learner.input(Input::Tick);
    assert_eq!(
        learner.sent_messages().count(),
        0,
        "a learner starts no election"
    );
}

#[test]
fn replica_that_never_joined_a_group_grants_no_vote() {
    let mut blank = Replica::new(Membership::default(), Vec::new());
    blank.now_us = ELECTION_US;
    for pre in [true, false] {
        assert!(!blank.grants_vote("b", 4, pre, (9, 3)));
    }
    assert_eq!(blank.raft.status().role, Role::Learner);
}

#[test]
fn promise_not_to_vote_holds_into_a_later_term() {
    let mut follower = Replica::new(voters(&["a", "b", "c"]), Vec::new());
    follower.now_us = 3 * ELECTION_US;
    follower.append(1, (0, 0), Vec::new());
    let denial = Message::Vote {
        term: 2,
        pre: false,
        granted: false,
    };
    follower.receive("c", denial);
    assert_eq!(follower.raft.status().term, 2);
    follower.now_us += ELECTION_US - 1;
    assert!(!follower.grants_vote("c", 2, false, (0, 0)));
    follower.now_us += 1;
    assert!(follower.grants_vote("c", 2, false, (0, 0)));
}

#[test]
fn restarted_replica_grants_no_vote_for_one_election_timeout() {
    let mut restarted = Replica::new(voters(&["a", "b", "c"]), Vec::new());
    restarted.now_us = ELECTION_US - 1;
    assert!(!restarted.grants_vote("c", 1, false, (0, 0)));
    restarted.now_us += 1;
    assert!(restarted.grants_vote("c", 1, false, (0, 0)));
}

#[test]
fn of_two_simultaneous_pre_candidates_one_yields() {
    for (name, granted) in [("b", true), ("A", false)] {
        let mut replica = Replica::new(voters(&["a", name, "c"]), Vec::new());
        replica.now_us = 2 * ELECTION_US;
        replica.input(Input::Tick);
        assert_eq!(replica.raft.status().role, Role::Candidate);
        assert_eq!(replica.grants_vote(name, 1, true, (0, 0)), granted);
        let is_asking = replica.raft.status().role == Role::Candidate;
        assert_eq!(is_asking, !granted);
    }
}
