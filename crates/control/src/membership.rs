//! Changes of the group: admits replicas that join, and removes members that fell silent.

use crate::{
    api::Output,
    core::{Control, INTERNAL_REQUEST},
};
use raft::{Membership, ReplicaId, Role};
use std::collections::BTreeSet;

/// A voter silent for this long may be replaced by a replica that joins, or removed.
const SILENT_VOTER_US: u64 = 2_500_000;

/// A learner silent for this long is removed. It has no vote, so that only its place among the
/// members is at stake; the time allows for a stalled disk.
const SILENT_LEARNER_US: u64 = 10_000_000;

/// The most members kept from the reports of other replicas.
const REPORTED_MEMBERS_MAX: usize = 64;

/// How often the leader checks for silent members, in milliseconds.
const MEMBER_CHECK_MS: u64 = 500;

impl Control {
    /// Handles a replica's request to join. The leader admits it if the configuration lets replicas
    /// join and it is no member yet, in place of a silent voter if there is one. Every replica
    /// answers with the members, since the joining one may not know the leader.
    pub(crate) fn join(&mut self, join: u64, id: ReplicaId, outputs: &mut Vec<Output>) {
        let status = self.raft.status();
        let membership = &status.membership;
        outputs.push(Output::JoinAnswer {
            join,
            members: self.peer_names().into_iter().collect(),
        });
        let is_member = membership.voters.contains(&id) || membership.learners.contains(&id);
        if !self.is_leader || !self.config.open_membership || is_member {
            return;
        }
        let admit = raft::Input::Admit {
            request: INTERNAL_REQUEST,
            replaces: self.silent_voter_replaced_by(&id, membership),
            id,
        };
        self.step_raft(admit, outputs);
    }

    /// The silent voter in whose place a replica is admitted. None for one that lost its disk: it
    /// takes the place of the voter of its own name.
    fn silent_voter_replaced_by(
        &self,
        id: &ReplicaId,
        membership: &Membership,
    ) -> Option<ReplicaId> {
        let mut voters = membership.voters.iter();
        match voters.any(|voter| voter.name == id.name) {
            true => None,
            false => self.raft.silent_voters(SILENT_VOTER_US).into_iter().next(),
        }
    }

    /// As the leader of a group that replicas join by themselves, removes a member that fell silent.
    pub(crate) fn check_members(&mut self, outputs: &mut Vec<Output>) {
        let is_due = self.next_member_check_us.reached(self.now_us);
        if !self.is_leader || !self.config.open_membership || !is_due {
            return;
        }
        self.next_member_check_us = self.now_us.after_ms(MEMBER_CHECK_MS);
        if let Some(id) = self.member_to_remove() {
            let remove = raft::Input::Remove {
                request: INTERNAL_REQUEST,
                id,
            };
            self.step_raft(remove, outputs);
        }
    }

    /// The member that is silent for longest, if the group is better off without it.
    ///
    /// A voter goes while the group has more voters than the tolerated losses need: each dead one
    /// raises the majority, also where their number is odd. It goes too while the number of voters
    /// is even, since one fewer tolerates as many losses. Else it stays: it may return with its disk
    /// after others have lost theirs.
    fn member_to_remove(&self) -> Option<ReplicaId> {
        let voters = self.raft.status().membership.voters.len();
        let can_lose_one = voters > self.config.voters_needed() || voters.is_multiple_of(2);
        let silent_voters = match can_lose_one {
            true => self.raft.silent_voters(SILENT_VOTER_US),
            false => Vec::new(),
        };
        let silent_learners = self.raft.silent_learners(SILENT_LEARNER_US);
        silent_voters.into_iter().chain(silent_learners).next()
    }

    /// Adds members that another replica reported, which this one may ask for admission. All are
    /// ignored when they could exceed the limit.
    pub(crate) fn add_reported_members(&mut self, names: Vec<String>) {
        if self.reported_members.len() + names.len() <= REPORTED_MEMBERS_MAX {
            self.reported_members.extend(names);
        }
    }

    /// The names of the replicas to keep connections to: the members, and those that others
    /// reported.
    #[must_use]
    pub fn peer_names(&self) -> BTreeSet<String> {
        let membership = self.raft.status().membership;
        let members = membership.voters.iter().chain(&membership.learners);
        let members = members.map(|id| id.name.clone());
        members
            .chain(self.reported_members.iter().cloned())
            .collect()
    }

    /// Whether this replica should ask to be admitted: it knows no leader, its disk has not failed,
    /// and the configuration lets replicas join.
    #[must_use]
    pub fn needs_admission(&self) -> bool {
        let status = self.raft.status();
        self.config.open_membership && status.leader.is_none() && status.role != Role::Failed
    }
}
