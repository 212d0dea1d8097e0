//! Changes of the plan. Answers gateways, clients and instances, and proposes changes of the plan,
//! the evacuations and the instances.

use crate::{
    api::{Answer, GatewayPoll, GatewayPollAnswer, Output},
    core::{Control, INTERNAL_REQUEST},
    gateways::gateway_poll_interval_ms,
    heartbeats::Verdict,
};
use plan::{Change, InstanceState, KeyUse, Registration, RegistrationStatus, SteeringChanges};
use share::TokenAnswer;
use state::Operation;
use std::sync::Arc;
use types::{ApiError, TimeUs, UpstreamName};

/// Changes of more instances and routes than this are large. A gateway fetches large changes from
/// one replica only, to save bandwidth on a slow link.
const SMALL_CHANGES_MAX: usize = 16;

/// How long a gateway's poll may wait for its turn, in milliseconds. It is half of the shortest
/// election timeout, so that a backlog of polls deposes no leader.
const POLL_WAIT_MAX_MS: u64 = 200;

impl Control {
    /// Answers a gateway's poll, unless it has waited for so long that the replica is overloaded: the
    /// gateway polls again anyway, and what the replicas owe each other waits behind it.
    pub(crate) fn handle_gateway_poll(
        &mut self,
        poll: u64,
        body: &GatewayPoll,
        received_us: TimeUs,
        outputs: &mut Vec<Output>,
    ) {
        self.gateways.expire(self.now_us);
        self.gateways
            .record(&body.gateway, &body.report, self.now_us);
        let plan = self.state.steering().plan();
        if plan.is_some_and(|plan| plan.key_use() == KeyUse::Required) {
            self.shares.record_demand(self.with_suspension());
        }
        if received_us.after_ms(POLL_WAIT_MAX_MS).reached(self.now_us) {
            self.gateways.count_expired_poll();
            return;
        }
        self.answer_gateway_poll(poll, body, outputs);
    }

    /// Answers a gateway's poll for changes. Large changes are held back unless it asks for them, and
    /// then shared with other gateways that ask for the same ones.
    fn answer_gateway_poll(&mut self, poll: u64, body: &GatewayPoll, outputs: &mut Vec<Output>) {
        // A shared answer carries no tokens. The gateway asks again with its next poll.
        let is_shared = body.wants_large && self.has_large_changes_since(body.revision);
        let tokens = match is_shared {
            true => None,
            false => self.grant_tokens(body),
        };
        let steering = self.state.steering();
        let count = steering.count_changes_since(body.revision);
        let is_large = count > SMALL_CHANGES_MAX;
        let answer = match (is_large, body.wants_large) {
            (true, true) => self.shared_answer(body.revision),
            (true, false) => {
                let answer = self.answer_to(body.revision, SteeringChanges::default());
                Arc::new(GatewayPollAnswer {
                    held_back: count,
                    number: body.number,
                    tokens,
                    ..answer
                })
            }
            (false, _) => {
                let changes = steering.changes_since(body.revision);
                Arc::new(GatewayPollAnswer {
                    number: body.number,
                    tokens,
                    ..self.answer_to(steering.revision(), changes)
                })
            }
        };
        outputs.push(Output::GatewayPollAnswer {
            poll,
            answer,
            is_shared,
        });
    }

    /// The answer with all changes since an index, which another gateway may have got shortly before.
    fn shared_answer(&mut self, index: u64) -> Arc<GatewayPollAnswer> {
        let steering = self.state.steering();
        let newest = steering.revision();
        if let Some(answer) = self.large_answers.get(index, newest, self.now_us) {
            return answer;
        }
        // Another gateway may get the answer later, when it no longer holds everything.
        let answer = Arc::new(GatewayPollAnswer {
            is_certain: false,
            ..self.answer_to(newest, steering.changes_since(index))
        });
        self.large_answers.keep(index, &answer, self.now_us);
        answer
    }

    fn answer_to(&self, revision: u64, changes: SteeringChanges) -> GatewayPollAnswer {
        let status = self.raft.status();
        let voters = status.membership.voters.iter();
        let members = voters.chain(&status.membership.learners);
        GatewayPollAnswer {
            newest: self.state.steering().revision(),
            revision,
            held_back: 0,
            clock_ms: self.log_clock_ms(),
            knows_leader: status.leader.is_some(),
            is_current: self.raft.is_current(),
            is_certain: self.is_certain_leader(),
            number: 0,
            members: members.map(|id| id.name.clone()).collect(),
            gateways: self.gateways.len(),
            interval_ms: gateway_poll_interval_ms(self.gateways.len()),
            changes,
            tokens: None,
        }
    }

    fn has_large_changes_since(&self, index: u64) -> bool {
        self.state.steering().count_changes_since(index) > SMALL_CHANGES_MAX
    }

    /// Grants a gateway tokens, if this replica certainly leads.
    fn grant_tokens(&mut self, body: &GatewayPoll) -> Option<TokenAnswer> {
        let report = body.tokens.as_ref()?;
        let applied_term = self.raft.term_at(self.state.applied_index());
        let gateways = self.gateways.seen_count();
        let steering = self.state.steering();
        self.shares.grant_tokens(
            self.now_us,
            steering,
            applied_term,
            gateways,
            body.gateway.clone(),
            report,
        )
    }

    /// Whether this replica certainly leads, so that its state holds all that was ever confirmed.
    fn is_certain_leader(&self) -> bool {
        let applied_term = self.raft.term_at(self.state.applied_index());
        self.shares.is_certain(self.with_suspension(), applied_term)
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
        let at_ms = self.log_clock_ms();
        match self.state.steering().compare(&registration, at_ms) {
            RegistrationStatus::UnknownService => self.heartbeats.count_unknown_service(),
            status => {
                let is_recorded = self.is_recorded_run(&registration.id, registration.born_ms);
                let heartbeats = &mut self.heartbeats;
                match heartbeats.handle(&registration, status, is_recorded, self.now_us) {
                    Verdict::Propose => {
                        return self.steer(request, Change::Register(registration), outputs);
                    }
                    Verdict::Ignore => {}
                }
            }
        }
        // An instance whose notice to drain is confirmed counts on getting no further requests.
        let answer = match registration.draining && self.is_ready(&registration.id) {
            true => Err(ApiError::TooBusy),
            false => Ok(Answer::Steered(plan::ChangeResult::Applied)),
        };
        outputs.push(Output::Answer { request, answer });
    }

    /// Proposes a change. A notice to leave gets the time at which it came.
    pub(crate) fn handle_change(
        &mut self,
        request: u64,
        mut change: Change,
        outputs: &mut Vec<Output>,
    ) {
        if let Change::Leave {
            id, received_ms, ..
        } = &mut change
        {
            *received_ms = self.heartbeats.earliest_unix_ms(self.with_suspension());
            if self.is_leader && self.state.steering().instance(id.as_str()).is_none() {
                self.heartbeats.count_unrecorded_leave();
            }
        }
        self.steer(request, change, outputs);
    }

    fn is_ready(&self, id: &UpstreamName) -> bool {
        let instance = self.state.steering().instance(id.as_str());
        instance.is_some_and(|it| it.state == InstanceState::Ready)
    }

    fn is_recorded_run(&self, id: &UpstreamName, born_ms: u64) -> bool {
        let instance = self.state.steering().instance(id.as_str());
        instance.is_some_and(|it| it.born_ms == born_ms)
    }

    /// Proposes a change of the plan, the evacuations or the instances.
    pub(crate) fn steer(&mut self, request: u64, change: Change, outputs: &mut Vec<Output>) {
        self.propose(request, String::new(), Operation::Steer(change), outputs);
    }

    /// As the leader, proposes the expiry of silent instances.
    pub(crate) fn expire_instances(&mut self, outputs: &mut Vec<Output>) {
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
    }

    pub(crate) fn not_leader(&self) -> ApiError {
        let leader = self.raft.status().leader;
        self.api_error(raft::ProposeError::NotLeader { leader })
    }
}
