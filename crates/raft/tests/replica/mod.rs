//! A single replica for tests of one rule: the test itself passes it the messages of its peers.

use raft::{
    Entry, HardState, Input, Membership, Message, Output, Payload, ProposeError, Raft, RaftConfig,
    ReplicaId, Restored, Role,
};
use std::collections::BTreeSet;

pub const ELECTION_US: u64 = 500_000;

pub fn id(name: &str, incarnation: u64) -> ReplicaId {
    ReplicaId {
        name: name.to_owned(),
        incarnation,
    }
}

pub fn voters(names: &[&str]) -> Membership {
    Membership {
        voters: names.iter().map(|name| id(name, 1)).collect(),
        learners: BTreeSet::new(),
    }
}

pub fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(vec![1; 100]),
    }
}

pub fn append_message(term: u64, prev: (u64, u64), entries: Vec<Entry>) -> Message {
    Message::Append {
        term,
        prev_index: prev.0,
        prev_term: prev.1,
        commit: 0,
        round: 0,
        entries,
    }
}

/// A replica `a` whose writes are synced at once. It collects every output.
pub struct Replica {
    pub raft: Raft,
    pub now_us: u64,
    pub outputs: Vec<Output>,
}

impl Replica {
    /// Creates a replica that restored `entries` from disk, in the term of the last of them.
    pub fn new(membership: Membership, entries: Vec<Entry>) -> Self {
        let config = RaftConfig {
            id: id("a", 1),
            heartbeat_interval_us: 100_000,
            election_timeout_min_us: ELECTION_US,
            append_max_bytes: 1000,
            snapshot_chunk_bytes: 5,
            seed: 7,
        };
        let term = entries.last().map_or(0, |e| e.term);
        let restored = Restored {
            hard_state: HardState {
                term,
                voted_for: None,
            },
            entries,
            initial_membership: Some(membership),
            ..Restored::default()
        };
        Self {
            raft: Raft::new(config, restored, 0),
            now_us: 0,
            outputs: Vec::new(),
        }
    }

    /// Starts `a`, the first of `names`, and lets the others elect it.
    pub fn leader(names: &[&str], entries: Vec<Entry>) -> Self {
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

    /// Passes in an input, then reports the writes that it caused as synced.
    pub fn input(&mut self, input: Input) {
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

    pub fn receive(&mut self, name: &str, message: Message) {
        let from = id(name, 1);
        self.input(Input::Receive { from, message });
    }

    /// Acknowledges the leader's entries up to `match_index` as the peer `name`.
    pub fn acknowledge(&mut self, name: &str, match_index: u64) {
        let term = self.raft.status().term;
        let appended = Message::Appended {
            term,
            success: true,
            match_index,
            round: 0,
        };
        self.receive(name, appended);
    }

    /// Sends an append as the leader `b`; `prev` is the index and term of the entry before.
    pub fn append(&mut self, term: u64, prev: (u64, u64), entries: Vec<Entry>) {
        self.receive("b", append_message(term, prev, entries));
    }

    /// Asks for a vote as the candidate `name`, whose last entry has the index and term `last`;
    /// returns whether it was granted.
    pub fn grants_vote(&mut self, name: &str, term: u64, pre: bool, last: (u64, u64)) -> bool {
        let first = self.outputs.len();
        let request = Message::RequestVote {
            term,
            pre,
            last_index: last.0,
            last_term: last.1,
        };
        self.receive(name, request);
        let is_granted = |output: &Output| match output {
            Output::Send { message, .. } => matches!(message, Message::Vote { granted: true, .. }),
            _ => false,
        };
        self.outputs[first..].iter().any(is_granted)
    }

    /// Rejects an append as `b`, which needs the entries from `next_index`.
    pub fn reject_append(&mut self, next_index: u64) {
        let rejection = Message::Appended {
            term: self.raft.status().term,
            success: false,
            match_index: next_index,
            round: 0,
        };
        self.receive("b", rejection);
    }

    /// Sends a chunk of a snapshot, of 5 bytes, as the leader `b`; returns the offset that `a` asks
    /// for next.
    pub fn receive_chunk(&mut self, term: u64, index: u64, offset_bytes: u64, done: bool) -> u64 {
        let chunk = Message::InstallSnapshot {
            term,
            index,
            snapshot_term: 2,
            membership: voters(&["a", "b", "c"]),
            offset_bytes,
            data: vec![9; 5],
            done,
            round: 0,
        };
        self.receive("b", chunk);
        match self.sent_messages().last() {
            Some(Message::SnapshotReceived {
                next_offset_bytes, ..
            }) => *next_offset_bytes,
            other => panic!("expected an answer to the snapshot chunk, got {other:?}"),
        }
    }

    pub fn sent_messages(&self) -> impl Iterator<Item = &Message> {
        self.outputs.iter().filter_map(|output| match output {
            Output::Send { message, .. } => Some(message),
            _ => None,
        })
    }

    pub fn rejection(&self, wanted: u64) -> Option<&ProposeError> {
        self.outputs.iter().find_map(|output| match output {
            Output::Rejected { request, error } if *request == wanted => Some(error),
            _ => None,
        })
    }

    pub fn admit(&mut self, request: u64, name: &str, replaces: Option<&str>) {
        self.input(Input::Admit {
            request,
            id: id(name, 1),
            replaces: replaces.map(|name| id(name, 1)),
        });
    }
}
