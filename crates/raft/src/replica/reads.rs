//! Reads that see every command accepted before them, by a round that a majority answers.

use super::{Raft, State};
use crate::api::{Output, ProposeError};

/// Reads that wait for a majority.
#[derive(Debug, Default)]
pub(super) struct Reads {
    /// Came after the round under way began.
    next: Vec<u64>,
    /// Answered once the round under way is.
    current: Vec<u64>,
    /// The commit index when the round under way began.
    index: u64,
}

impl Raft {
    pub(super) fn read(&mut self, request: u64) {
        if let Some(error) = self.refusal() {
            return self.reject(request, error);
        }
        if let State::Leader(leader) = &mut self.state {
            leader.reads.next.push(request);
        }
        self.advance_reads();
    }

    /// Answers the reads of a round that a majority answered, and begins the next round.
    pub(super) fn advance_reads(&mut self) {
        self.answer_reads();
        if self.begin_round() {
            self.answer_reads();
        }
    }

    fn answer_reads(&mut self) {
        let heard_round = self.majority_value(u64::MAX, |progress| progress.heard_round);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        if heard_round < leader.round {
            return;
        }
        let index = leader.reads.index;
        let ready = std::mem::take(&mut leader.reads.current);
        let answers = ready
            .into_iter()
            .map(|request| Output::ReadReady { request, index });
        self.out.extend(answers);
    }

    fn begin_round(&mut self) -> bool {
        let is_current = self.has_committed_in_term();
        let State::Leader(leader) = &mut self.state else {
            return false;
        };
        let reads = &mut leader.reads;
        if !is_current || reads.next.is_empty() || !reads.current.is_empty() {
            return false;
        }
        reads.current = std::mem::take(&mut reads.next);
        reads.index = self.commit_index;
        leader.round += 1;
        self.send_heartbeats();
        true
    }

    /// Rejects the reads of a replica that no longer leads.
    pub(super) fn reject_reads(&mut self, reads: Reads) {
        let error = self
            .refusal()
            .unwrap_or(ProposeError::NotLeader { leader: None });
        for request in reads.current.into_iter().chain(reads.next) {
            self.reject(request, error.clone());
        }
    }
}
