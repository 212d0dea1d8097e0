//! Linearizable reads on a follower, which asks the leader for the index that it must have applied
//! before it answers.

use super::Raft;
use crate::{
    api::{Output, ProposeError},
    message::{Message, ReplicaId},
};
use std::collections::BTreeMap;

/// The most reads that may wait for the leader's answer at once; further ones are rejected.
const FORWARDED_READS_MAX: usize = 1_024;

/// A read that waits for the leader's answer.
#[derive(Debug)]
struct ForwardedRead {
    request: u64,
    leader: ReplicaId,
    term: u64,
    deadline_us: u64,
}

/// The reads that wait for the leader's answer, by the serial of their message.
#[derive(Debug, Default)]
pub(super) struct ForwardedReads {
    reads: BTreeMap<u64, ForwardedRead>,
}

impl Raft {
    /// Asks the leader for the read's index. The read is rejected after one election timeout
    /// without an answer.
    pub(super) fn forward_read(&mut self, request: u64, leader: &ReplicaId) {
        if self.forwarded_reads.reads.len() >= FORWARDED_READS_MAX {
            return self.reject(request, ProposeError::Busy);
        }
        let term = self.hard_state.term;
        let serial = self.random.next();
        let forward = ForwardedRead {
            request,
            leader: leader.clone(),
            term,
            deadline_us: self.now_us + self.config.election_timeout_min_us,
        };
        self.forwarded_reads.reads.insert(serial, forward);
        self.send(leader, Message::ReadIndex { term, serial });
    }

    /// Handles the leader's answer. An answer to an earlier run of this replica is ignored, because
    /// no read has its serial.
    pub(super) fn handle_read_indexed(&mut self, serial: u64, index: u64) {
        if let Some(ForwardedRead { request, .. }) = self.forwarded_reads.reads.remove(&serial) {
            self.pending_outputs
                .push(Output::ReadReady { request, index });
        }
    }

    /// Rejects the reads whose term or leader has changed or whose deadline has passed.
    pub(super) fn expire_forwarded_reads(&mut self) {
        let (now_us, term) = (self.now_us, self.hard_state.term);
        let leader = self.leader.as_ref();
        let expired: Vec<ForwardedRead> = self
            .forwarded_reads
            .reads
            .extract_if(.., |_, read| {
                read.term != term || Some(&read.leader) != leader || read.deadline_us <= now_us
            })
            .map(|(_, read)| read)
            .collect();
        for read in expired {
            let error = ProposeError::NotLeader {
                leader: self.leader.clone(),
            };
            self.reject(read.request, error);
        }
    }
}
