//! Changes of the plan and of the group. Answers gateways, clients and instances, and proposes
//! changes of the plan, the evacuations and the instances. Changes the group's membership when
//! replicas join or voters fall silent.

use crate::{
    api::{Answer, GatewayPoll, GatewayPollAnswer, Output},
    core::{Control, INTERNAL_REQUEST},
    gateways::gateway_poll_interval_ms,
};
use plan::{Change, Registration, RegistrationStatus, SteeringChanges};
use raft::{ReplicaId, Role};
use state::Operation;
use std::collections::BTreeSet;
use types::ApiError;

/// A voter silent for this long may be replaced by a replica that joins, and is removed while the
/// number of voters is even.
const SILENT_VOTER_US: u64 = 2_500_000;

/// The most members kept from the reports of other replicas.
const REPORTED_MEMBERS_MAX: usize = 64;

/// Changes of more instances and routes than this are large. A gateway fetches large changes from
/// one replica only, to save bandwidth on a slow link.
const SMALL_CHANGES_MAX: usize = 16;

/// How often the leader checks for silent voters, in milliseconds.
const VOTER_CHECK_MS: u64 = 500;

impl Control {
    /// Answers a gateway's poll for changes. Large changes are held back unless it asks for them.
    pub(crate) fn answer_gateway_poll(
        &mut self,
        poll: u64,
        body: &GatewayPoll,
        outputs: &mut Vec<Output>,
    ) {
        self.gateways.expire(self.now_us);
        self.gateways
            .record(&body.gateway, &body.report, self.now_us);
        let steering = self.state.steering();
        let mut changes = steering.changes_since(body.revision);
        let routes = changes.plan.as_ref().map_or(0, |plan| plan.routes.len());
        let is_large = changes.instances.len() + routes > SMALL_CHANGES_MAX;
        let mut revision = steering.revision();
        if is_large && !body.wants_large {
            changes = SteeringChanges::default();
            revision = body.revision;
        }
        let status = self.raft.status();
        let voters = status.membership.voters.iter();
        let members = voters.chain(&status.membership.learners);
        outputs.push(Output::GatewayPollAnswer {
            poll,
            answer: GatewayPollAnswer {
                newest: steering.revision(),
                revision,
                clock_ms: self.log_clock_ms(),
                knows_leader: status.leader.is_some(),
                members: members.map(|id| id.name.clone()).collect(),
                gateways: self.gateways.len(),
                interval_ms: gateway_poll_interval_ms(self.gateways.len()),
                changes,
            },
        });
    }

    /// Answers [`Request::Locate`](crate::Request::Locate): the addresses of the gateways that a
    /// client of this region and failure domain should use.
    pub(crate) fn locate(&mut self, region: &str, domain: &str) -> Answer {
        self.gateways.expire(self.now_us);
        Answer::Gateways(self.gateways.locate(region, domain))
    }

    /// Handles an instance's heartbeat on the leader. It is proposed to the log only when it
    /// changes what is known of the instance.
    pub(crate) fn register(
        &mut self,
        request: u64,
        registration: Registration,
        outputs: &mut Vec<Output>,
    ) {
        if !self.is_leader {
            let error = self.not_leader();
            outputs.push(Output::Answer {
                request,
                answer: Err(error),
            });
            return;
        }
        let is_later = self.heartbeats.record(&registration, self.now_us);
        let at_ms = self.log_clock_ms();
        let status = self.state.steering().compare(&registration, at_ms);
        if is_later && status == RegistrationStatus::Changed {
            return self.steer(request, Change::Register(registration), outputs);
        }
        outputs.push(Output::Answer {
            request,
            answer: Ok(Answer::Steered(plan::ChangeResult::Applied)),
        });
    }

    /// Proposes a change of the plan, the evacuations or the instances.
    pub(crate) fn steer(&mut self, request: u64, change: Change, outputs: &mut Vec<Output>) {
        self.propose(request, String::new(), Operation::Steer(change), outputs);
    }

    /// As the leader, proposes the expiry of silent instances and the removal of a silent voter.
    pub(crate) fn check_liveness(&mut self, outputs: &mut Vec<Output>) {
        if !self.is_leader {
            return;
        }
        for instance in self.heartbeats.expired(self.state.steering(), self.now_us) {
            let change = Change::Expire {
                id: instance.id,
                born_ms: instance.born_ms,
            };
            self.steer(INTERNAL_REQUEST, change, outputs);
        }
        if self.config.open_membership && self.next_voter_check_us.reached(self.now_us) {
            self.next_voter_check_us = self.now_us.after_ms(VOTER_CHECK_MS);
            self.remove_silent_voter(outputs);
        }
    }

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
        let silent = self.raft.silent_voters(SILENT_VOTER_US);
        let replaces = silent.into_iter().find(|voter| voter.name != id.name);
        let admit = raft::Input::Admit {
            request: INTERNAL_REQUEST,
            id,
            replaces,
        };
        self.step_raft(admit, outputs);
    }

    /// Removes a silent voter while the number of voters is even: one voter fewer then tolerates as
    /// many losses. An odd number stays, since one fewer would tolerate fewer losses: the silent
    /// voter may return with its disk after others have lost theirs.
    fn remove_silent_voter(&mut self, outputs: &mut Vec<Output>) {
        let voters = self.raft.status().membership.voters.len();
        if !voters.is_multiple_of(2) {
            return;
        }
        let silent = self.raft.silent_voters(SILENT_VOTER_US);
        if let Some(id) = silent.into_iter().next() {
            let remove = raft::Input::Remove {
                request: INTERNAL_REQUEST,
                id,
            };
            self.step_raft(remove, outputs);
        }
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

    pub(crate) fn not_leader(&self) -> ApiError {
        let leader = self.raft.status().leader;
        self.api_error(raft::ProposeError::NotLeader { leader })
    }
}
