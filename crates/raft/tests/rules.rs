//! Single rules of the log, shown on one replica that is fed messages by hand.

use raft::{
    Entry, HardState, Input, Membership, Message, Output, Payload, ProposeError, Raft, RaftConfig,
    ReplicaId, Restored, Role, Snapshot,
};
use std::collections::BTreeSet;

const ELECTION_US: u64 = 500_000;

fn id(name: &str, incarnation: u64) -> ReplicaId {
    ReplicaId {
        name: name.to_owned(),
        incarnation,
    }
}

fn voters(names: &[&str]) -> Membership {
    Membership {
        voters: names.iter().map(|name| id(name, 1)).collect(),
        learners: BTreeSet::new(),
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(vec![1; 100]),
    }
}

/// A replica `a` whose writes are synced at once.
struct Replica {
    raft: Raft,
    now_us: u64,
    outputs: Vec<Output>,
}

impl Replica {
    fn new(membership: Membership, entries: Vec<Entry>) -> Self {
        let config = RaftConfig {
            id: id("a", 1),
            heartbeat_us: 100_000,
            election_us: ELECTION_US,
            append_max_bytes: 1000,
            snapshot_part_bytes: 5,
            seed: 7,
        };
        let term = entries.last().map_or(0, |e| e.term);
        let restored = Restored {
            hard_state: HardState {
                term,
                voted_for: None,
            },
            entries,
            founders: Some(membership),
            ..Restored::default()
        };
        Self {
            raft: Raft::new(config, restored, 0),
            now_us: 0,
            outputs: Vec::new(),
        }
    }

    fn leader(names: &[&str], entries: Vec<Entry>) -> Self {
        let mut replica = Self::new(voters(names), entries);
        replica.now_us = 2 * ELECTION_US;
        replica.input(Input::Tick);
        for pre in [true, false] {
            let term = replica.raft.status().term + u64::from(pre);
            for name in &names[1..] {
                let vote = Message::Vote {
                    term,
                    pre,
                    granted: true,
                };
                replica.receive(name, vote);
            }
        }
        assert_eq!(replica.raft.status().role, Role::Leader);
        replica
    }

    fn input(&mut self, input: Input) {
        let first = self.outputs.len();
        self.raft.step(self.now_us, input, &mut self.outputs);
        let writes = self.outputs[first..]
            .iter()
            .filter_map(|output| match output {
                Output::Persist(persist) => Some(persist.ticket),
                _ => None,
            });
        if let Some(ticket) = writes.max() {
            self.input(Input::Persisted { ticket });
        }
    }

    fn receive(&mut self, name: &str, message: Message) {
        let from = id(name, 1);
        self.input(Input::Receive { from, message });
    }

    fn acknowledge(&mut self, name: &str, match_index: u64) {
        let term = self.raft.status().term;
        let appended = Message::Appended {
            term,
            success: true,
            match_index,
            round: 0,
        };
        self.receive(name, appended);
    }

    fn append(&mut self, term: u64, prev: (u64, u64), entries: Vec<Entry>) {
        let append = Message::Append {
            term,
            prev_index: prev.0,
            prev_term: prev.1,
            commit: 0,
            round: 0,
            entries,
        };
        self.receive("b", append);
    }

    fn part(&mut self, term: u64, index: u64, offset_bytes: u64, done: bool) -> u64 {
        let part = Message::InstallSnapshot {
            term,
            index,
            snapshot_term: 2,
            membership: voters(&["a", "b", "c"]),
            offset_bytes,
            data: vec![9; 5],
            done,
            round: 0,
        };
        self.receive("b", part);
        match self.sent().last() {
            Some(Message::SnapshotReceived {
                next_offset_bytes, ..
            }) => *next_offset_bytes,
            other => panic!("no answer to a part but {other:?}"),
        }
    }

    fn sent(&self) -> impl Iterator<Item = &Message> {
        self.outputs.iter().filter_map(|output| match output {
            Output::Send { message, .. } => Some(message),
            _ => None,
        })
    }

    fn rejected(&self, wanted: u64) -> Option<&ProposeError> {
        self.outputs.iter().find_map(|output| match output {
            Output::Rejected { request, error } if *request == wanted => Some(error),
            _ => None,
        })
    }

    fn admit(&mut self, request: u64, name: &str, replaces: Option<&str>) {
        self.input(Input::Admit {
            request,
            id: id(name, 1),
            replaces: replaces.map(|name| id(name, 1)),
        });
    }
}

#[test]
fn entry_of_an_older_term_is_not_committed_by_counting() {
    let mut leader = Replica::leader(&["a", "b", "c"], vec![entry(1, 1), entry(2, 1)]);
    leader.acknowledge("b", 2);
    assert_eq!(leader.raft.commit_index(), 0);
    leader.acknowledge("b", 3);
    assert_eq!(leader.raft.commit_index(), 3);
}

#[test]
fn membership_changes_one_at_a_time_and_only_in_a_settled_term() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    leader.admit(1, "d", None);
    assert_eq!(leader.rejected(1), Some(&ProposeError::ChangeUnderWay));
    leader.acknowledge("b", 1);
    leader.admit(2, "d", None);
    assert_eq!(leader.rejected(2), None);
    leader.admit(3, "e", None);
    assert_eq!(leader.rejected(3), Some(&ProposeError::ChangeUnderWay));
}

#[test]
fn voter_is_not_dropped_while_the_rest_lacks_a_live_majority() {
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
fn only_voter_is_never_dropped() {
    let mut leader = Replica::leader(&["a"], Vec::new());
    let id = id("a", 1);
    leader.input(Input::Remove { request: 1, id });
    assert_eq!(leader.rejected(1), Some(&ProposeError::LastVoter));
    assert_eq!(leader.raft.commit_index(), 1);
}

#[test]
fn parts_of_two_leaders_are_not_joined() {
    let mut follower = Replica::new(voters(&["a", "b", "c"]), Vec::new());
    assert_eq!(follower.part(2, 9, 0, false), 5);
    assert_eq!(
        follower.part(2, 9, 0, false),
        5,
        "a repeated part adds nothing"
    );
    assert_eq!(follower.part(3, 9, 5, true), 0);
    assert_eq!(follower.part(3, 9, 0, false), 5);
    assert_eq!(follower.part(3, 9, 5, true), 10);
    let restored = Output::Restore(Snapshot {
        index: 9,
        term: 2,
        membership: voters(&["a", "b", "c"]),
        data: vec![9; 10],
    });
    assert!(follower.outputs.contains(&restored));
}

#[test]
fn snapshot_voids_entries_that_do_not_go_on_from_it() {
    let entries = (1..=12).map(|index| entry(index, 1)).collect();
    let mut follower = Replica::new(voters(&["a", "b", "c"]), entries);
    follower.part(3, 9, 0, true);
    assert_eq!(follower.raft.last_index(), 9);
    let truncates = |output: &Output| match output {
        Output::Persist(persist) => persist.snapshot.is_some() && persist.truncate_from == Some(10),
        _ => false,
    };
    assert!(follower.outputs.iter().any(truncates));
}

#[test]
fn void_entries_are_not_claimed_as_synced() {
    for synced_before in [true, false] {
        let mut follower = Replica::new(voters(&["a", "b", "c"]), Vec::new());
        let mut outputs = Vec::new();
        let append = |term, entries, prev: (u64, u64)| Input::Receive {
            from: id("b", 1),
            message: Message::Append {
                term,
                prev_index: prev.0,
                prev_term: prev.1,
                commit: 0,
                round: 0,
                entries,
            },
        };
        let old = vec![entry(1, 1), entry(2, 1), entry(3, 1)];
        let mut inputs = vec![append(1, old, (0, 0)), append(2, vec![entry(2, 2)], (1, 1))];
        let position = if synced_before { 1 } else { 2 };
        inputs.insert(position, Input::Persisted { ticket: 1 });
        for input in inputs {
            follower.raft.step(1, input, &mut outputs);
        }
        outputs.clear();
        let heartbeat = append(2, Vec::new(), (2, 2));
        follower.raft.step(4, heartbeat, &mut outputs);
        let claimed = outputs.iter().find_map(|output| match output {
            Output::Send {
                message: Message::Appended { match_index, .. },
                ..
            } => Some(*match_index),
            _ => None,
        });
        assert_eq!(claimed, Some(1));
    }
}

#[test]
fn silent_peer_gets_a_bounded_number_of_bytes() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    leader.acknowledge("b", 1);
    leader.acknowledge("c", 1);
    leader.outputs.clear();
    for request in 0..1000 {
        let data = vec![0; 100];
        leader.input(Input::Propose { request, data });
    }
    assert!(leader.sent().count() <= 2 * 64);
}

#[test]
fn refusals_of_messages_under_way_bring_one_message_again() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    leader.acknowledge("b", 1);
    for request in 0..10 {
        let data = vec![0; 10];
        leader.input(Input::Propose { request, data });
    }
    leader.outputs.clear();
    for _ in 0..9 {
        let refusal = Message::Appended {
            term: leader.raft.status().term,
            success: false,
            match_index: 2,
            round: 0,
        };
        leader.receive("b", refusal);
    }
    assert_eq!(leader.sent().count(), 1);
}

#[test]
fn unanswered_proposals_are_bounded() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    for request in 0..6 {
        let data = vec![0; 1024 * 1024];
        leader.input(Input::Propose { request, data });
    }
    assert_eq!(leader.rejected(5), Some(&ProposeError::Busy));
}

#[test]
fn replica_with_a_failed_disk_takes_no_part() {
    let mut leader = Replica::leader(&["a", "b", "c"], Vec::new());
    leader.input(Input::Read { request: 1 });
    leader.input(Input::StorageFailed);
    assert_eq!(leader.rejected(1), Some(&ProposeError::StorageFailed));
    leader.outputs.clear();
    let vote = Message::RequestVote {
        term: 9,
        pre: false,
        last_index: 9,
        last_term: 9,
    };
    leader.receive("b", vote);
    leader.append(9, (1, 1), Vec::new());
    leader.now_us += 10 * ELECTION_US;
    leader.input(Input::Tick);
    assert_eq!(leader.sent().count(), 0);
    let data = Vec::new();
    leader.input(Input::Propose { request: 2, data });
    assert_eq!(leader.rejected(2), Some(&ProposeError::StorageFailed));
    assert_eq!(leader.raft.status().role, Role::Failed);
}

#[test]
fn replica_that_never_joined_a_group_gives_no_vote() {
    let mut blank = Replica::new(Membership::default(), Vec::new());
    for pre in [true, false] {
        let vote = Message::RequestVote {
            term: 4,
            pre,
            last_index: 9,
            last_term: 3,
        };
        blank.receive("b", vote);
    }
    let granted = |m: &&Message| matches!(m, Message::Vote { granted: true, .. });
    assert_eq!(blank.sent().filter(granted).count(), 0);
    assert_eq!(blank.raft.status().role, Role::Learner);
}

#[test]
fn promise_not_to_vote_holds_into_a_later_term() {
    let mut follower = Replica::new(voters(&["a", "b", "c"]), Vec::new());
    follower.now_us = 3 * ELECTION_US;
    follower.append(1, (0, 0), Vec::new());
    let refusal = Message::Vote {
        term: 2,
        pre: false,
        granted: false,
    };
    follower.receive("c", refusal);
    assert_eq!(follower.raft.status().term, 2);
    let ask = Message::RequestVote {
        term: 2,
        pre: false,
        last_index: 0,
        last_term: 0,
    };
    let granted = |m: &&Message| matches!(m, Message::Vote { granted: true, .. });
    follower.now_us += ELECTION_US - 1;
    follower.receive("c", ask.clone());
    assert_eq!(follower.sent().filter(granted).count(), 0);
    follower.now_us += 1;
    follower.receive("c", ask);
    assert_eq!(follower.sent().filter(granted).count(), 1);
}

#[test]
fn restarted_replica_gives_no_vote_for_the_length_of_a_timeout() {
    let mut restarted = Replica::new(voters(&["a", "b", "c"]), Vec::new());
    let ask = Message::RequestVote {
        term: 1,
        pre: false,
        last_index: 0,
        last_term: 0,
    };
    let granted = |m: &&Message| matches!(m, Message::Vote { granted: true, .. });
    restarted.now_us = ELECTION_US - 1;
    restarted.receive("c", ask.clone());
    assert_eq!(restarted.sent().filter(granted).count(), 0);
    restarted.now_us += 1;
    restarted.receive("c", ask);
    assert_eq!(restarted.sent().filter(granted).count(), 1);
}

#[test]
fn of_two_that_ask_at_once_one_gives_way() {
    for (name, granted) in [("b", true), ("A", false)] {
        let mut replica = Replica::new(voters(&["a", name, "c"]), Vec::new());
        replica.now_us = 2 * ELECTION_US;
        replica.input(Input::Tick);
        assert_eq!(replica.raft.status().role, Role::Candidate);
        let ask = Message::RequestVote {
            term: 1,
            pre: true,
            last_index: 0,
            last_term: 0,
        };
        replica.receive(name, ask);
        let last = replica.sent().last().cloned();
        let is_granted = matches!(last, Some(Message::Vote { granted: true, .. }));
        assert_eq!(is_granted, granted);
        let is_asking = replica.raft.status().role == Role::Candidate;
        assert_eq!(is_asking, !granted);
    }
}
