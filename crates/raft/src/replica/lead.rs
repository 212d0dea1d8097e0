//! The leader: proposals, log replication, heartbeats, the commit index and the check that a
//! majority still answers.

use super::{Raft, State, reads::PendingReads};
use crate::{
    api::{Output, ProposeError},
    log::{Log, size_bytes},
    message::{Entry, Message, Payload, ReplicaId},
    progress::{Mode, Probe, Progress},
};
use std::collections::BTreeMap;

/// The size of uncommitted entries above which new proposals are rejected, in bytes.
const UNCOMMITTED_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Entries are sent to a peer while less than this many appends of the largest size are in flight.
const IN_FLIGHT_MAX_FULL_APPENDS: usize = 4;

/// The state that a replica has only while it leads.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) peers: BTreeMap<ReplicaId, Progress>,
    pub(super) reads: PendingReads,
    /// For replicas admitted with `replaces`, the voter that each of them replaces.
    pub(super) replacements: BTreeMap<ReplicaId, ReplicaId>,
    /// The current round for confirming reads; starts at 0 in each term.
    pub(super) round: u64,
    heartbeat_at_us: u64,
    /// The index of the empty entry that this leader appended when its term began.
    noop_index: u64,
    uncommitted_bytes: usize,
}

impl Leader {
    pub(super) fn into_reads(self) -> PendingReads {
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

/// The fields of an append that are the same for every peer.
#[derive(Clone, Copy)]
struct AppendHeader {
    term: u64,
    commit: u64,
    round: u64,
}

impl AppendHeader {
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
            reads: PendingReads::default(),
            replacements: BTreeMap::new(),
            round: 0,
            heartbeat_at_us: self.now_us + self.config.heartbeat_interval_us,
            noop_index: self.log.last_index() + 1,
            uncommitted_bytes: 0,
        }));
        self.update_peers();
        self.propose_payload(Payload::Noop);
    }

    /// Adds and removes progress records so that there is one for each other member.
    pub(super) fn update_peers(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let membership = self.log.membership();
        let next_index = self.log.last_index() + 1;
        let alive_until_us = self.now_us + self.config.election_timeout_min_us;
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
        if let Some(error) = self.non_leader_error() {
            return self.reject(request, error);
        }
        if self.is_busy() {
            return self.reject(request, ProposeError::Busy);
        }
        let index = self.propose_payload(Payload::Command(data));
        self.answer_proposed(request, index);
    }

    pub(super) fn answer_proposed(&mut self, request: u64, index: u64) {
        self.pending_outputs.push(Output::Proposed {
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

    /// Appends an entry of this term and sends it to the peers; returns its index.
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

    fn append_header(&self, round: u64) -> AppendHeader {
        AppendHeader {
            term: self.hard_state.term,
            commit: self.commit_index,
            round,
        }
    }

    /// Sends a peer the entries that it lacks, as far as its mode and the limits on entries in
    /// flight allow.
    pub(super) fn replicate(&mut self, to: &ReplicaId) {
        while let Some(message) = self.next_append(to) {
            self.send(to, message);
        }
    }

    fn next_append(&mut self, to: &ReplicaId) -> Option<Message> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let header = self.append_header(leader.round);
        let in_flight_max_bytes = self.config.append_max_bytes * IN_FLIGHT_MAX_FULL_APPENDS;
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.peers.get_mut(to)?;
        let next_index = progress.next_index;
        let can_send = progress.can_send(in_flight_max_bytes);
        match &mut progress.mode {
            Mode::Snapshot(_) | Mode::Probe(Some(_)) => return None,
            Mode::Replicate if next_index > self.log.last_index() || !can_send => return None,
            _ if next_index <= self.log.base_index() => {
                self.start_transfer(to);
                return None;
            }
            Mode::Replicate => {}
            Mode::Probe(in_flight) => {
                *in_flight = Some(Probe {
                    from_index: next_index,
                    ignore_rejections_until_us: self.now_us + 2 * self.config.heartbeat_interval_us,
                });
            }
        }
        let entries = self
            .log
            .entries_from(next_index, self.config.append_max_bytes);
        if let Some(last) = entries.last() {
            progress.record_sent(last.index, entries.iter().map(size_bytes).sum());
        }
        Some(header.message(&self.log, next_index - 1, entries))
    }

    /// Sends every peer an append without entries. Its `prev_index` is the index before the
    /// next entry to send, so that a peer that lacks an entry sent earlier rejects the heartbeat.
    pub(super) fn send_heartbeats(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.heartbeat_at_us = self.now_us + self.config.heartbeat_interval_us;
        let header = AppendHeader {
            term: self.hard_state.term,
            commit: self.commit_index,
            round: leader.round,
        };
        for (id, progress) in &leader.peers {
            let prev_index = (progress.next_index - 1).max(self.log.base_index());
            self.pending_outputs.push(Output::Send {
                to: id.clone(),
                message: header.message(&self.log, prev_index, Vec::new()),
            });
        }
    }

    pub(super) fn run_leader_timers(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        if self.now_us >= leader.heartbeat_at_us {
            self.send_heartbeats();
            self.advance_membership_change();
        }
        self.resend_due_chunks();
    }

    /// Handles a peer's answer to an append.
    pub(super) fn handle_appended(&mut self, from: &ReplicaId, message: &Message) {
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
        let Some(progress) = self.record_response(from, round) else {
            return;
        };
        if success {
            progress.acknowledge(match_index);
        } else {
            progress.handle_rejection(match_index, now_us);
        }
        self.advance_commit();
        self.advance_reads();
        self.replicate(from);
        self.advance_membership_change();
    }

    /// Records that a peer answered in this term, and the round that it answered; returns its
    /// progress, or `None` if this replica doesn't lead or `from` is no member.
    pub(super) fn record_response(
        &mut self,
        from: &ReplicaId,
        round: u64,
    ) -> Option<&mut Progress> {
        let State::Leader(leader) = &mut self.state else {
            return None;
        };
        let progress = leader.peers.get_mut(from)?;
        progress.alive_until_us = self.now_us + self.config.election_timeout_min_us;
        progress.acked_round = progress.acked_round.max(round);
        Some(progress)
    }

    /// The highest value that a majority of the voters has reached, with `own` for this replica; 0
    /// if it doesn't lead.
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

    /// Commits the entries that a majority has synced, if the last of them is of this term. Entries
    /// of earlier terms are only committed together with one of this term.
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
        self.step_down_if_removed();
        self.advance_reads();
    }

    /// Whether an entry of this term is committed. Until then, the commit index may be below that
    /// of an earlier leader.
    pub(super) fn has_committed_in_term(&self) -> bool {
        match &self.state {
            State::Leader(leader) => self.commit_index >= leader.noop_index,
            _ => false,
        }
    }

    /// Steps down when no majority has answered within one election timeout.
    pub(super) fn check_quorum(&mut self) {
        let alive_until_us = self.majority_value(u64::MAX, |progress| progress.alive_until_us);
        if alive_until_us < self.now_us {
            self.become_follower(self.hard_state.term);
        }
    }
}
