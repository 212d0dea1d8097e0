//! Reads of a follower, which asks the leader for the index that they must see.

use super::Raft;
use crate::{
    api::{Output, ProposeError},
    message::{Message, ReplicaId},
};
use std::collections::BTreeMap;

/// The most reads that wait for the leader at once.
const FORWARDED_MAX: usize = 1_024;

#[derive(Debug)]
struct Forward {
    request: u64,
    leader: ReplicaId,
    term: u64,
    deadline_us: u64,
}

/// Reads that wait for the leader, by serial.
#[derive(Debug, Default)]
pub(super) struct Forwarded {
    reads: BTreeMap<u64, Forward>,
}

impl Raft {
    /// Asks the leader; its answer is waited for no longer than a silent leader is followed.
    pub(super) fn forward_read(&mut self, request: u64, leader: &ReplicaId) {
        if self.forwarded.reads.len() >= FORWARDED_MAX {
            return self.reject(request, ProposeError::Busy);
        }
        let term = self.hard_state.term;
        let serial = self.random.next();
        let forward = Forward {
            request,
            leader: leader.clone(),
            term,
            deadline_us: self.now_us + self.config.election_us,
        };
        self.forwarded.reads.insert(serial, forward);
        self.send(leader, Message::ReadIndex { term, serial });
    }

    /// The leader's answer; one to an earlier run has no read of its serial here.
    pub(super) fn read_indexed(&mut self, serial: u64, index: u64) {
        if let Some(Forward { request, .. }) = self.forwarded.reads.remove(&serial) {
            self.out.push(Output::ReadReady { request, index });
        }
    }

    /// Rejects the reads whose leader is gone or silent.
    pub(super) fn give_up_forwarded(&mut self) {
        let (now_us, term) = (self.now_us, self.hard_state.term);
        let leader = self.leader.as_ref();
        let given_up: Vec<Forward> = self
            .forwarded
            .reads
            .extract_if(.., |_, read| {
                read.term != term || Some(&read.leader) != leader || read.deadline_us <= now_us
            })
            .map(|(_, read)| read)
            .collect();
        for read in given_up {
            let error = ProposeError::NotLeader {
                leader: self.leader.clone(),
            };
            self.reject(read.request, error);
        }
    }
}
