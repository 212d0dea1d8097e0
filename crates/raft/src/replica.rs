//! A replica: its state, and the dispatch of each input and message to the code that handles it.

mod election;
mod follow;
mod forward;
mod install;
mod lead;
mod members;
mod reads;
mod transfer;

use self::{election::VoteTally, forward::ForwardedReads, install::IncomingSnapshot, lead::Leader};
use crate::{
    api::{Input, Output, ProposeError, RaftConfig, Restored, Role, Status},
    durability::{DeferredAction, Durability},
    log::Log,
    message::{HardState, Message, ReplicaId},
    random::Random,
};
use std::collections::BTreeSet;

/// The role of this replica with the data that only that role needs.
#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(Box<Leader>),
    Failed,
}

/// The parts of the status whose change is reported with [`Output::StatusChanged`].
#[derive(Debug, PartialEq, Eq)]
struct ReportedStatus {
    role: Role,
    term: u64,
    leader: Option<ReplicaId>,
    membership_index: u64,
}

/// A replica of the log, without input or output.
///
/// The first step returns [`Output::Restore`] if the data folder held a snapshot. The link must
/// only deliver messages that were addressed to this very identity, name and incarnation.
#[derive(Debug)]
pub struct Raft {
    config: RaftConfig,
    now_us: u64,
    hard_state: HardState,
    log: Log,
    commit_index: u64,
    /// The highest commit index that a leader has told this replica since its start.
    told_commit_index: u64,
    state: State,
    leader: Option<ReplicaId>,
    /// Until then this replica grants no vote: one election timeout after its start or after the
    /// latest message from a leader.
    no_vote_until_us: u64,
    election_at_us: u64,
    random: Random,
    durability: Durability,
    incoming_snapshot: Option<IncomingSnapshot>,
    forwarded_reads: ForwardedReads,
    reported: Option<ReportedStatus>,
    pending_outputs: Vec<Output>,
}

impl Raft {
    /// Creates a follower or learner from the persisted state.
    #[must_use]
    pub fn new(config: RaftConfig, restored: Restored, now_us: u64) -> Self {
        let mut log = Log::new(
            restored.snapshot,
            restored.initial_membership.unwrap_or_default(),
        );
        for entry in restored.entries {
            if entry.index == log.last_index() + 1 {
                log.append(entry);
            }
        }
        let restore = log.snapshot().map(|s| Output::Restore(s.as_ref().clone()));
        let mut raft = Self {
            random: Random::new(config.seed),
            now_us,
            hard_state: restored.hard_state,
            commit_index: log.snapshot_index(),
            told_commit_index: 0,
            durability: Durability::new(log.last_index()),
            log,
            state: State::Follower,
            leader: None,
            no_vote_until_us: now_us + config.election_timeout_min_us,
            config,
            election_at_us: 0,
            incoming_snapshot: None,
            forwarded_reads: ForwardedReads::default(),
            reported: None,
            pending_outputs: restore.into_iter().collect(),
        };
        raft.reset_election_timer();
        raft
    }

    /// Handles an input, runs the timers due at `now_us`, and appends the resulting actions to
    /// `outputs`. A `now_us` below that of an earlier step counts as that earlier time.
    pub fn step(&mut self, now_us: u64, input: Input, outputs: &mut Vec<Output>) {
        self.advance_clock(now_us);
        match input {
            Input::Tick => {}
            Input::Receive { from, message } => self.handle_message(&from, message),
            Input::Propose { request, data } => self.propose(request, data),
            Input::Read { request } => self.read(request),
            Input::Admit {
                request,
                id,
                replaces,
            } => self.admit(request, id, replaces),
            Input::Remove { request, id } => self.remove(request, &id),
            Input::Persisted { ticket } => self.handle_persisted(ticket),
            Input::SnapshotTaken { index, data } => self.handle_snapshot_taken(index, data),
            Input::StorageFailed => self.handle_storage_failed(),
        }
        self.run_timers();
        self.finish_step(outputs);
    }

    /// The current role, term, leader, indices and membership of this replica.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            id: self.config.id.clone(),
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
            last_index: self.log.last_index(),
            commit_index: self.commit_index,
            membership: self.log.membership().clone(),
            membership_index: self.log.membership_index(),
        }
    }

    /// Whether this replica knows a leader that has committed an entry in its term, and has committed
    /// all that a leader has told it was. A replica that has just started is not current: it doesn't
    /// know which entries after its snapshot are committed.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.leader.is_some()
            && self.log.term_at(self.commit_index) == Some(self.hard_state.term)
            && self.commit_index >= self.told_commit_index
    }

    /// The term of the entry at `index`; `None` when the entry was dropped or doesn't exist yet.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// The index of the last entry in the log, committed or not.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// The index of the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// On the leader, the other voters that have not answered for at least `silence_us`, the one
    /// that is silent for longest first; empty on any other replica.
    #[must_use]
    pub fn silent_voters(&self, silence_us: u64) -> Vec<ReplicaId> {
        self.silent(&self.log.membership().voters, silence_us)
    }

    /// As [`Self::silent_voters`], of the learners.
    #[must_use]
    pub fn silent_learners(&self, silence_us: u64) -> Vec<ReplicaId> {
        self.silent(&self.log.membership().learners, silence_us)
    }

    fn silent(&self, members: &BTreeSet<ReplicaId>, silence_us: u64) -> Vec<ReplicaId> {
        let State::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let election_timeout_min_us = self.config.election_timeout_min_us;
        let last_heard = members.iter().filter_map(|id| {
            let progress = leader.peers.get(id)?;
            Some((progress.last_heard_us(election_timeout_min_us), id))
        });
        let mut silent: Vec<_> = last_heard
            .filter(|(heard_us, _)| heard_us + silence_us <= self.now_us)
            .collect();
        silent.sort_unstable();
        silent.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// When the next timer is due, at which the shell must pass [`Input::Tick`]; `None` after a
    /// storage failure.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<u64> {
        match &self.state {
            State::Leader(leader) => Some(leader.next_deadline_us()),
            State::Failed => None,
            State::Follower | State::PreCandidate(_) | State::Candidate(_) => {
                Some(self.election_at_us)
            }
        }
    }

    fn role(&self) -> Role {
        match &self.state {
            State::Follower if !self.is_voter() => Role::Learner,
            State::Follower => Role::Follower,
            State::PreCandidate(_) | State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
            State::Failed => Role::Failed,
        }
    }

    fn is_voter(&self) -> bool {
        self.log.membership().voters.contains(&self.config.id)
    }

    /// Advances the clock. After a pause of the process, a leader whose quorum has expired steps
    /// down before it handles the input, and an election that is overdue by more than the minimum
    /// timeout is postponed.
    fn advance_clock(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
        match &self.state {
            State::Leader(_) => self.check_quorum(),
            State::Failed => {}
            State::Follower | State::PreCandidate(_) | State::Candidate(_) => {
                if self.now_us > self.election_at_us + self.config.election_timeout_min_us {
                    self.reset_election_timer();
                }
            }
        }
    }

    fn run_timers(&mut self) {
        match &self.state {
            State::Leader(_) => self.run_leader_timers(),
            State::Failed => {}
            State::Follower | State::PreCandidate(_) | State::Candidate(_) => {
                self.run_election_timer();
            }
        }
    }

    fn handle_message(&mut self, from: &ReplicaId, message: Message) {
        if matches!(self.state, State::Failed) || *from == self.config.id {
            return;
        }
        match &message {
            Message::RequestVote { .. } => return self.handle_request_vote(from, &message),
            Message::Vote {
                pre: true,
                granted: true,
                term,
            } => return self.count_pre_vote(from, *term),
            _ => {}
        }
        let term = message.term();
        if term < self.hard_state.term {
            return self.reject_stale(from, &message);
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        match message {
            Message::RequestVote { .. } => {}
            Message::Vote { pre, granted, .. } => self.handle_vote(from, pre, granted),
            Message::Append { .. } => self.handle_append(from, message),
            Message::Appended { .. } => self.handle_appended(from, &message),
            Message::InstallSnapshot { .. } => self.handle_install_snapshot(from, message),
            Message::ReadIndex { serial, .. } => self.handle_read_index(from, serial),
            Message::ReadIndexed { serial, index, .. } => self.handle_read_indexed(serial, index),
            Message::SnapshotReceived { .. } => self.handle_snapshot_received(from, &message),
        }
    }

    /// Becomes a follower without a known leader, in `term` if that is later than the current term.
    fn become_follower(&mut self, term: u64) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
            self.durability.add_hard_state(&self.hard_state);
        }
        let previous = std::mem::replace(&mut self.state, State::Follower);
        self.leader = None;
        if let State::Leader(leader) = previous {
            self.reset_election_timer();
            self.reject_reads(leader.into_reads());
        }
    }

    fn handle_persisted(&mut self, ticket: u64) {
        if matches!(self.state, State::Failed) {
            return;
        }
        self.durability.persisted(ticket);
        self.run_ready_actions();
        self.advance_commit();
    }

    fn run_ready_actions(&mut self) {
        while let Some(action) = self.durability.pop_ready() {
            match action {
                DeferredAction::Send { to, message } if message.term() == self.hard_state.term => {
                    self.send(&to, message);
                }
                DeferredAction::Send { .. } => {}
                DeferredAction::OwnVote { term } => self.count_own_vote(term),
            }
        }
    }

    fn handle_storage_failed(&mut self) {
        let previous = std::mem::replace(&mut self.state, State::Failed);
        self.leader = None;
        self.durability = Durability::new(0);
        if let State::Leader(leader) = previous {
            self.reject_reads(leader.into_reads());
        }
    }

    fn finish_step(&mut self, outputs: &mut Vec<Output>) {
        self.expire_forwarded_reads();
        self.run_ready_actions();
        if let Some(persist) = self.durability.take_pending(self.log.last_index()) {
            self.pending_outputs.push(Output::Persist(persist));
        }
        self.report_status_change();
        outputs.append(&mut self.pending_outputs);
    }

    fn report_status_change(&mut self) {
        let now = ReportedStatus {
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
            membership_index: self.log.membership_index(),
        };
        if self.reported.as_ref() != Some(&now) {
            self.reported = Some(now);
            self.pending_outputs
                .push(Output::StatusChanged(self.status()));
        }
    }

    fn send(&mut self, to: &ReplicaId, message: Message) {
        self.pending_outputs.push(Output::Send {
            to: to.clone(),
            message,
        });
    }

    /// Sends a message once everything written so far is synced, unless the term has changed by
    /// then.
    fn send_durably(&mut self, to: &ReplicaId, message: Message) {
        self.durability.defer(DeferredAction::Send {
            to: to.clone(),
            message,
        });
    }

    fn reject(&mut self, request: u64, error: ProposeError) {
        self.pending_outputs
            .push(Output::Rejected { request, error });
    }

    /// The error for a request that only the leader can handle; `None` if this replica leads.
    fn non_leader_error(&self) -> Option<ProposeError> {
        match &self.state {
            State::Leader(_) => None,
            State::Failed => Some(ProposeError::StorageFailed),
            State::Follower | State::PreCandidate(_) | State::Candidate(_) => {
                Some(ProposeError::NotLeader {
                    leader: self.leader.clone(),
                })
            }
        }
    }

    /// Advances the commit index to `index`, as far as the log goes, and emits the entries to
    /// apply.
    fn commit_to(&mut self, index: u64) {
        while self.commit_index < index {
            let Some(entry) = self.log.entry(self.commit_index + 1) else {
                return;
            };
            self.pending_outputs.push(Output::Apply(entry.clone()));
            self.commit_index += 1;
        }
    }
}
