//! What a control replica does for gateways, instances and replicas that join by themselves.

use crate::{
    api::{Answer, Follow, FollowAnswer, Output},
    core::{Control, OWN_REQUEST},
    gateways::follow_interval_ms,
};
use plan::{Change, Registration, SteeringChanges, Verdict};
use raft::{ReplicaId, Role};
use state::Operation;
use std::collections::BTreeSet;
use types::ApiError;

/// A voter that is silent for so long gives way: to a replica that joins, or where it makes the
/// number of voters even.
const SILENT_VOTER_US: u64 = 2_500_000;

/// The most replicas that are remembered because others named them.
const NAMED_MAX: usize = 64;

/// Changes of more instances and routes than this are large: a gateway with a thin link gets them
/// from one replica only.
const SMALL_CHANGES: usize = 16;

/// How often the leader looks for silent voters, in milliseconds.
const MEMBERS_CHECK_MS: u64 = 500;

impl Control {
    /// Answers a gateway that asks for changes.
    pub(crate) fn answer_follow(&mut self, follow: u64, body: &Follow, outputs: &mut Vec<Output>) {
        self.gateways.expire(self.now_us);
        self.gateways.note(&body.gateway, &body.report, self.now_us);
        let steering = self.state.steering();
        let mut changes = steering.changes_since(body.revision);
        let routes = changes.plan.as_ref().map_or(0, |plan| plan.routes.len());
        let is_large = changes.instances.len() + routes > SMALL_CHANGES;
        let mut revision = steering.revision();
        if is_large && !body.wants_large {
            changes = SteeringChanges::default();
            revision = body.revision;
        }
        let status = self.raft.status();
        let voters = status.membership.voters.iter();
        let members = voters.chain(&status.membership.learners);
        outputs.push(Output::FollowAnswer {
            follow,
            answer: FollowAnswer {
                newest: steering.revision(),
                revision,
                clock_ms: self.log_clock_ms(),
                confirmed: status.leader.is_some(),
                members: members.map(|id| id.name.clone()).collect(),
                gateways: self.gateways.len(),
                interval_ms: follow_interval_ms(self.gateways.len()),
                changes,
            },
        });
    }

    /// The gateways for a client.
    pub(crate) fn locate(&mut self, region: &str, domain: &str) -> Answer {
        self.gateways.expire(self.now_us);
        Answer::Gateways(self.gateways.locate(region, domain))
    }

    /// Takes an instance's heartbeat; it is proposed to the log only when it says something new.
    pub(crate) fn register(
        &mut self,
        request: u64,
        registration: Registration,
        outputs: &mut Vec<Output>,
    ) {
        if !self.leads {
            let error = self.not_leader();
            outputs.push(Output::Answer {
                request,
                answer: Err(error),
            });
            return;
        }
        let is_later = self.heartbeats.note(&registration, self.now_us);
        let at_ms = self.log_clock_ms();
        let verdict = self.state.steering().judge(&registration, at_ms);
        if is_later && verdict == Verdict::Changed {
            return self.steer(request, Change::Register(registration), outputs);
        }
        outputs.push(Output::Answer {
            request,
            answer: Ok(Answer::Steered(plan::Applied::Noted)),
        });
    }

    /// Proposes a change of what gateways follow.
    pub(crate) fn steer(&mut self, request: u64, change: Change, outputs: &mut Vec<Output>) {
        self.propose(request, String::new(), Operation::Steer(change), outputs);
    }

    /// Lets silent instances expire and silent voters give way.
    pub(crate) fn tend(&mut self, outputs: &mut Vec<Output>) {
        if !self.leads {
            return;
        }
        for instance in self.heartbeats.expired(self.state.steering(), self.now_us) {
            let change = Change::Expire {
                id: instance.id,
                born_ms: instance.born_ms,
            };
            self.steer(OWN_REQUEST, change, outputs);
        }
        if self.config.learns_members && self.members_check_us.reached(self.now_us) {
            self.members_check_us = self.now_us.after_ms(MEMBERS_CHECK_MS);
            self.drop_silent_voter(outputs);
        }
    }

    /// Admits a replica that asks to join, in the place of a silent voter where there is one. Any
    /// replica names the members, since the one that joins may know none that leads.
    pub(crate) fn join(&mut self, join: u64, id: ReplicaId, outputs: &mut Vec<Output>) {
        let status = self.raft.status();
        let membership = &status.membership;
        outputs.push(Output::JoinAnswer {
            join,
            members: self.contacts().into_iter().collect(),
        });
        let is_member = membership.voters.contains(&id) || membership.learners.contains(&id);
        if !self.leads || !self.config.learns_members || is_member {
            return;
        }
        let silent = self.raft.silent_voters(SILENT_VOTER_US);
        let replaces = silent.into_iter().find(|voter| voter.name != id.name);
        let admit = raft::Input::Admit {
            request: OWN_REQUEST,
            id,
            replaces,
        };
        self.step_log(admit, outputs);
    }

    /// Drops a silent voter from an even number of them. One fewer then bears as many losses, and
    /// from an odd number one fewer would bear less: the silent one may come back with its disk
    /// after the disks of others are lost.
    fn drop_silent_voter(&mut self, outputs: &mut Vec<Output>) {
        let voters = self.raft.status().membership.voters.len();
        if !voters.is_multiple_of(2) {
            return;
        }
        let silent = self.raft.silent_voters(SILENT_VOTER_US);
        if let Some(id) = silent.into_iter().next() {
            let remove = raft::Input::Remove {
                request: OWN_REQUEST,
                id,
            };
            self.step_log(remove, outputs);
        }
    }

    /// Notes whom else this replica may ask for admission.
    pub(crate) fn note_members(&mut self, names: Vec<String>) {
        if self.named.len() + names.len() <= NAMED_MAX {
            self.named.extend(names);
        }
    }

    /// The replicas to keep links to: the members, and those that others named.
    #[must_use]
    pub fn contacts(&self) -> BTreeSet<String> {
        let membership = self.raft.status().membership;
        let members = membership.voters.iter().chain(&membership.learners);
        let members = members.map(|id| id.name.clone());
        members.chain(self.named.iter().cloned()).collect()
    }

    /// Whether this replica should ask to be admitted: it knows no leader.
    #[must_use]
    pub fn seeks_group(&self) -> bool {
        let status = self.raft.status();
        self.config.learns_members && status.leader.is_none() && status.role != Role::Failed
    }

    pub(crate) fn not_leader(&self) -> ApiError {
        let leader = self.raft.status().leader;
        self.log_error(raft::ProposeError::NotLeader { leader })
    }
}
