//! Sends the leader's snapshot to a peer, one chunk at a time, with back-off for unanswered
//! chunks.

use super::{Raft, State};
use crate::{
    message::{Message, ReplicaId},
    progress::{Mode, SnapshotTransfer},
};

impl Raft {
    /// Starts to send the latest snapshot to a peer that needs entries which the log has dropped.
    pub(super) fn start_transfer(&mut self, to: &ReplicaId) {
        let (State::Leader(leader), Some(snapshot)) = (&mut self.state, self.log.snapshot()) else {
            return;
        };
        if let Some(progress) = leader.peers.get_mut(to) {
            progress.start_transfer(snapshot.clone());
        }
        self.send_chunk(to);
    }

    fn send_chunk(&mut self, to: &ReplicaId) {
        let (now_us, wait_us) = (self.now_us, self.config.election_timeout_min_us);
        let chunk_bytes = self.config.snapshot_chunk_bytes;
        let term = self.hard_state.term;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let round = leader.round;
        let progress = leader.peers.get_mut(to);
        let Some(Mode::Snapshot(transfer)) = progress.map(|p| &mut p.mode) else {
            return;
        };
        transfer.record_sent(now_us, wait_us);
        let message = chunk_message(transfer, chunk_bytes, term, round);
        self.send(to, message);
    }

    /// Handles the answer to a chunk: sends the next chunk or, after the last, the entries that
    /// follow.
    pub(super) fn handle_snapshot_received(&mut self, from: &ReplicaId, message: &Message) {
        let &Message::SnapshotReceived {
            index,
            next_offset_bytes,
            done,
            round,
            ..
        } = message
        else {
            return;
        };
        let Some(progress) = self.record_response(from, round) else {
            return;
        };
        let Mode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        if transfer.snapshot.index != index {
            return;
        }
        if done {
            progress.acknowledge(index);
            self.advance_commit();
            self.replicate(from);
        } else if next_offset_bytes != transfer.offset_bytes {
            transfer.offset_bytes = next_offset_bytes;
            transfer.attempts = 0;
            self.send_chunk(from);
        }
        self.advance_reads();
    }

    /// Sends chunks again that were not answered in time. For an unreachable peer it only extends
    /// the wait.
    pub(super) fn resend_due_chunks(&mut self) {
        let now_us = self.now_us;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let mut due = Vec::new();
        for (id, progress) in &mut leader.peers {
            let is_alive = progress.is_alive(now_us);
            let Mode::Snapshot(transfer) = &mut progress.mode else {
                continue;
            };
            if transfer.resend_at_us > now_us {
                continue;
            }
            if is_alive {
                due.push(id.clone());
            } else {
                transfer.record_sent(now_us, self.config.election_timeout_min_us);
            }
        }
        for id in due {
            self.send_chunk(&id);
        }
    }
}

fn chunk_message(
    transfer: &SnapshotTransfer,
    chunk_bytes: usize,
    term: u64,
    round: u64,
) -> Message {
    let snapshot = &transfer.snapshot;
    let start = usize::try_from(transfer.offset_bytes)
        .unwrap_or(usize::MAX)
        .min(snapshot.data.len());
    let end = snapshot.data.len().min(start + chunk_bytes.max(1));
    Message::InstallSnapshot {
        term,
        index: snapshot.index,
        snapshot_term: snapshot.term,
        membership: snapshot.membership.clone(),
        offset_bytes: start as u64,
        data: snapshot.data[start..end].to_vec(),
        done: end == snapshot.data.len(),
        round,
    }
}
