//! [`Control`], the state machine of a control replica: dispatches each input, drives the
//! replicated log, applies its entries and answers the requests that wait for them.

use crate::{
    api::{Answer, ControlConfig, ControlError, Input, Output, Poll, PollAnswer, Request},
    clock::LogClock,
    entries::Entries,
    gateways::Gateways,
    heartbeats::Heartbeats,
    large_answers::LargeAnswers,
    pending::{Pending, Wait},
    shares::{LEADERSHIP_READ, Shares},
    snapshots::Snapshots,
    watches::{Watches, changes_after},
};
use claim::Layout;
use raft::{Entry, Payload, ProposeError, Raft, Restored, Role, Status};
use share::HolderId;
use state::{Command, Operation, State};
use std::collections::BTreeSet;
use types::{ApiError, TimeUs};

/// The request number of proposals that the replica itself makes; no other request uses it.
pub(crate) const INTERNAL_REQUEST: u64 = u64::MAX;

/// A longer gap between two events means that the process was suspended.
const PROCESS_PAUSE_US: u64 = 1_000_000;

/// How often the leader checks whether an entry set in the layout of claims, replaced by a later
/// one, has expired, in milliseconds.
const LAYOUT_CHECK_PERIOD_MS: u64 = 10_000;

/// A control replica without input or output.
///
/// Reads of declared resources and of the plan are answered only from applied log entries, and a
/// log entry is applied only after a majority has synced it.
#[derive(Debug)]
pub struct Control {
    pub(crate) config: ControlConfig,
    pub(crate) raft: Raft,
    pub(crate) state: State,
    pub(crate) entries: Entries,
    pub(crate) pending: Pending,
    pub(crate) watches: Watches,
    pub(crate) shares: Shares,
    pub(crate) gateways: Gateways,
    pub(crate) heartbeats: Heartbeats,
    pub(crate) large_answers: LargeAnswers,
    pub(crate) next_member_check_us: TimeUs,
    /// The names of members that other replicas reported when this one asked for admission.
    pub(crate) reported_members: BTreeSet<String>,
    pub(crate) clock: LogClock,
    pub(crate) snapshots: Snapshots,
    pub(crate) is_leader: bool,
    failed: bool,
    next_layout_check_us: TimeUs,
    pub(crate) now_us: TimeUs,
    /// For how long the machine was suspended, in microseconds since an origin of the process.
    suspended_us: u64,
}

impl Control {
    /// A replica that continues from `restored`, the contents of its data folder.
    #[must_use]
    pub fn new(config: ControlConfig, restored: Restored, now_us: TimeUs) -> Self {
        Self {
            raft: Raft::new(config.raft.clone(), restored, now_us.0),
            state: State::new(),
            entries: Entries::new(now_us),
            pending: Pending::default(),
            watches: Watches::default(),
            shares: Shares::new(config.raft.election_timeout_min_us, config.quota_terms),
            gateways: Gateways::default(),
            heartbeats: Heartbeats::new(config.instance_timeout_us, now_us),
            large_answers: LargeAnswers::default(),
            next_member_check_us: now_us,
            reported_members: BTreeSet::new(),
            clock: LogClock::new(now_us),
            config,
            snapshots: Snapshots::default(),
            is_leader: false,
            failed: false,
            next_layout_check_us: now_us,
            now_us,
            suspended_us: 0,
        }
    }

    /// Sets the VM's clock, in Unix milliseconds. It only tells whether an instance claims to have
    /// started in the future, and which runs had started when an instance leaves, so that a rough value
    /// will do.
    pub fn set_unix_ms(&mut self, unix_ms: u64) {
        self.heartbeats.set_unix_ms(unix_ms, self.with_suspension());
    }

    /// Sets for how long the machine was suspended since an origin of the process, in microseconds. To be
    /// called before each [`Self::step`]: a leader that was suspended may have been replaced meanwhile,
    /// though its clock stood still.
    pub fn set_suspended_us(&mut self, suspended_us: u64) {
        self.suspended_us = self.suspended_us.max(suspended_us);
    }

    /// The time of a clock that counts the time in which the machine was suspended.
    pub(crate) const fn with_suspension(&self) -> TimeUs {
        self.now_us.after_us(self.suspended_us)
    }

    /// Handles an event at `now_us`, a time of the process's monotonic clock, and appends what is
    /// to be done. Does nothing after [`Output::Failed`].
    pub fn step(&mut self, now_us: TimeUs, input: Input, outputs: &mut Vec<Output>) {
        if self.failed {
            return;
        }
        if now_us.since_us(self.now_us) > PROCESS_PAUSE_US {
            self.heartbeats.reset(now_us);
        }
        self.now_us = self.now_us.max(now_us);
        self.entries.record_event(self.now_us);
        match input {
            Input::Tick => self.tick(outputs),
            Input::Receive { from, message } => {
                self.step_raft(raft::Input::Receive { from, message }, outputs);
            }
            Input::Persisted { ticket } => {
                self.step_raft(raft::Input::Persisted { ticket }, outputs);
            }
            Input::StorageFailed => self.step_raft(raft::Input::StorageFailed, outputs),
            Input::Request { request, body } => self.handle_request(request, body, outputs),
            Input::Cancel { request } => {
                self.pending.take(request);
                self.watches.remove(request);
            }
            Input::Poll { poll, body } => self.answer_poll(poll, &body, outputs),
            Input::GatewayPoll {
                poll,
                body,
                received_us,
            } => self.handle_gateway_poll(poll, &body, received_us, outputs),
            Input::Join { join, from } => self.join(join, from, outputs),
            Input::Members { names } => self.add_reported_members(names),
        }
        self.answer_expired(outputs);
        outputs.retain(|output| !is_internal_answer(output));
    }

    /// Role, term, leader, membership and indexes in the replicated log.
    #[must_use]
    pub fn status(&self) -> Status {
        self.raft.status()
    }

    /// The state as of the last log entry that this replica has applied.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// The next deadline of the log, a pending request or an open watch: the caller must pass
    /// [`Input::Tick`] by then. The reads that confirm leadership, the checks of silent instances
    /// and voters and the check of the layout are not in it; they run with whatever tick comes.
    #[must_use]
    pub fn next_deadline_us(&self) -> Option<TimeUs> {
        [
            self.raft.next_deadline_us().map(TimeUs),
            self.pending.next_deadline_us(),
            self.watches.next_deadline_us(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn tick(&mut self, outputs: &mut Vec<Output>) {
        self.step_raft(raft::Input::Tick, outputs);
        if self.shares.start_due_confirmation(self.with_suspension()) {
            let request = LEADERSHIP_READ;
            self.step_raft(raft::Input::Read { request }, outputs);
        }
        self.propose_due_layout(outputs);
        self.expire_instances(outputs);
        self.check_members(outputs);
        self.large_answers.expire(self.now_us);
    }

    /// As the leader, proposes an empty change when a replaced entry set has expired, so that the
    /// layout is updated also while nobody declares anything.
    fn propose_due_layout(&mut self, outputs: &mut Vec<Output>) {
        if !self.is_leader || !self.next_layout_check_us.reached(self.now_us) {
            return;
        }
        self.next_layout_check_us = self.now_us.after_ms(LAYOUT_CHECK_PERIOD_MS);
        let at_ms = self.clock.now_ms(&self.state, self.now_us);
        if self.state.layout_is_due(at_ms) {
            let request_id = format!("layout-{}", self.state.layout_epoch());
            let empty_change = Operation::Apply {
                declarations: Vec::new(),
                prune: false,
            };
            self.propose(INTERNAL_REQUEST, request_id, empty_change, outputs);
        }
    }

    fn handle_request(&mut self, request: u64, body: Request, outputs: &mut Vec<Output>) {
        match body {
            Request::Replicas => outputs.push(Output::Answer {
                request,
                answer: Ok(self.replicas()),
            }),
            Request::Watch { from, wait_ms } => self.watch(request, from, wait_ms, outputs),
            Request::Locate {
                region,
                failure_domain,
            } => {
                let answer = Ok(self.locate(&region, &failure_domain));
                outputs.push(Output::Answer { request, answer });
            }
            _ if self.pending.is_full() => outputs.push(Output::Answer {
                request,
                answer: Err(ApiError::TooBusy),
            }),
            Request::List { .. }
            | Request::Get { .. }
            | Request::Preview { .. }
            | Request::ReadPlan => {
                self.add_pending(request, Wait::ReadConfirmed { query: body });
                self.step_raft(raft::Input::Read { request }, outputs);
            }
            Request::Admit { id, replaces } => {
                self.add_pending(request, Wait::AdmissionProposed { id: id.clone() });
                let admit = raft::Input::Admit {
                    request,
                    id,
                    replaces,
                };
                self.step_raft(admit, outputs);
            }
            Request::Change {
                request_id,
                operation,
            } => self.propose(request, request_id, operation, outputs),
            Request::Steer { change } => self.handle_change(request, change, outputs),
            Request::Register { registration } => self.register(request, registration, outputs),
        }
    }

    fn add_pending(&mut self, request: u64, wait: Wait) {
        let deadline_us = self.now_us.after_us(self.config.request_timeout_us);
        self.pending.add(request, deadline_us, wait);
    }

    pub(crate) fn propose(
        &mut self,
        request: u64,
        request_id: String,
        operation: Operation,
        outputs: &mut Vec<Output>,
    ) {
        let command = Command {
            request_id,
            at_ms: self.clock.now_ms(&self.state, self.now_us),
            operation,
        };
        let Ok(data) = command.encode() else {
            outputs.push(Output::Answer {
                request,
                answer: Err(ApiError::Unavailable),
            });
            return;
        };
        let wait = Wait::Proposed {
            request_id: command.request_id,
            operation: command.operation,
        };
        self.add_pending(request, wait);
        self.step_raft(raft::Input::Propose { request, data }, outputs);
    }

    fn watch(&mut self, request: u64, from: u64, wait_ms: u64, outputs: &mut Vec<Output>) {
        let answer = if from < self.state.revision() {
            changes_after(&self.state, from).map(Answer::Watched)
        } else if self.watches.is_full() {
            Err(ApiError::TooBusy)
        } else {
            self.watches
                .add(request, from, self.now_us.after_ms(wait_ms));
            return;
        };
        outputs.push(Output::Answer { request, answer });
    }

    fn answer_poll(&mut self, poll: u64, body: &Poll, outputs: &mut Vec<Output>) {
        self.entries.record_poll(&self.state, body, self.now_us);
        let status = self.raft.status();
        let applied_term = self.raft.term_at(self.state.applied_index());
        let holder = HolderId {
            entry: body.entry.clone(),
            incarnation: body.incarnation,
        };
        let now_us = self.with_suspension();
        let grants = self
            .shares
            .grant(now_us, &self.state, applied_term, &holder, &body.wants);
        outputs.push(Output::PollAnswer {
            poll,
            answer: PollAnswer {
                last_index: status.last_index,
                applied_index: self.state.applied_index(),
                membership_index: status.membership_index,
                voters: u32::try_from(status.membership.voters.len()).unwrap_or(u32::MAX),
                is_voter: status.membership.voters.contains(&status.id),
                changes: self.state.changes_since(body.applied_index),
                layout: self.layout_since(body.layout_epoch),
                grants,
            },
        });
    }

    fn layout_since(&self, known_epoch: Option<u64>) -> Option<Layout> {
        (known_epoch != Some(self.state.layout_epoch())).then(|| self.state.layout())
    }

    /// Passes an event to the log and handles its outputs.
    pub(crate) fn step_raft(&mut self, input: raft::Input, outputs: &mut Vec<Output>) {
        let mut raft_outputs = Vec::new();
        self.raft.step(self.now_us.0, input, &mut raft_outputs);
        let revision = self.state.revision();
        for raft_output in raft_outputs {
            self.handle_raft_output(raft_output, outputs);
        }
        if self.failed {
            return;
        }
        if self.state.revision() != revision {
            for (request, answer) in self.watches.take_changed(&self.state) {
                let answer = answer.map(Answer::Watched);
                outputs.push(Output::Answer { request, answer });
            }
        }
        self.take_due_snapshot(outputs);
    }

    fn handle_raft_output(&mut self, raft_output: raft::Output, outputs: &mut Vec<Output>) {
        match raft_output {
            raft::Output::Send { to, message } => outputs.push(Output::Send { to, message }),
            raft::Output::Persist(persist) => outputs.push(Output::Persist(persist)),
            raft::Output::Apply(entry) => self.apply(&entry, outputs),
            raft::Output::Restore(snapshot) => self.restore(&snapshot, outputs),
            raft::Output::Proposed {
                request,
                index,
                term,
            } => {
                self.pending.mark_proposed(request, index, term);
                self.answer_applied(outputs);
            }
            raft::Output::Rejected {
                request: LEADERSHIP_READ,
                ..
            } => self.shares.record_rejected(),
            raft::Output::ReadReady {
                request: LEADERSHIP_READ,
                ..
            } => self.shares.record_confirmed(),
            raft::Output::Rejected { request, error } => {
                if self.pending.take(request).is_some() {
                    let answer = Err(self.api_error(error));
                    outputs.push(Output::Answer { request, answer });
                }
            }
            raft::Output::ReadReady { request, index } => {
                self.pending.mark_read_confirmed(request, index);
                self.answer_applied(outputs);
            }
            raft::Output::StatusChanged(status) => {
                let is_leader = status.role == Role::Leader;
                if is_leader && !self.is_leader {
                    self.entries.restart_silence(self.now_us);
                    self.heartbeats.reset(self.now_us);
                }
                self.is_leader = is_leader;
                let now_us = self.with_suspension();
                self.shares.update_role(is_leader, &status, now_us);
                outputs.push(Output::Changed(status));
            }
        }
    }

    /// The log's clock, in milliseconds.
    pub(crate) const fn log_clock_ms(&self) -> u64 {
        self.clock.now_ms(&self.state, self.now_us)
    }

    fn http_address(&self, name: &str) -> Option<String> {
        let declared = self.config.http_addresses.get(name).cloned();
        let port = self.config.http_port;
        declared.or_else(|| port.map(|port| format!("{name}:{port}")))
    }

    fn apply(&mut self, entry: &Entry, outputs: &mut Vec<Output>) {
        let revision = self.state.revision();
        let applied = match &entry.payload {
            Payload::Noop | Payload::Membership(_) => {
                self.state.skip(entry.index);
                None
            }
            Payload::Command(data) => {
                self.snapshots.record_applied(data);
                match Command::decode(data) {
                    Ok(command) => Some(self.state.apply(entry.index, &command)),
                    Err(error) => {
                        return self.fail(ControlError::command(entry.index, &error), outputs);
                    }
                }
            }
        };
        self.clock.record_applied(self.now_us);
        if self.state.revision() != revision {
            self.entries
                .record_applied_revision(&self.state, self.now_us);
        }
        for (request, wait) in self.pending.take_applied(entry.index) {
            self.answer_from_result(request, wait, entry.term, applied.as_ref(), outputs);
        }
    }

    pub(crate) fn fail(&mut self, error: ControlError, outputs: &mut Vec<Output>) {
        self.failed = true;
        outputs.push(Output::Failed(error));
    }

    fn answer_expired(&mut self, outputs: &mut Vec<Output>) {
        for request in self.pending.take_expired(self.now_us) {
            outputs.push(Output::Answer {
                request,
                answer: Err(ApiError::Unavailable),
            });
        }
        for (request, answer) in self.watches.take_expired(self.now_us) {
            outputs.push(Output::Answer {
                request,
                answer: Ok(Answer::Watched(answer)),
            });
        }
    }

    pub(crate) fn api_error(&self, error: ProposeError) -> ApiError {
        match error {
            ProposeError::NotLeader { leader } => ApiError::NotLeader {
                leader: leader.and_then(|id| self.http_address(&id.name)),
            },
            ProposeError::MembershipChangePending | ProposeError::Busy => ApiError::TooBusy,
            ProposeError::StorageFailed | ProposeError::LastVoter => ApiError::Unavailable,
        }
    }
}

/// Whether this answers a proposal of the replica itself, which no caller waits for.
const fn is_internal_answer(output: &Output) -> bool {
    matches!(
        output,
        Output::Answer {
            request: INTERNAL_REQUEST,
            ..
        }
    )
}
