//! A replica: its state, and how each input reaches the part that decides on it.

mod election;
mod follow;
mod forward;
mod install;
mod lead;
mod members;
mod reads;
mod transfer;

use self::{election::Ballot, forward::Forwarded, install::Incoming, lead::Leader};
use crate::{
    api::{Input, Output, ProposeError, RaftConfig, Restored, Role, Status},
    durability::{Durability, Held},
    log::Log,
    message::{HardState, Message, ReplicaId},
    random::Random,
};

#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Box<Leader>),
    Failed,
}

#[derive(Debug, PartialEq, Eq)]
struct Reported {
    role: Role,
    term: u64,
    leader: Option<ReplicaId>,
    membership_index: u64,
}

/// A replica of the log, without input or output.
///
/// The first step gives [`Output::Restore`] when the data folder held a snapshot. The link must
/// deliver only messages that were addressed to this very identity.
#[derive(Debug)]
pub struct Raft {
    config: RaftConfig,
    now_us: u64,
    hard_state: HardState,
    log: Log,
    commit_index: u64,
    state: State,
    leader: Option<ReplicaId>,
    no_vote_until_us: u64,
    election_at_us: u64,
    random: Random,
    durability: Durability,
    incoming: Option<Incoming>,
    forwarded: Forwarded,
    reported: Option<Reported>,
    out: Vec<Output>,
}

impl Raft {
    /// A replica with what its data folder held.
    #[must_use]
    pub fn new(config: RaftConfig, restored: Restored, now_us: u64) -> Self {
        let mut log = Log::new(restored.snapshot, restored.founders.unwrap_or_default());
        for entry in restored.entries {
            if entry.index == log.last_index() + 1 {
                log.append(entry);
            }
        }
        let out = log.snapshot().map(|s| Output::Restore(s.as_ref().clone()));
        let mut raft = Self {
            random: Random::new(config.seed),
            now_us,
            hard_state: restored.hard_state,
            commit_index: log.snapshot_index(),
            durability: Durability::new(log.last_index()),
            log,
            state: State::Follower,
            leader: None,
            no_vote_until_us: now_us + config.election_us,
            config,
            election_at_us: 0,
            incoming: None,
            forwarded: Forwarded::default(),
            reported: None,
            out: out.into_iter().collect(),
        };
        raft.put_off_election();
        raft
    }

    /// Takes an input at `now_us` and adds what is to be done to `outputs`.
    pub fn step(&mut self, now_us: u64, input: Input, outputs: &mut Vec<Output>) {
        self.advance_clock(now_us);
        match input {
            Input::Tick => {}
            Input::Receive { from, message } => self.receive(&from, message),
            Input::Propose { request, data } => self.propose(request, data),
            Input::Read { request } => self.read(request),
            Input::Admit {
                request,
                id,
                replaces,
            } => self.admit(request, id, replaces),
            Input::Remove { request, id } => self.remove(request, &id),
            Input::Persisted { ticket } => self.persisted(ticket),
            Input::SnapshotTaken { index, data } => self.snapshot_taken(index, data),
            Input::StorageFailed => self.fail(),
        }
        self.act_on_time();
        self.finish(outputs);
    }

    /// This replica's view of itself.
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

    /// The term at `index`, when the log still knows it.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// The last index of the log.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// The last index known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// As the leader, the voters that were not heard for so long; none elsewhere.
    #[must_use]
    pub fn silent_voters(&self, silence_us: u64) -> Vec<ReplicaId> {
        let State::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let voters = self.log.membership().voters.iter();
        let silent = voters.filter(|id| {
            leader.peers.get(*id).is_some_and(|progress| {
                progress.silent_since_us(self.config.election_us) + silence_us <= self.now_us
            })
        });
        silent.cloned().collect()
    }

    /// When the replica next has something to do without another input.
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

    /// Moves the clock on; what a frozen process missed is given up before anything else.
    fn advance_clock(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
        match &self.state {
            State::Leader(_) => self.check_quorum(),
            State::Failed => {}
            State::Follower | State::PreCandidate(_) | State::Candidate(_) => {
                if self.now_us > self.election_at_us + self.config.election_us {
                    self.put_off_election();
                }
            }
        }
    }

    fn act_on_time(&mut self) {
        match &self.state {
            State::Leader(_) => self.act_as_leader(),
            State::Failed => {}
            State::Follower | State::PreCandidate(_) | State::Candidate(_) => {
                self.act_without_leader();
            }
        }
    }

    fn receive(&mut self, from: &ReplicaId, message: Message) {
        if matches!(self.state, State::Failed) || *from == self.config.id {
            return;
        }
        match &message {
            Message::RequestVote { .. } => return self.request_vote(from, &message),
            Message::Vote {
                pre: true,
                granted: true,
                term,
            } => return self.count_pre_vote(from, *term),
            _ => {}
        }
        let term = message.term();
        if term < self.hard_state.term {
            return self.answer_stale(from, &message);
        }
        if term > self.hard_state.term {
            self.follow(term);
        }
        match message {
            Message::RequestVote { .. } => {}
            Message::Vote { pre, granted, .. } => self.vote_answered(from, pre, granted),
            Message::Append { .. } => self.append(from, message),
            Message::Appended { .. } => self.appended(from, &message),
            Message::InstallSnapshot { .. } => self.install(from, message),
            Message::ReadIndex { serial, .. } => self.read_for(from, serial),
            Message::ReadIndexed { serial, index, .. } => self.read_indexed(serial, index),
            Message::SnapshotReceived { .. } => self.part_received(from, &message),
        }
    }

    /// Enters `term` or stays in it, as a follower of a leader not known yet.
    fn follow(&mut self, term: u64) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
            self.durability.add_hard_state(&self.hard_state);
        }
        let was = std::mem::replace(&mut self.state, State::Follower);
        self.leader = None;
        if let State::Leader(leader) = was {
            self.put_off_election();
            self.reject_reads(leader.into_reads());
        }
    }

    fn persisted(&mut self, ticket: u64) {
        if matches!(self.state, State::Failed) {
            return;
        }
        self.durability.persisted(ticket);
        self.release_held();
        self.advance_commit();
    }

    fn release_held(&mut self) {
        while let Some(held) = self.durability.release() {
            match held {
                Held::Send { to, message } if message.term() == self.hard_state.term => {
                    self.send(&to, message);
                }
                Held::Send { .. } => {}
                Held::OwnVote { term } => self.count_own_vote(term),
            }
        }
    }

    fn fail(&mut self) {
        let was = std::mem::replace(&mut self.state, State::Failed);
        self.leader = None;
        self.durability = Durability::new(0);
        if let State::Leader(leader) = was {
            self.reject_reads(leader.into_reads());
        }
    }

    fn finish(&mut self, outputs: &mut Vec<Output>) {
        self.give_up_forwarded();
        self.release_held();
        if let Some(persist) = self.durability.flush(self.log.last_index()) {
            self.out.push(Output::Persist(persist));
        }
        self.report();
        outputs.append(&mut self.out);
    }

    fn report(&mut self) {
        let now = Reported {
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
            membership_index: self.log.membership_index(),
        };
        if self.reported.as_ref() != Some(&now) {
            self.reported = Some(now);
            self.out.push(Output::Changed(self.status()));
        }
    }

    fn send(&mut self, to: &ReplicaId, message: Message) {
        self.out.push(Output::Send {
            to: to.clone(),
            message,
        });
    }

    /// Sends a message once everything written so far is synced.
    fn send_durably(&mut self, to: &ReplicaId, message: Message) {
        self.durability.hold(Held::Send {
            to: to.clone(),
            message,
        });
    }

    fn reject(&mut self, request: u64, error: ProposeError) {
        self.out.push(Output::Rejected { request, error });
    }

    /// Why this replica can't take requests, unless it leads.
    fn refusal(&self) -> Option<ProposeError> {
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

    /// Commits up to `index` and hands out the entries.
    fn commit_to(&mut self, index: u64) {
        while self.commit_index < index {
            let Some(entry) = self.log.entry(self.commit_index + 1) else {
                return;
            };
            self.out.push(Output::Apply(entry.clone()));
            self.commit_index += 1;
        }
    }
}
