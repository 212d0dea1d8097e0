//! Snapshots taken by this replica, and snapshots that it receives from the leader.

use super::{Raft, State};
use crate::{
    api::Output,
    message::{Message, ReplicaId, Snapshot},
};
use std::sync::Arc;

/// The chunks received so far of a snapshot from the leader.
///
/// Chunks of different terms are not combined: the snapshots of two leaders at the same index may
/// differ in their encoding.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    leader_term: u64,
    index: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    fn continues(&self, leader_term: u64, index: u64) -> bool {
        self.leader_term == leader_term && self.index == index
    }
}

impl Raft {
    /// Replaces the log up to `index` by a snapshot of this replica's own state machine.
    pub(super) fn handle_snapshot_taken(&mut self, index: u64, data: Vec<u8>) {
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

    /// Handles a chunk of the leader's snapshot; the last chunk installs it.
    pub(super) fn handle_install_snapshot(&mut self, from: &ReplicaId, message: Message) {
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
        self.record_leader_contact(from);
        if index <= self.commit_index {
            self.incoming_snapshot = None;
            let answer = self.received_message(index, offset_bytes, true, round);
            return self.send_durably(from, answer);
        }
        let next_offset_bytes = self.add_chunk(index, offset_bytes, &data);
        let is_last = done && next_offset_bytes == offset_bytes + data.len() as u64;
        if !is_last {
            let answer = self.received_message(index, next_offset_bytes, false, round);
            return self.send(from, answer);
        }
        let complete_data = self
            .incoming_snapshot
            .take()
            .map_or_else(Vec::new, |i| i.data);
        debug_assert_eq!(term, self.hard_state.term);
        self.restore(Snapshot {
            index,
            term: snapshot_term,
            membership,
            data: complete_data,
        });
        let answer = self.received_message(index, next_offset_bytes, true, round);
        self.send_durably(from, answer);
    }

    /// Adds a chunk if it starts where the previous one ended; returns the offset at which the next
    /// chunk should start.
    fn add_chunk(&mut self, index: u64, offset_bytes: u64, data: &[u8]) -> u64 {
        let leader_term = self.hard_state.term;
        let incoming = self.incoming_snapshot.take();
        let mut incoming = incoming
            .filter(|incoming| incoming.continues(leader_term, index))
            .unwrap_or(IncomingSnapshot {
                leader_term,
                index,
                data: Vec::new(),
            });
        if offset_bytes == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        let next_offset_bytes = incoming.data.len() as u64;
        self.incoming_snapshot = Some(incoming);
        next_offset_bytes
    }

    /// Installs a complete snapshot. Entries after it stay only if the log has the snapshot's last
    /// entry with the same term.
    fn restore(&mut self, snapshot: Snapshot) {
        self.durability.add_snapshot(&snapshot);
        let first_uncommitted = self.commit_index + 1;
        self.commit_index = snapshot.index;
        self.pending_outputs.push(Output::Restore(snapshot.clone()));
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            return self.log.compact(Arc::new(snapshot));
        }
        self.durability.invalidate_from(first_uncommitted);
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
