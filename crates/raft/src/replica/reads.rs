//! Linearizable reads on the leader. Before it answers, the leader confirms with a round of
//! heartbeats, which a majority must answer, that it still leads.

use super::{Raft, State};
use crate::{
    api::{Output, ProposeError},
    message::{Message, ReplicaId},
};

/// Where a read came from.
#[derive(Debug)]
enum ReadOrigin {
    /// This replica's shell.
    Local { request: u64 },
    /// A follower that forwarded its read; `serial` identifies the request in the answer.
    Follower { id: ReplicaId, serial: u64 },
}

/// Reads that wait until a majority has confirmed the leader.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    /// Reads that came after the current round began; they wait for the next round.
    queued: Vec<ReadOrigin>,
    /// Reads that are answered once a majority has answered the current round.
    in_round: Vec<ReadOrigin>,
    /// The commit index when the current round began.
    commit_index: u64,
}

impl Raft {
    pub(super) fn read(&mut self, request: u64) {
        match self.non_leader_error() {
            None => self.add_read(ReadOrigin::Local { request }),
            Some(ProposeError::NotLeader {
                leader: Some(leader),
            }) => self.forward_read(request, &leader),
            Some(error) => self.reject(request, error),
        }
    }

    /// Handles a follower's request for a read index; only a leader answers it.
    pub(super) fn handle_read_index(&mut self, from: &ReplicaId, serial: u64) {
        self.add_read(ReadOrigin::Follower {
            id: from.clone(),
            serial,
        });
    }

    fn add_read(&mut self, origin: ReadOrigin) {
        if let State::Leader(leader) = &mut self.state {
            leader.reads.queued.push(origin);
        }
        self.advance_reads();
    }

    /// Answers the reads of the current round once a majority has answered it, and begins the next
    /// round if reads wait for one.
    pub(super) fn advance_reads(&mut self) {
        self.answer_reads();
        if self.begin_round() {
            self.answer_reads();
        }
    }

    fn answer_reads(&mut self) {
        let acked_round = self.majority_value(u64::MAX, |progress| progress.acked_round);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if acked_round < leader.round {
            return;
        }
        let index = leader.reads.commit_index;
        let ready = std::mem::take(&mut leader.reads.in_round);
        let term = self.hard_state.term;
        let answers = ready.into_iter().map(|origin| match origin {
            ReadOrigin::Local { request } => Output::ReadReady { request, index },
            ReadOrigin::Follower { id, serial } => Output::Send {
                to: id,
                message: Message::ReadIndexed {
                    term,
                    serial,
                    index,
                },
            },
        });
        self.pending_outputs.extend(answers);
    }

    fn begin_round(&mut self) -> bool {
        let is_current = self.has_committed_in_term();
        let State::Leader(leader) = &mut self.state else {
            return false;
        };
        let reads = &mut leader.reads;
        if !is_current || reads.queued.is_empty() || !reads.in_round.is_empty() {
            return false;
        }
        reads.in_round = std::mem::take(&mut reads.queued);
        reads.commit_index = self.commit_index;
        leader.round += 1;
        self.send_heartbeats();
        true
    }

    /// Rejects this replica's own reads after it stopped leading; those of followers expire there.
    pub(super) fn reject_reads(&mut self, reads: PendingReads) {
        let error = self
            .non_leader_error()
            .unwrap_or(ProposeError::NotLeader { leader: None });
        for origin in reads.in_round.into_iter().chain(reads.queued) {
            if let ReadOrigin::Local { request } = origin {
                self.reject(request, error.clone());
            }
        }
    }
}
