//! Changes of membership, one replica at a time.
//!
//! A change starts only when the previous change and an entry of the current term are committed, so
//! that the majorities before and after it always share a replica. A replica is replaced in three
//! such steps: the new one is added as a learner; once it has caught up, the old one is removed;
//! then the new one is promoted. The two are never voters at the same time: while a lost replica
//! still counts as a voter, the group might have no majority without the new one.

use super::{Raft, State};
use crate::{
    api::ProposeError,
    message::{Membership, Payload, ReplicaId},
};

/// How many entries behind the end of the log a learner may be and still be promoted.
const PROMOTE_LAG_ENTRIES: u64 = 32;

impl Raft {
    /// Adds a learner; for a replica that is a member already, only records which one it replaces.
    pub(super) fn admit(&mut self, request: u64, id: ReplicaId, replaces: Option<ReplicaId>) {
        if let Some(error) = self.membership_change_error() {
            return self.reject(request, error);
        }
        let mut membership = self.log.membership().clone();
        if let (State::Leader(leader), Some(old)) = (&mut self.state, replaces) {
            leader.replacements.insert(id.clone(), old);
        }
        if membership.voters.contains(&id) || membership.learners.contains(&id) {
            self.answer_proposed(request, self.log.membership_index());
            return self.advance_membership_change();
        }
        membership.learners.retain(|other| other.name != id.name);
        membership.learners.insert(id);
        let index = self.propose_membership(membership);
        self.answer_proposed(request, index);
    }

    /// Removes a voter or a learner, but never the only voter.
    pub(super) fn remove(&mut self, request: u64, id: &ReplicaId) {
        if let Some(error) = self.membership_change_error() {
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

    fn membership_change_error(&self) -> Option<ProposeError> {
        let error = self.non_leader_error();
        error.or_else(|| {
            (!self.can_change_membership()).then_some(ProposeError::MembershipChangePending)
        })
    }

    fn can_change_membership(&self) -> bool {
        self.has_committed_in_term() && self.log.membership_index() <= self.commit_index
    }

    fn propose_membership(&mut self, membership: Membership) -> u64 {
        let index = self.propose_payload(Payload::Membership(membership));
        self.update_peers();
        for peer in self.log.membership().learners.clone() {
            self.replicate(&peer);
        }
        self.advance_commit();
        index
    }

    /// Removes the voter that a caught-up learner replaces or, if there is none left, promotes the
    /// learner. Does nothing unless a majority of the resulting voters is reachable.
    pub(super) fn advance_membership_change(&mut self) {
        if !self.can_change_membership() {
            return;
        }
        let membership = self.log.membership();
        let Some(learner) = membership.learners.iter().find(|id| self.is_caught_up(id)) else {
            return;
        };
        let mut next = membership.clone();
        match self.voter_replaced_by(learner) {
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

    /// The voter that a learner replaces: the one given on its admission, else one of the same
    /// name.
    fn voter_replaced_by(&self, learner: &ReplicaId) -> Option<ReplicaId> {
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

    /// Steps down if this leader was removed; it leads until its removal is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        if !self.is_voter() && self.log.membership_index() <= self.commit_index {
            self.become_follower(self.hard_state.term);
        }
    }
}
