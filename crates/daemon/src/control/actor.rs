//! The actor that owns a control replica's core. It turns link frames, requests, ticks and finished
//! writes into inputs of the core, and carries out the core's outputs.

use crate::{
    clock::Clock,
    control::{
        convert, encoded_answers::EncodedAnswers, metrics::ControlMetrics, storage::Storage,
    },
    replicas::ReplicaLinks,
};
use control::{Answer, Control, Input, Output, Request};
use kameo::{
    Actor,
    actor::ActorRef,
    error::Infallible,
    message::{Context, Message},
};
use link::{Event, FrameSender, Peer};
use raft::{ReplicaId, Status};
use slog::{Logger, crit, info, warn};
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{oneshot, watch},
    time::Instant,
};
use types::{ApiError, TimeUs};
use wire::peer::{Frame, Join, JoinAnswer, RaftMessage, frame::Body};

/// Interval in milliseconds at which a replica that knows no leader asks to join the group.
const JOIN_INTERVAL_MS: u64 = 500;

/// Everything that the actor needs to start.
#[derive(Debug)]
pub struct ControlArgs {
    /// The core, restored from the data folder.
    pub core: Control,
    /// Name and incarnation of this replica, as stored in its data folder.
    pub id: ReplicaId,
    /// The clock that the core was started with.
    pub clock: Clock,
    /// Outbound links to the other replicas.
    pub replicas: ReplicaLinks,
    /// Names of the replicas from the settings (declared ones or seeds), dialed whether or not they
    /// are members.
    pub configured_replicas: Vec<String>,
    /// Queue to the thread that writes the data folder.
    pub storage: Storage,
    /// Metrics of the replica.
    pub metrics: Arc<ControlMetrics>,
    /// Set when the replica has failed.
    pub failure: watch::Sender<Option<ReplicaFailure>>,
    /// Logger of the process.
    pub log: Logger,
}

/// Owns a control replica's core.
#[derive(Debug)]
pub struct ControlActor {
    args: ControlArgs,
    requests: HashMap<u64, oneshot::Sender<Result<Answer, ApiError>>>,
    /// Frame serial and reply channel of each entry's poll, gateway's poll and join that the core
    /// handles.
    reply_targets: HashMap<u64, (u64, FrameSender)>,
    /// Next ID of a request, of either kind of poll, or of a join.
    next_request: u64,
    /// When to ask next to join the group.
    next_join_us: TimeUs,
    outputs: Vec<Output>,
    encoded_answers: EncodedAnswers,
}

impl Actor for ControlActor {
    type Args = ControlArgs;
    type Error = Infallible;

    async fn on_start(args: Self::Args, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        let mut actor = Self {
            next_join_us: args.clock.now_us(),
            args,
            requests: HashMap::new(),
            reply_targets: HashMap::new(),
            next_request: 1,
            outputs: Vec::new(),
            encoded_answers: EncodedAnswers::default(),
        };
        actor.dial_members();
        Ok(actor)
    }
}

/// Why a replica has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaFailure {
    /// The log or a snapshot can't be decoded by this version of the program.
    Unreadable,
    /// A write to the data folder failed. A restart may succeed, for example after a full disk.
    Storage,
}

/// Sent once per tick period.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// A write and all before it are synced to disk.
#[derive(Clone, Copy, Debug)]
pub struct Persisted {
    /// The ticket of the write.
    pub ticket: u64,
}

/// A write to the data folder failed; the writing thread has ended.
#[derive(Clone, Copy, Debug)]
pub struct StorageFailed;

/// Submits a request of an operator, instance or client. The reply is its ID.
#[derive(Debug)]
pub struct Submit {
    /// The decoded request.
    pub body: Request,
    /// Receives the answer.
    pub answer: oneshot::Sender<Result<Answer, ApiError>>,
}

/// The caller of a request has closed its connection before the answer.
#[derive(Clone, Copy, Debug)]
pub struct Cancel {
    /// The ID that [`Submit`] returned.
    pub request: u64,
}

/// Asks for the core's state as JSON.
#[derive(Clone, Copy, Debug)]
pub struct Dump;

/// An event of a link to another replica, an entry or a gateway.
#[derive(Debug)]
pub struct LinkEvent {
    event: Event,
    received: Instant,
}

impl LinkEvent {
    /// An event that is received now.
    pub fn new(event: Event) -> Self {
        Self {
            event,
            received: Instant::now(),
        }
    }
}

impl ControlActor {
    fn now_us(&self) -> TimeUs {
        self.args.clock.now_us()
    }

    fn step(&mut self, input: Input) {
        self.args
            .core
            .set_suspended_us(self.args.clock.suspended_us());
        let now_us = self.now_us();
        let before = self.args.core.state().steering().version();
        self.args.core.step(now_us, input, &mut self.outputs);
        for output in std::mem::take(&mut self.outputs) {
            self.handle_output(output);
        }
        let steering = self.args.core.state().steering();
        if steering.version() != before {
            info!(self.args.log, "plan applied";
                "version" => steering.version(), "revision" => steering.revision(),
                "tenants" => steering.plan().map(|plan| plan.tenants.len()),
                "keys" => steering.plan().map(|plan| plan.key_use().to_string()));
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                let body = Some(Body::Raft(wire::raft_to_wire(&to, message)));
                self.args.replicas.send(&to.name, Frame { serial: 0, body });
            }
            Output::Persist(persist) => {
                self.args.metrics.persists.inc();
                self.args.storage.persist(persist);
            }
            Output::Answer { request, answer } => {
                if let Some(sender) = self.requests.remove(&request) {
                    let _ = sender.send(answer);
                }
            }
            Output::PollAnswer { poll, answer } => self.reply_to_poll(poll, &answer),
            Output::GatewayPollAnswer {
                poll,
                answer,
                is_shared,
            } => self.reply_to_gateway_poll(poll, &answer, is_shared),
            Output::JoinAnswer { join, members } => {
                if let Some((serial, sender)) = self.reply_targets.remove(&join) {
                    let body = Some(Body::JoinAnswer(JoinAnswer { members }));
                    let _ = sender.try_send(Frame { serial, body });
                }
            }
            Output::Changed(status) => {
                self.log_status(&status);
                self.dial_members();
            }
            Output::Failed(error) => {
                crit!(self.args.log, "this replica stops: its log or a snapshot can't be read";
                    "error" => %error);
                self.args
                    .failure
                    .send_replace(Some(ReplicaFailure::Unreadable));
            }
        }
    }

    fn reply_to_poll(&mut self, poll: u64, answer: &control::PollAnswer) {
        let Some((serial, sender)) = self.reply_targets.remove(&poll) else {
            return;
        };
        if let Ok(answer) = convert::poll_answer(answer) {
            let body = Some(Body::PollAnswer(answer));
            let _ = sender.try_send(Frame { serial, body });
        }
    }

    fn reply_to_gateway_poll(
        &mut self,
        poll: u64,
        answer: &Arc<control::GatewayPollAnswer>,
        is_shared: bool,
    ) {
        let Some((serial, sender)) = self.reply_targets.remove(&poll) else {
            return;
        };
        let encoded = match is_shared {
            true => self.encoded_answers.encode(answer, &self.args.metrics),
            false => convert::gateway_poll_answer(answer),
        };
        match encoded {
            Ok(answer) => {
                let body = Some(Body::FollowAnswer(answer));
                let _ = sender.try_send(Frame { serial, body });
            }
            Err(error) => {
                warn!(self.args.log, "an answer to a gateway can't be encoded"; "error" => %error);
            }
        }
    }

    /// Dials the members of the group and the replicas from the settings.
    fn dial_members(&mut self) {
        let mut names: BTreeSet<String> = self.args.core.peer_names();
        names.extend(self.args.configured_replicas.iter().cloned());
        names.remove(&self.args.id.name);
        if let Err(error) = self.args.replicas.set_replicas(&names) {
            warn!(self.args.log, "a replica can't be dialed"; "error" => %error);
        }
    }

    /// Asks every replica to admit this one, once per [`JOIN_INTERVAL_MS`], while the core wants to
    /// join.
    fn request_join(&mut self) {
        let now_us = self.now_us();
        if !self.args.core.needs_admission() {
            self.next_join_us = now_us.after_ms(JOIN_INTERVAL_MS);
        } else if self.next_join_us.reached(now_us) {
            self.next_join_us = now_us.after_ms(JOIN_INTERVAL_MS);
            let body = Some(Body::Join(Join {}));
            self.args.replicas.send_all(&Frame { serial: 0, body });
        }
    }

    fn log_status(&self, status: &Status) {
        info!(self.args.log, "replica changed";
            "role" => ?status.role,
            "term" => status.term,
            "leader" => status.leader.as_ref().map(ToString::to_string),
            "voters" => names(&status.membership.voters),
            "learners" => names(&status.membership.learners));
    }

    fn handle_frame(&mut self, peer: &Peer, frame: Frame, sender: FrameSender, received: Instant) {
        match frame.body {
            Some(Body::Raft(message)) => self.handle_raft(peer, message),
            Some(Body::Poll(poll)) => {
                self.args.metrics.polls.inc();
                let Ok(body) = convert::poll(peer, &poll) else {
                    self.args.metrics.malformed_frames.inc();
                    return;
                };
                let poll = self.next_request;
                self.next_request += 1;
                self.reply_targets.insert(poll, (frame.serial, sender));
                self.step(Input::Poll { poll, body });
                self.reply_targets.remove(&poll);
            }
            Some(Body::Follow(poll)) => {
                self.args.metrics.polls.inc();
                let Ok(body) = serde_json::from_slice(&poll.question_json) else {
                    self.args.metrics.malformed_frames.inc();
                    return;
                };
                let poll = self.next_request;
                self.next_request += 1;
                self.reply_targets.insert(poll, (frame.serial, sender));
                let received_us = self.args.clock.at(received);
                self.step(Input::GatewayPoll {
                    poll,
                    body,
                    received_us,
                });
                self.reply_targets.remove(&poll);
            }
            Some(Body::Join(_)) => {
                let from = ReplicaId {
                    name: peer.node.clone(),
                    incarnation: peer.incarnation,
                };
                let join = self.next_request;
                self.next_request += 1;
                self.reply_targets.insert(join, (frame.serial, sender));
                self.step(Input::Join { join, from });
                self.reply_targets.remove(&join);
            }
            Some(Body::JoinAnswer(answer)) => {
                self.step(Input::Members {
                    names: answer.members,
                });
                self.dial_members();
            }
            _ => {
                self.args.metrics.malformed_frames.inc();
            }
        }
    }

    fn handle_raft(&mut self, peer: &Peer, message: RaftMessage) {
        let Ok((to, message)) = wire::raft_from_wire(message) else {
            self.args.metrics.malformed_frames.inc();
            return;
        };
        if to == self.args.id {
            let from = ReplicaId {
                name: peer.node.clone(),
                incarnation: peer.incarnation,
            };
            self.step(Input::Receive { from, message });
        }
    }
}

impl Message<Tick> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) {
        self.args.core.set_unix_ms(unix_ms());
        self.encoded_answers.expire();
        self.step(Input::Tick);
        self.request_join();
        let core = &self.args.core;
        self.args
            .metrics
            .record_status(&core.status(), core.log_sizes());
    }
}

impl Message<Persisted> for ControlActor {
    type Reply = ();

    async fn handle(
        &mut self,
        Persisted { ticket }: Persisted,
        _: &mut Context<Self, Self::Reply>,
    ) {
        self.step(Input::Persisted { ticket });
    }
}

impl Message<StorageFailed> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _: StorageFailed, _: &mut Context<Self, Self::Reply>) {
        self.step(Input::StorageFailed);
        self.args
            .failure
            .send_replace(Some(ReplicaFailure::Storage));
    }
}

impl Message<Submit> for ControlActor {
    type Reply = u64;

    async fn handle(
        &mut self,
        Submit { body, answer }: Submit,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.args.metrics.requests.inc();
        let request = self.next_request;
        self.next_request += 1;
        self.requests.insert(request, answer);
        self.step(Input::Request { request, body });
        request
    }
}

impl Message<Cancel> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, Cancel { request }: Cancel, _: &mut Context<Self, Self::Reply>) {
        self.requests.remove(&request);
        self.step(Input::Cancel { request });
    }
}

impl Message<Dump> for ControlActor {
    type Reply = Result<serde_json::Value, serde_json::Error>;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        serde_json::to_value(self.args.core.dump())
    }
}

impl Message<LinkEvent> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: LinkEvent, _: &mut Context<Self, Self::Reply>) {
        let LinkEvent { event, received } = message;
        if let Event::Frame {
            peer,
            frame,
            sender,
            ..
        } = event
        {
            self.handle_frame(&peer, frame, sender, received);
        }
    }
}

/// The time of day in Unix milliseconds; 0, which stands for unknown, when it is before 1970.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(0))
}

/// The names of members for the log, separated by commas.
fn names(members: &BTreeSet<ReplicaId>) -> String {
    let names: Vec<&str> = members.iter().map(|id| id.name.as_str()).collect();
    names.join(",")
}
