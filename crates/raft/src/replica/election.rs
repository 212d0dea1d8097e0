//! Elections: the election timer, pre-votes and votes, and the rules for granting them.

use super::{Raft, State};
use crate::{
    durability::DeferredAction,
    message::{HardState, Message, ReplicaId},
};
use std::collections::BTreeSet;

/// The replicas that granted a vote or a pre-vote to this candidate, itself included.
#[derive(Debug, Default)]
pub(super) struct VoteTally {
    granted: BTreeSet<ReplicaId>,
}

impl Raft {
    /// Draws a new election timeout; an election starts after it unless a leader is heard from
    /// before.
    pub(super) fn reset_election_timer(&mut self) {
        let election_timeout_min_us = self.config.election_timeout_min_us;
        self.election_at_us = self.now_us
            + self
                .random
                .between(election_timeout_min_us, 2 * election_timeout_min_us);
    }

    /// Records a message from the leader of this term: follows it and grants no vote for one
    /// election timeout.
    pub(super) fn record_leader_contact(&mut self, leader: &ReplicaId) {
        if !matches!(self.state, State::Follower) {
            self.state = State::Follower;
        }
        if self.leader.as_ref() != Some(leader) {
            self.leader = Some(leader.clone());
        }
        self.no_vote_until_us = self.now_us + self.config.election_timeout_min_us;
        self.reset_election_timer();
    }

    /// Starts a pre-vote once the election timeout has passed; a learner only forgets the leader.
    pub(super) fn run_election_timer(&mut self) {
        if self.now_us < self.election_at_us {
            return;
        }
        if self.is_voter() {
            self.start_pre_vote();
        } else {
            self.leader = None;
            self.reset_election_timer();
        }
    }

    /// Asks the other voters whether they would grant a vote, without entering a new term.
    fn start_pre_vote(&mut self) {
        self.leader = None;
        self.state = State::PreCandidate(VoteTally::default());
        let election_timeout_min_us = self.config.election_timeout_min_us;
        self.election_at_us = self.now_us
            + self
                .random
                .between(election_timeout_min_us / 2, election_timeout_min_us);
        for voter in self.other_voters() {
            let message = self.vote_request(self.hard_state.term + 1, true);
            self.send(&voter, message);
        }
        let own_id = self.config.id.clone();
        self.count_pre_vote(&own_id, self.hard_state.term + 1);
    }

    fn start_election(&mut self) {
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.config.id.clone()),
        };
        self.durability.add_hard_state(&self.hard_state);
        self.state = State::Candidate(VoteTally::default());
        self.reset_election_timer();
        let term = self.hard_state.term;
        for voter in self.other_voters() {
            let message = self.vote_request(term, false);
            self.send_durably(&voter, message);
        }
        self.durability.defer(DeferredAction::OwnVote { term });
    }

    fn vote_request(&self, term: u64, pre: bool) -> Message {
        let (last_term, last_index) = self.last_position();
        Message::RequestVote {
            term,
            pre,
            last_index,
            last_term,
        }
    }

    /// The term and index of the last entry, in the order in which candidates' logs are compared.
    fn last_position(&self) -> (u64, u64) {
        (self.log.last_term(), self.log.last_index())
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.log.membership().voters.iter();
        voters
            .filter(|id| **id != self.config.id)
            .cloned()
            .collect()
    }

    /// Answers a candidate. No vote is granted within one election timeout of a leader's message,
    /// so that a replica that returns from a network partition can't depose the leader. This holds
    /// even if this replica is already in the candidate's term, which another message may have
    /// brought.
    pub(super) fn handle_request_vote(&mut self, from: &ReplicaId, message: &Message) {
        let &Message::RequestVote {
            term,
            pre,
            last_index,
            last_term,
        } = message
        else {
            return;
        };
        if term < self.hard_state.term || self.withholds_votes() {
            return self.deny_vote(from, pre);
        }
        let candidate_last = (last_term, last_index);
        let is_up_to_date = candidate_last >= self.last_position();
        if pre {
            let granted = is_up_to_date && self.yields_to(from, candidate_last);
            return self.answer_pre_vote(from, term, granted);
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        if !is_up_to_date || !self.can_vote_for(from) {
            return self.deny_vote(from, false);
        }
        self.grant_vote(from);
    }

    /// Whether this replica, if it asks for pre-votes itself, gives up in favour of `candidate`. Of
    /// two that ask at the same time only one continues, so that they don't split the votes.
    fn yields_to(&self, candidate: &ReplicaId, candidate_last: (u64, u64)) -> bool {
        let is_asking = matches!(self.state, State::PreCandidate(_));
        !is_asking || (candidate_last, candidate) > (self.last_position(), &self.config.id)
    }

    /// Answers a request for a pre-vote. With a grant, this replica postpones its own election, so
    /// that the candidate has time for its election.
    fn answer_pre_vote(&mut self, from: &ReplicaId, term: u64, granted: bool) {
        if !granted || term <= self.hard_state.term || self.never_joined() {
            return self.deny_vote(from, true);
        }
        if matches!(self.state, State::PreCandidate(_)) {
            self.state = State::Follower;
        }
        let candidate_until_us = self.now_us + self.config.election_timeout_min_us / 4;
        self.election_at_us = self.election_at_us.max(candidate_until_us);
        let granted = Message::Vote {
            term,
            pre: true,
            granted: true,
        };
        self.send(from, granted);
    }

    fn grant_vote(&mut self, from: &ReplicaId) {
        if self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from.clone());
            self.durability.add_hard_state(&self.hard_state);
        }
        self.reset_election_timer();
        let granted = Message::Vote {
            term: self.hard_state.term,
            pre: false,
            granted: true,
        };
        self.send_durably(from, granted);
    }

    fn deny_vote(&mut self, to: &ReplicaId, pre: bool) {
        let denied = Message::Vote {
            term: self.hard_state.term,
            pre,
            granted: false,
        };
        self.send(to, denied);
    }

    fn can_vote_for(&self, candidate: &ReplicaId) -> bool {
        let voted_for = self.hard_state.voted_for.as_ref();
        !self.never_joined() && voted_for.is_none_or(|id| id == candidate)
    }

    /// Whether this replica has never been part of a group: it has no entries and knows no voters.
    fn never_joined(&self) -> bool {
        self.log.last_index() == 0 && self.log.membership().voters.is_empty()
    }

    /// Whether this replica must not vote because a leader may rely on that: it leads itself, heard
    /// from a leader within one election timeout, or restarted within one and may have heard from a
    /// leader before that.
    fn withholds_votes(&self) -> bool {
        match &self.state {
            State::Leader(_) => true,
            _ => self.now_us < self.no_vote_until_us,
        }
    }

    pub(super) fn count_pre_vote(&mut self, from: &ReplicaId, term: u64) {
        if term != self.hard_state.term + 1 {
            return;
        }
        let State::PreCandidate(tally) = &mut self.state else {
            return;
        };
        tally.granted.insert(from.clone());
        if self.has_majority() {
            self.start_election();
        }
    }

    /// Counts a granted vote; the denial of a vote or a pre-vote changes nothing.
    pub(super) fn handle_vote(&mut self, from: &ReplicaId, pre: bool, granted: bool) {
        if pre || !granted {
            return;
        }
        let State::Candidate(tally) = &mut self.state else {
            return;
        };
        tally.granted.insert(from.clone());
        if self.has_majority() {
            self.become_leader();
        }
    }

    pub(super) fn count_own_vote(&mut self, term: u64) {
        if term == self.hard_state.term {
            let own_id = self.config.id.clone();
            self.handle_vote(&own_id, false, true);
        }
    }

    fn has_majority(&self) -> bool {
        let (State::PreCandidate(tally) | State::Candidate(tally)) = &self.state else {
            return false;
        };
        let voters = &self.log.membership().voters;
        tally.granted.intersection(voters).count() > voters.len() / 2
    }
}
