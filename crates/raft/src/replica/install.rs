//! Snapshots: of the own state machine, and the receiver's side of a leader's.

use super::{Raft, State};
use crate::{
    api::Output,
    message::{Message, ReplicaId, Snapshot},
};
use std::sync::Arc;

/// A snapshot that has come in part.
///
/// It belongs to one leader's term: the encodings of two replicas need not be the same.
#[derive(Debug)]
pub(super) struct Incoming {
    leader_term: u64,
    index: u64,
    data: Vec<u8>,
}

impl Incoming {
    fn continues(&self, leader_term: u64, index: u64) -> bool {
        self.leader_term == leader_term && self.index == index
    }
}

impl Raft {
    /// Replaces the log up to `index` by the contents of the own state machine.
    pub(super) fn snapshot_taken(&mut self, index: u64, data: Vec<u8>) {
        let fits = index > self.log.snapshot_index() && index <= self.commit_index;
        let Some(term) = self.log.term_at(index).filter(|_| fits) else {
            return;
        };
        if matches!(self.state, State::Failed) {
            return;
        }
        let snapshot = Snapshot {
            index,
            term,
            membership: self.log.membership_at(index).clone(),
            data,
        };
        self.durability.add_snapshot(&snapshot);
        self.log.compact(Arc::new(snapshot));
    }

    /// Takes a part of the leader's snapshot.
    pub(super) fn install(&mut self, from: &ReplicaId, message: Message) {
        let Message::InstallSnapshot {
            term,
            index,
            snapshot_term,
            membership,
            offset_bytes,
            data,
            done,
            round,
        } = message
        else {
            return;
        };
        self.hear_leader(from);
        if index <= self.commit_index {
            self.incoming = None;
            let answer = self.received_message(index, offset_bytes, true, round);
            return self.send_durably(from, answer);
        }
        let next_offset_bytes = self.add_part(index, offset_bytes, &data);
        let is_last = done && next_offset_bytes == offset_bytes + data.len() as u64;
        if !is_last {
            let answer = self.received_message(index, next_offset_bytes, false, round);
            return self.send(from, answer);
        }
        let whole = self.incoming.take().map_or_else(Vec::new, |i| i.data);
        debug_assert_eq!(term, self.hard_state.term);
        self.restore(Snapshot {
            index,
            term: snapshot_term,
            membership,
            data: whole,
        });
        let answer = self.received_message(index, next_offset_bytes, true, round);
        self.send_durably(from, answer);
    }

    /// Adds a part that goes on where the last one ended; returns where the next should start.
    fn add_part(&mut self, index: u64, offset_bytes: u64, data: &[u8]) -> u64 {
        let leader_term = self.hard_state.term;
        let incoming = self.incoming.take();
        let mut incoming = incoming
            .filter(|incoming| incoming.continues(leader_term, index))
            .unwrap_or(Incoming {
                leader_term,
                index,
                data: Vec::new(),
            });
        if offset_bytes == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        let next_offset_bytes = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        next_offset_bytes
    }

    /// Takes a whole snapshot; entries after it stay if they go on from it.
    fn restore(&mut self, snapshot: Snapshot) {
        self.durability.add_snapshot(&snapshot);
        let first_uncommitted = self.commit_index + 1;
        self.commit_index = snapshot.index;
        self.out.push(Output::Restore(snapshot.clone()));
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            return self.log.compact(Arc::new(snapshot));
        }
        self.durability.void_from(first_uncommitted);
        if self.log.last_index() > index {
            self.durability.truncate_from(index + 1);
        }
        self.log.reset(Arc::new(snapshot));
    }

    fn received_message(
        &self,
        index: u64,
        next_offset_bytes: u64,
        done: bool,
        round: u64,
    ) -> Message {
        Message::SnapshotReceived {
            term: self.hard_state.term,
            index,
            next_offset_bytes,
            done,
            round,
        }
    }
}
