//! Elections: pre-votes, votes, and when neither is given.

use super::{Raft, State};
use crate::{
    durability::Held,
    message::{HardState, Message, ReplicaId},
};
use std::collections::BTreeSet;

/// Who gave a vote.
#[derive(Debug, Default)]
pub(super) struct Ballot {
    granted: BTreeSet<ReplicaId>,
}

impl Raft {
    /// Draws when the next election starts unless a leader is heard before.
    pub(super) fn put_off_election(&mut self) {
        let election_us = self.config.election_us;
        self.election_at_us = self.now_us + self.random.between(election_us, 2 * election_us);
    }

    /// Notes that the leader of this term was heard.
    pub(super) fn hear_leader(&mut self, leader: &ReplicaId) {
        if !matches!(self.state, State::Follower) {
            self.state = State::Follower;
        }
        if self.leader.as_ref() != Some(leader) {
            self.leader = Some(leader.clone());
        }
        self.no_vote_until_us = self.now_us + self.config.election_us;
        self.put_off_election();
    }

    /// Starts an election once no leader was heard for long enough.
    pub(super) fn act_without_leader(&mut self) {
        if self.now_us < self.election_at_us {
            return;
        }
        if self.is_voter() {
            self.start_pre_vote();
        } else {
            self.leader = None;
            self.put_off_election();
        }
    }

    /// Asks whether an election would succeed, without entering a new term.
    fn start_pre_vote(&mut self) {
        self.leader = None;
        self.state = State::PreCandidate(Ballot::default());
        let election_us = self.config.election_us;
        self.election_at_us = self.now_us + self.random.between(election_us / 2, election_us);
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
        self.state = State::Candidate(Ballot::default());
        self.put_off_election();
        let term = self.hard_state.term;
        for voter in self.other_voters() {
            let message = self.vote_request(term, false);
            self.send_durably(&voter, message);
        }
        self.durability.hold(Held::OwnVote { term });
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

    /// The term and index of the last entry, by which logs are compared.
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

    /// Answers a candidate. Nothing is given while a leader is heard, so that a replica that comes
    /// back from a cut can't depose it. That holds in the candidate's own term too: another message
    /// may have brought it here.
    pub(super) fn request_vote(&mut self, from: &ReplicaId, message: &Message) {
        let &Message::RequestVote {
            term,
            pre,
            last_index,
            last_term,
        } = message
        else {
            return;
        };
        if term < self.hard_state.term || self.hears_leader() {
            return self.refuse_vote(from, pre);
        }
        let candidate_last = (last_term, last_index);
        let current = candidate_last >= self.last_position();
        if pre {
            let granted = current && self.gives_way(from, candidate_last);
            return self.answer_pre_vote(from, term, granted);
        }
        if term > self.hard_state.term {
            self.follow(term);
        }
        if !current || !self.may_vote_for(from) {
            return self.refuse_vote(from, false);
        }
        self.give_vote(from);
    }

    /// Of two replicas that ask at once only one goes on, so that they don't split the votes.
    fn gives_way(&self, candidate: &ReplicaId, candidate_last: (u64, u64)) -> bool {
        let is_asking = matches!(self.state, State::PreCandidate(_));
        !is_asking || (candidate_last, candidate) > (self.last_position(), &self.config.id)
    }

    /// Gives a pre-vote and leaves the candidate some time, or refuses it.
    fn answer_pre_vote(&mut self, from: &ReplicaId, term: u64, granted: bool) {
        if !granted || term <= self.hard_state.term || self.is_blank() {
            return self.refuse_vote(from, true);
        }
        if matches!(self.state, State::PreCandidate(_)) {
            self.state = State::Follower;
        }
        let candidate_until_us = self.now_us + self.config.election_us / 4;
        self.election_at_us = self.election_at_us.max(candidate_until_us);
        let granted = Message::Vote {
            term,
            pre: true,
            granted: true,
        };
        self.send(from, granted);
    }

    fn give_vote(&mut self, from: &ReplicaId) {
        if self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from.clone());
            self.durability.add_hard_state(&self.hard_state);
        }
        self.put_off_election();
        let granted = Message::Vote {
            term: self.hard_state.term,
            pre: false,
            granted: true,
        };
        self.send_durably(from, granted);
    }

    fn refuse_vote(&mut self, to: &ReplicaId, pre: bool) {
        let refused = Message::Vote {
            term: self.hard_state.term,
            pre,
            granted: false,
        };
        self.send(to, refused);
    }

    fn may_vote_for(&self, candidate: &ReplicaId) -> bool {
        let voted_for = self.hard_state.voted_for.as_ref();
        !self.is_blank() && voted_for.is_none_or(|id| id == candidate)
    }

    /// Whether this replica was never part of a group.
    fn is_blank(&self) -> bool {
        self.log.last_index() == 0 && self.log.membership().voters.is_empty()
    }

    /// Whether a leader may rely on this replica not to vote for another: it heard one lately, or
    /// it restarted lately and may have heard one before.
    fn hears_leader(&self) -> bool {
        match &self.state {
            State::Leader(_) => true,
            _ => self.now_us < self.no_vote_until_us,
        }
    }

    pub(super) fn count_pre_vote(&mut self, from: &ReplicaId, term: u64) {
        if term != self.hard_state.term + 1 {
            return;
        }
        let State::PreCandidate(ballot) = &mut self.state else {
            return;
        };
        ballot.granted.insert(from.clone());
        if self.has_majority() {
            self.start_election();
        }
    }

    /// Takes the answer to a vote, or the refusal of a pre-vote.
    pub(super) fn vote_answered(&mut self, from: &ReplicaId, pre: bool, granted: bool) {
        if pre || !granted {
            return;
        }
        let State::Candidate(ballot) = &mut self.state else {
            return;
        };
        ballot.granted.insert(from.clone());
        if self.has_majority() {
            self.become_leader();
        }
    }

    pub(super) fn count_own_vote(&mut self, term: u64) {
        if term == self.hard_state.term {
            let own_id = self.config.id.clone();
            self.vote_answered(&own_id, false, true);
        }
    }

    fn has_majority(&self) -> bool {
        let (State::PreCandidate(ballot) | State::Candidate(ballot)) = &self.state else {
            return false;
        };
        let voters = &self.log.membership().voters;
        ballot.granted.intersection(voters).count() > voters.len() / 2
    }
}
