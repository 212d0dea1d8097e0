//! The leader: proposals, replication, heartbeats, commitment and the check of its quorum.

use super::{Raft, State, reads::Reads};
use crate::{
    api::{Output, ProposeError},
    log::{Log, size_bytes},
    message::{Entry, Message, Payload, ReplicaId},
    progress::{Mode, Probe, Progress},
};
use std::collections::BTreeMap;

/// The largest sum of entries that wait for a majority, in bytes.
const UNCOMMITTED_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The largest sum of entries under way to one peer, in messages of the largest size.
const IN_FLIGHT_FULL_MESSAGES: usize = 4;

/// What a replica knows while it leads.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) peers: BTreeMap<ReplicaId, Progress>,
    pub(super) reads: Reads,
    pub(super) replacements: BTreeMap<ReplicaId, ReplicaId>,
    pub(super) round: u64,
    heartbeat_at_us: u64,
    first_index: u64,
    uncommitted_bytes: usize,
}

impl Leader {
    pub(super) fn into_reads(self) -> Reads {
        self.reads
    }

    pub(super) fn next_deadline_us(&self) -> u64 {
        let resends = self.peers.values().filter_map(|peer| match &peer.mode {
            Mode::Snapshot(transfer) => Some(transfer.resend_at_us),
            Mode::Probe(_) | Mode::Replicate => None,
        });
        resends
            .chain([self.heartbeat_at_us])
            .min()
            .unwrap_or(self.heartbeat_at_us)
    }
}

/// The parts of an append that are the same for every peer.
#[derive(Clone, Copy)]
struct AppendHead {
    term: u64,
    commit: u64,
    round: u64,
}

impl AppendHead {
    fn message(self, log: &Log, prev_index: u64, entries: Vec<Entry>) -> Message {
        Message::Append {
            term: self.term,
            prev_index,
            prev_term: log.term_at(prev_index).unwrap_or(0),
            commit: self.commit,
            round: self.round,
            entries,
        }
    }
}

impl Raft {
    pub(super) fn become_leader(&mut self) {
        self.leader = Some(self.config.id.clone());
        self.state = State::Leader(Box::new(Leader {
            peers: BTreeMap::new(),
            reads: Reads::default(),
            replacements: BTreeMap::new(),
            round: 0,
            heartbeat_at_us: self.now_us + self.config.heartbeat_us,
            first_index: self.log.last_index() + 1,
            uncommitted_bytes: 0,
        }));
        self.match_peers();
        self.propose_payload(Payload::Noop);
    }

    /// Keeps progress for exactly the other members.
    pub(super) fn match_peers(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let membership = self.log.membership();
        let next_index = self.log.last_index() + 1;
        let alive_until_us = self.now_us + self.config.election_us;
        let members = || membership.voters.iter().chain(&membership.learners);
        leader.peers.retain(|id, _| members().any(|m| m == id));
        for id in members().filter(|id| **id != self.config.id) {
            leader
                .peers
                .entry(id.clone())
                .or_insert_with(|| Progress::new(next_index, alive_until_us));
        }
    }

    pub(super) fn propose(&mut self, request: u64, data: Vec<u8>) {
        if let Some(error) = self.refusal() {
            return self.reject(request, error);
        }
        if self.is_busy() {
            return self.reject(request, ProposeError::Busy);
        }
        let index = self.propose_payload(Payload::Command(data));
        self.answer_proposed(request, index);
    }

    pub(super) fn answer_proposed(&mut self, request: u64, index: u64) {
        self.out.push(Output::Proposed {
            request,
            index,
            term: self.log.term_at(index).unwrap_or(self.hard_state.term),
        });
    }

    fn is_busy(&self) -> bool {
        match &self.state {
            State::Leader(leader) => leader.uncommitted_bytes > UNCOMMITTED_MAX_BYTES,
            _ => false,
        }
    }

    /// Adds an entry of this term and sends it to the peers; returns its index.
    pub(super) fn propose_payload(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            index,
            term: self.hard_state.term,
            payload,
        };
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += size_bytes(&entry);
        }
        self.durability.add_entry(&entry);
        self.log.append(entry);
        for peer in self.peer_ids() {
            self.replicate(&peer);
        }
        index
    }

    fn peer_ids(&self) -> Vec<ReplicaId> {
        match &self.state {
            State::Leader(leader) => leader.peers.keys().cloned().collect(),
            _ => Vec::new(),
        }
    }

    fn append_head(&self, round: u64) -> AppendHead {
        AppendHead {
            term: self.hard_state.term,
            commit: self.commit_index,
            round,
        }
    }

    /// Sends a peer what it lacks, as far as its mode and the entries under way allow.
    pub(super) fn replicate(&mut self, to: &ReplicaId) {
        while let Some(message) = self.next_append(to) {
            self.send(to, message);
        }
    }

    fn next_append(&mut self, to: &ReplicaId) -> Option<Message> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let head = self.append_head(leader.round);
        let in_flight_max_bytes = self.config.append_max_bytes * IN_FLIGHT_FULL_MESSAGES;
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.peers.get_mut(to)?;
        let next_index = progress.next_index;
        let has_room = progress.has_room(in_flight_max_bytes);
        match &mut progress.mode {
            Mode::Snapshot(_) | Mode::Probe(Some(_)) => return None,
            Mode::Replicate if next_index > self.log.last_index() || !has_room => return None,
            _ if next_index <= self.log.base_index() => {
                self.start_transfer(to);
                return None;
            }
            Mode::Replicate => {}
            Mode::Probe(under_way) => {
                *under_way = Some(Probe {
                    from_index: next_index,
                    settled_at_us: self.now_us + 2 * self.config.heartbeat_us,
                });
            }
        }
        let entries = self
            .log
            .entries_from(next_index, self.config.append_max_bytes);
        if let Some(last) = entries.last() {
            progress.note_sent(last.index, entries.iter().map(size_bytes).sum());
        }
        Some(head.message(&self.log, next_index - 1, entries))
    }

    /// Sends every peer an empty append. It ends where the next entry would go on, so that a peer
    /// that missed one says so.
    pub(super) fn send_heartbeats(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.heartbeat_at_us = self.now_us + self.config.heartbeat_us;
        let head = AppendHead {
            term: self.hard_state.term,
            commit: self.commit_index,
            round: leader.round,
        };
        for (id, progress) in &leader.peers {
            let prev_index = (progress.next_index - 1).max(self.log.base_index());
            self.out.push(Output::Send {
                to: id.clone(),
                message: head.message(&self.log, prev_index, Vec::new()),
            });
        }
    }

    pub(super) fn act_as_leader(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        if self.now_us >= leader.heartbeat_at_us {
            self.send_heartbeats();
            self.change_members();
        }
        self.resend_parts();
    }

    /// Takes a follower's answer.
    pub(super) fn appended(&mut self, from: &ReplicaId, message: &Message) {
        let &Message::Appended {
            success,
            match_index,
            round,
            ..
        } = message
        else {
            return;
        };
        let now_us = self.now_us;
        let Some(progress) = self.heard_peer(from, round) else {
            return;
        };
        if success {
            progress.acknowledge(match_index);
        } else {
            progress.go_back(match_index, now_us);
        }
        self.advance_commit();
        self.advance_reads();
        self.replicate(from);
        self.change_members();
    }

    /// Notes that a peer answered a round of this term.
    pub(super) fn heard_peer(&mut self, from: &ReplicaId, round: u64) -> Option<&mut Progress> {
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.peers.get_mut(from)?;
        progress.alive_until_us = self.now_us + self.config.election_us;
        progress.heard_round = progress.heard_round.max(round);
        Some(progress)
    }

    /// The highest value that a majority of the voters has reached.
    pub(super) fn majority_value(&self, own: u64, value: impl Fn(&Progress) -> u64) -> u64 {
        let State::Leader(leader) = &self.state else {
            return 0;
        };
        let voters = &self.log.membership().voters;
        let of_voter = |id: &ReplicaId| match leader.peers.get(id) {
            Some(progress) => value(progress),
            None => own,
        };
        let mut values: Vec<u64> = voters.iter().map(of_voter).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    /// Commits what a majority has synced, if it is of this term.
    pub(super) fn advance_commit(&mut self) {
        if !matches!(self.state, State::Leader(_)) {
            return;
        }
        let own_index = self.durability.durable_index();
        let index = self.majority_value(own_index, |progress| progress.match_index);
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        let committed_bytes: usize = (self.commit_index + 1..=index)
            .filter_map(|i| self.log.entry(i))
            .map(size_bytes)
            .sum();
        self.commit_to(index);
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(committed_bytes);
        }
        self.leave_if_removed();
        self.advance_reads();
    }

    /// Whether an entry of this term is committed, which makes the commit index current.
    pub(super) fn has_committed_in_term(&self) -> bool {
        match &self.state {
            State::Leader(leader) => self.commit_index >= leader.first_index,
            _ => false,
        }
    }

    /// Steps down when no majority was heard for the length of an election timeout.
    pub(super) fn check_quorum(&mut self) {
        let alive_until_us = self.majority_value(u64::MAX, |progress| progress.alive_until_us);
        if alive_until_us < self.now_us {
            self.follow(self.hard_state.term);
        }
    }
}
