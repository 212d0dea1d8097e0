//! Reads that see every command accepted before them, by a round that a majority answers.

use super::{Raft, State};
use crate::{
    api::{Output, ProposeError},
    message::{Message, ReplicaId},
};

/// Who asked for a read.
#[derive(Debug)]
enum Asker {
    /// This replica's shell.
    Shell { request: u64 },
    /// A follower.
    Follower { id: ReplicaId, serial: u64 },
}

/// Reads that wait for a majority.
#[derive(Debug, Default)]
pub(super) struct Reads {
    /// Came after the round under way began.
    next: Vec<Asker>,
    /// Answered once the round under way is.
    current: Vec<Asker>,
    /// The commit index when the round under way began.
    index: u64,
}

impl Raft {
    pub(super) fn read(&mut self, request: u64) {
        match self.refusal() {
            None => self.add_read(Asker::Shell { request }),
            Some(ProposeError::NotLeader {
                leader: Some(leader),
            }) => self.forward_read(request, &leader),
            Some(error) => self.reject(request, error),
        }
    }

    /// Takes a follower's read; without the lead it stays unanswered.
    pub(super) fn read_for(&mut self, from: &ReplicaId, serial: u64) {
        self.add_read(Asker::Follower {
            id: from.clone(),
            serial,
        });
    }

    fn add_read(&mut self, asker: Asker) {
        if let State::Leader(leader) = &mut self.state {
            leader.reads.next.push(asker);
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
        let term = self.hard_state.term;
        let answers = ready.into_iter().map(|asker| match asker {
            Asker::Shell { request } => Output::ReadReady { request, index },
            Asker::Follower { id, serial } => Output::Send {
                to: id,
                message: Message::ReadIndexed {
                    term,
                    serial,
                    index,
                },
            },
        });
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
        for asker in reads.current.into_iter().chain(reads.next) {
            if let Asker::Shell { request } = asker {
                self.reject(request, error.clone());
            }
        }
    }
}
