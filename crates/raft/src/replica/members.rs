//! Changes of membership, one replica at a time.
//!
//! A change starts only when the one before it is committed and an entry of this term is, so that
//! the majorities before and after it always share a replica. A replica is replaced in three such
//! steps: it becomes a learner; once it caught up, the one that it replaces is dropped; then it is
//! promoted. No majority ever rests on the new replica alone with the lost one still counted.

use super::{Raft, State};
use crate::{
    api::ProposeError,
    message::{Membership, Payload, ReplicaId},
};

/// How far behind the end of the log a learner may be when it is promoted.
const PROMOTE_LAG_ENTRIES: u64 = 32;

impl Raft {
    /// Adds a learner; a member already in place only has what it replaces noted.
    pub(super) fn admit(&mut self, request: u64, id: ReplicaId, replaces: Option<ReplicaId>) {
        if let Some(error) = self.change_refusal() {
            return self.reject(request, error);
        }
        let mut membership = self.log.membership().clone();
        if let (State::Leader(leader), Some(old)) = (&mut self.state, replaces) {
            leader.replacements.insert(id.clone(), old);
        }
        if membership.voters.contains(&id) || membership.learners.contains(&id) {
            self.answer_proposed(request, self.log.membership_index());
            return self.change_members();
        }
        membership.learners.retain(|other| other.name != id.name);
        membership.learners.insert(id);
        let index = self.propose_membership(membership);
        self.answer_proposed(request, index);
    }

    /// Drops a voter or learner.
    pub(super) fn remove(&mut self, request: u64, id: &ReplicaId) {
        if let Some(error) = self.change_refusal() {
            return self.reject(request, error);
        }
        let mut membership = self.log.membership().clone();
        let is_member = membership.voters.remove(id) | membership.learners.remove(id);
        if membership.voters.is_empty() {
            return self.reject(request, ProposeError::LastVoter);
        }
        let index = if is_member {
            self.propose_membership(membership)
        } else {
            self.log.membership_index()
        };
        self.answer_proposed(request, index);
    }

    fn change_refusal(&self) -> Option<ProposeError> {
        let refusal = self.refusal();
        refusal.or_else(|| (!self.may_change()).then_some(ProposeError::ChangeUnderWay))
    }

    fn may_change(&self) -> bool {
        self.has_committed_in_term() && self.log.membership_index() <= self.commit_index
    }

    fn propose_membership(&mut self, membership: Membership) -> u64 {
        let index = self.propose_payload(Payload::Membership(membership));
        self.match_peers();
        for peer in self.log.membership().learners.clone() {
            self.replicate(&peer);
        }
        self.advance_commit();
        index
    }

    /// Takes the next step for a learner that has caught up.
    pub(super) fn change_members(&mut self) {
        if !self.may_change() {
            return;
        }
        let membership = self.log.membership();
        let Some(learner) = membership.learners.iter().find(|id| self.is_caught_up(id)) else {
            return;
        };
        let mut next = membership.clone();
        match self.replaced_by(learner) {
            Some(old) => next.voters.remove(&old),
            None => next.learners.remove(learner) && next.voters.insert(learner.clone()),
        };
        if self.has_live_majority(&next) {
            self.propose_membership(next);
        }
    }

    fn is_caught_up(&self, learner: &ReplicaId) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        leader.peers.get(learner).is_some_and(|progress| {
            progress.is_alive(self.now_us)
                && progress.match_index > 0
                && progress.match_index + PROMOTE_LAG_ENTRIES >= self.log.last_index()
        })
    }

    /// The voter whose place a learner takes: the one named, else one of the same name.
    fn replaced_by(&self, learner: &ReplicaId) -> Option<ReplicaId> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let voters = &self.log.membership().voters;
        let named = leader.replacements.get(learner);
        let by_name = voters.iter().find(|voter| voter.name == learner.name);
        named
            .filter(|old| voters.contains(*old))
            .or(by_name)
            .cloned()
    }

    fn has_live_majority(&self, membership: &Membership) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        let is_live = |id: &&ReplicaId| match leader.peers.get(*id) {
            Some(progress) => progress.is_alive(self.now_us),
            None => **id == self.config.id,
        };
        let live = membership.voters.iter().filter(is_live).count();
        live > membership.voters.len() / 2
    }

    /// A leader that was dropped leads until that is committed, then stands aside.
    pub(super) fn leave_if_removed(&mut self) {
        if !self.is_voter() && self.log.membership_index() <= self.commit_index {
            self.follow(self.hard_state.term);
        }
    }
}
