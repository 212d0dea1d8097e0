//! The control replica.

use crate::{
    api::{Answer, ControlConfig, ControlError, Input, Output, Poll, PollAnswer, Request},
    clock::LogClock,
    entries::Entries,
    gateways::Gateways,
    heartbeats::Heartbeats,
    pending::{Pending, Wait},
    shares::{LEADERSHIP_READ, Shares},
    watches::{Watches, see},
};
use claim::Layout;
use raft::{Entry, Payload, ProposeError, Raft, Restored, Role, Snapshot, Status};
use share::HolderId;
use state::{Command, Operation, State};
use std::collections::BTreeSet;
use types::{ApiError, TimeUs};

/// Names what the replica asks of its own log; no request has it.
pub(crate) const OWN_REQUEST: u64 = u64::MAX;

/// A pause between two events as long as this means that the process stood still.
const FREEZE_MIN_US: u64 = 1_000_000;

/// How often the leader looks for replaced entry sets whose time is over.
const LAYOUT_CHECK_MS: u64 = 10_000;

/// A control replica without input or output.
///
/// What it answers with, it has applied; what it has applied, a majority has synced.
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
    pub(crate) members_check_us: TimeUs,
    /// The members that others named while this replica knew no leader.
    pub(crate) named: BTreeSet<String>,
    clock: LogClock,
    pub(crate) snapshot_index: u64,
    pub(crate) leads: bool,
    broken: bool,
    layout_check_us: TimeUs,
    pub(crate) now_us: TimeUs,
}

impl Control {
    /// A replica with what the shell read back from its data folder.
    #[must_use]
    pub fn new(config: ControlConfig, restored: Restored, now_us: TimeUs) -> Self {
        Self {
            raft: Raft::new(config.raft.clone(), restored, now_us.0),
            state: State::new(),
            entries: Entries::new(now_us),
            pending: Pending::default(),
            watches: Watches::default(),
            shares: Shares::new(config.raft.election_us),
            gateways: Gateways::default(),
            heartbeats: Heartbeats::new(config.instance_silence_us, now_us),
            members_check_us: now_us,
            named: BTreeSet::new(),
            clock: LogClock::new(now_us),
            config,
            snapshot_index: 0,
            leads: false,
            broken: false,
            layout_check_us: now_us,
            now_us,
        }
    }

    /// Takes an event at a time of the process's clock.
    pub fn step(&mut self, now_us: TimeUs, input: Input, outputs: &mut Vec<Output>) {
        if self.broken {
            return;
        }
        if now_us.since_us(self.now_us) > FREEZE_MIN_US {
            self.heartbeats.listen_anew(now_us);
        }
        self.now_us = self.now_us.max(now_us);
        self.entries.advance(self.now_us);
        match input {
            Input::Tick => self.tick(outputs),
            Input::Receive { from, message } => {
                self.step_log(raft::Input::Receive { from, message }, outputs);
            }
            Input::Persisted { ticket } => {
                self.step_log(raft::Input::Persisted { ticket }, outputs);
            }
            Input::StorageFailed => self.step_log(raft::Input::StorageFailed, outputs),
            Input::Request { request, body } => self.take_request(request, body, outputs),
            Input::Cancel { request } => {
                self.pending.take(request);
                self.watches.remove(request);
            }
            Input::Poll { poll, body } => self.answer_poll(poll, &body, outputs),
            Input::Follow { follow, body } => self.answer_follow(follow, &body, outputs),
            Input::Join { join, from } => self.join(join, from, outputs),
            Input::Members { names } => self.note_members(names),
        }
        self.expire(outputs);
        outputs.retain(|output| !is_own_answer(output));
    }

    /// The log's view of this replica.
    #[must_use]
    pub fn status(&self) -> Status {
        self.raft.status()
    }

    /// The declared resources as far as this replica has applied them.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// When the replica next has something to do without another event.
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
        self.step_log(raft::Input::Tick, outputs);
        if self.shares.asks(self.now_us) {
            let request = LEADERSHIP_READ;
            self.step_log(raft::Input::Read { request }, outputs);
        }
        self.renew_layout(outputs);
        self.tend(outputs);
    }

    /// As the leader, lets replaced entry sets end whose time is over, also without other changes.
    fn renew_layout(&mut self, outputs: &mut Vec<Output>) {
        if !self.leads || !self.layout_check_us.reached(self.now_us) {
            return;
        }
        self.layout_check_us = self.now_us.after_ms(LAYOUT_CHECK_MS);
        let at_ms = self.clock.at_ms(&self.state, self.now_us);
        if self.state.layout_is_due(at_ms) {
            let request_id = format!("layout-{}", self.state.layout_epoch());
            let nothing = Operation::Apply {
                declarations: Vec::new(),
                prune: false,
            };
            self.propose(OWN_REQUEST, request_id, nothing, outputs);
        }
    }

    fn take_request(&mut self, request: u64, body: Request, outputs: &mut Vec<Output>) {
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
                self.wait(request, Wait::Confirm { query: body });
                self.step_log(raft::Input::Read { request }, outputs);
            }
            Request::Admit { id, replaces } => {
                self.wait(request, Wait::Admit { id: id.clone() });
                let admit = raft::Input::Admit {
                    request,
                    id,
                    replaces,
                };
                self.step_log(admit, outputs);
            }
            Request::Change {
                request_id,
                operation,
            } => self.propose(request, request_id, operation, outputs),
            Request::Steer { change } => self.steer(request, change, outputs),
            Request::Register { registration } => self.register(request, registration, outputs),
        }
    }

    fn wait(&mut self, request: u64, wait: Wait) {
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
            at_ms: self.clock.at_ms(&self.state, self.now_us),
            operation,
        };
        let Ok(data) = command.encode() else {
            outputs.push(Output::Answer {
                request,
                answer: Err(ApiError::Unavailable),
            });
            return;
        };
        let wait = Wait::Propose {
            request_id: command.request_id,
            operation: command.operation,
        };
        self.wait(request, wait);
        self.step_log(raft::Input::Propose { request, data }, outputs);
    }

    fn watch(&mut self, request: u64, from: u64, wait_ms: u64, outputs: &mut Vec<Output>) {
        let answer = if from < self.state.revision() {
            see(&self.state, from).map(Answer::Watched)
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
        self.entries.polled(&self.state, body, self.now_us);
        let status = self.raft.status();
        let applied_term = self.raft.term_at(self.state.applied_index());
        let holder = HolderId {
            entry: body.entry.clone(),
            incarnation: body.incarnation,
        };
        let grants =
            self.shares
                .grant(self.now_us, &self.state, applied_term, &holder, &body.wants);
        outputs.push(Output::PollAnswer {
            poll,
            answer: PollAnswer {
                last_index: status.last_index,
                applied_index: self.state.applied_index(),
                membership_index: status.membership_index,
                voters: u32::try_from(status.membership.voters.len()).unwrap_or(u32::MAX),
                votes: status.membership.voters.contains(&status.id),
                changes: self.state.changes_since(body.applied_index),
                layout: self.layout_since(body.layout_epoch),
                grants,
            },
        });
    }

    fn layout_since(&self, known_epoch: Option<u64>) -> Option<Layout> {
        (known_epoch != Some(self.state.layout_epoch())).then(|| self.state.layout())
    }

    /// Hands an event to the log and carries out what comes of it.
    pub(crate) fn step_log(&mut self, input: raft::Input, outputs: &mut Vec<Output>) {
        let mut log_outputs = Vec::new();
        self.raft.step(self.now_us.0, input, &mut log_outputs);
        let revision = self.state.revision();
        for log_output in log_outputs {
            self.take_log_output(log_output, outputs);
        }
        if self.broken {
            return;
        }
        if self.state.revision() != revision {
            for (request, watched) in self.watches.take_changed(&self.state) {
                let answer = watched.map(Answer::Watched);
                outputs.push(Output::Answer { request, answer });
            }
        }
        if self.state.applied_index() >= self.snapshot_index + self.config.snapshot_entries {
            self.take_snapshot(outputs);
        }
    }

    fn take_log_output(&mut self, log_output: raft::Output, outputs: &mut Vec<Output>) {
        match log_output {
            raft::Output::Send { to, message } => outputs.push(Output::Send { to, message }),
            raft::Output::Persist(persist) => outputs.push(Output::Persist(persist)),
            raft::Output::Apply(entry) => self.apply(&entry, outputs),
            raft::Output::Restore(snapshot) => self.restore(&snapshot, outputs),
            raft::Output::Proposed {
                request,
                index,
                term,
            } => {
                self.pending.proposed(request, index, term);
                self.answer_reached(outputs);
            }
            raft::Output::Rejected {
                request: LEADERSHIP_READ,
                ..
            } => self.shares.unconfirmed(),
            raft::Output::ReadReady {
                request: LEADERSHIP_READ,
                ..
            } => self.shares.confirmed(),
            raft::Output::Rejected { request, error } => {
                if self.pending.take(request).is_some() {
                    let answer = Err(self.log_error(error));
                    outputs.push(Output::Answer { request, answer });
                }
            }
            raft::Output::ReadReady { request, index } => {
                self.pending.read_ready(request, index);
                self.answer_reached(outputs);
            }
            raft::Output::Changed(status) => {
                let leads = status.role == Role::Leader;
                if leads && !self.leads {
                    self.entries.listen_anew(self.now_us);
                    self.heartbeats.listen_anew(self.now_us);
                }
                self.leads = leads;
                self.shares.follow(leads, &status, self.now_us);
                outputs.push(Output::Changed(status));
            }
        }
    }

    /// The log's clock now.
    pub(crate) const fn log_clock_ms(&self) -> u64 {
        self.clock.at_ms(&self.state, self.now_us)
    }

    fn http_address(&self, name: &str) -> Option<String> {
        let declared = self.config.http_addresses.get(name).cloned();
        let port = self.config.http_port;
        declared.or_else(|| port.map(|port| format!("{name}:{port}")))
    }

    fn take_snapshot(&mut self, outputs: &mut Vec<Output>) {
        let index = self.state.applied_index();
        match self.state.encode() {
            Ok(data) => {
                self.snapshot_index = index;
                self.step_log(raft::Input::SnapshotTaken { index, data }, outputs);
            }
            Err(error) => self.break_off(ControlError::snapshot(index, &error), outputs),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot, outputs: &mut Vec<Output>) {
        match State::decode(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                return self.break_off(ControlError::snapshot(snapshot.index, &error), outputs);
            }
        }
        self.state.skip(snapshot.index);
        self.snapshot_index = snapshot.index;
        self.clock.applied(self.now_us);
        self.entries.revision_applied(&self.state, self.now_us);
        for (request, wait) in self.pending.take_reached(snapshot.index) {
            self.answer_restored(request, wait, outputs);
        }
    }

    fn apply(&mut self, entry: &Entry, outputs: &mut Vec<Output>) {
        let revision = self.state.revision();
        let applied = match &entry.payload {
            Payload::Noop | Payload::Membership(_) => {
                self.state.skip(entry.index);
                None
            }
            Payload::Command(data) => match Command::decode(data) {
                Ok(command) => Some(self.state.apply(entry.index, &command)),
                Err(error) => {
                    return self.break_off(ControlError::command(entry.index, &error), outputs);
                }
            },
        };
        self.clock.applied(self.now_us);
        if self.state.revision() != revision {
            self.entries.revision_applied(&self.state, self.now_us);
        }
        for (request, wait) in self.pending.take_reached(entry.index) {
            self.answer_applied(request, wait, entry.term, applied.as_ref(), outputs);
        }
    }

    fn break_off(&mut self, error: ControlError, outputs: &mut Vec<Output>) {
        self.broken = true;
        outputs.push(Output::Broken(error));
    }

    fn expire(&mut self, outputs: &mut Vec<Output>) {
        for request in self.pending.take_expired(self.now_us) {
            outputs.push(Output::Answer {
                request,
                answer: Err(ApiError::Unavailable),
            });
        }
        for (request, watched) in self.watches.take_expired(self.now_us) {
            outputs.push(Output::Answer {
                request,
                answer: Ok(Answer::Watched(watched)),
            });
        }
    }

    pub(crate) fn log_error(&self, error: ProposeError) -> ApiError {
        match error {
            ProposeError::NotLeader { leader } => ApiError::NotLeader {
                leader: leader.and_then(|id| self.http_address(&id.name)),
            },
            ProposeError::ChangeUnderWay | ProposeError::Busy => ApiError::TooBusy,
            ProposeError::StorageFailed | ProposeError::LastVoter => ApiError::Unavailable,
        }
    }
}

/// Whether this is the answer to a command of the replica itself, which nobody waits for.
const fn is_own_answer(output: &Output) -> bool {
    matches!(
        output,
        Output::Answer {
            request: OWN_REQUEST,
            ..
        }
    )
}
