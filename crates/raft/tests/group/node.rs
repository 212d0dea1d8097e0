//! A replica of the simulated group, with its state machine and its disk.

use raft::{Message, Output, Persist, Raft, ReplicaId, Restored};
use std::collections::VecDeque;

/// A state machine that only keeps the index of the last entry and a digest of all entries applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    pub index: u64,
    pub digest: u64,
}

impl Machine {
    pub fn encode(self) -> Vec<u8> {
        [self.index.to_le_bytes(), self.digest.to_le_bytes()].concat()
    }

    pub fn decode(data: &[u8]) -> Self {
        let word = |at: usize| u64::from_le_bytes(data[at..at + 8].try_into().unwrap());
        Self {
            index: word(0),
            digest: word(8),
        }
    }
}

/// A replica, running or not, with its state machine and its disk.
pub struct Node {
    pub id: ReplicaId,
    /// `None` while the process is not running.
    pub raft: Option<Raft>,
    pub machine: Machine,
    /// The answers to proposals, reads and membership changes.
    pub answers: Vec<Output>,
    /// Until when, if this node leads, no other may lead: one election timeout after the latest
    /// read that it answered was requested. 0 if it doesn't lead.
    pub lease_until_us: u64,
    /// A paused node receives no message and runs no timer.
    pub paused: bool,
    pub disk: Restored,
    /// Unsynced writes with the time at which each is synced.
    pub writes: VecDeque<(u64, Persist)>,
}

impl Node {
    pub fn has_on_disk(&self, index: u64, term: u64) -> bool {
        let base = self.disk.snapshot.as_ref().map_or(0, |s| s.index);
        let entries = &self.disk.entries;
        index <= base || entries.iter().any(|e| (e.index, e.term) == (index, term))
    }

    fn has_any_on_disk(&self, index: u64) -> bool {
        self.has_on_disk(index, 0) || self.disk.entries.iter().any(|e| e.index == index)
    }

    /// Checks that the vote, the entries or the snapshot that a message confirms are on the disk.
    pub fn check_synced(&self, to: &ReplicaId, message: &Message) {
        let vote = (&self.disk.hard_state.voted_for, self.disk.hard_state.term);
        match message {
            Message::Vote {
                pre: false,
                granted: true,
                term,
            } => {
                assert_eq!(vote, (&Some(to.clone()), *term), "a vote is synced");
            }
            Message::RequestVote {
                pre: false, term, ..
            } => {
                assert_eq!(vote, (&Some(self.id.clone()), *term), "a vote is synced");
            }
            Message::Appended {
                success: true,
                match_index,
                ..
            } => {
                let term = self.raft.as_ref().unwrap().term_at(*match_index);
                let is_synced = match term {
                    Some(term) => self.has_on_disk(*match_index, term),
                    None => self.has_any_on_disk(*match_index),
                };
                assert!(is_synced, "entry {match_index} of {term:?} is synced");
            }
            Message::SnapshotReceived {
                done: true, index, ..
            } => assert!(self.has_any_on_disk(*index), "a snapshot is synced"),
            _ => {}
        }
    }
}

/// Applies a write to the simulated disk.
pub fn apply_write(disk: &mut Restored, persist: Persist) {
    if let Some(snapshot) = persist.snapshot {
        disk.entries.retain(|e| e.index > snapshot.index);
        disk.snapshot = Some(snapshot);
    }
    if let Some(index) = persist.truncate_from {
        disk.entries.retain(|e| e.index < index);
    }
    for entry in persist.entries {
        let base = disk.snapshot.as_ref().map_or(0, |s| s.index);
        let last = disk.entries.last().map_or(base, |e| e.index);
        assert_eq!(entry.index, last + 1, "the log on the disk has no gap");
        disk.entries.push(entry);
    }
    if let Some(hard_state) = persist.hard_state {
        disk.hard_state = hard_state;
    }
}
