//! The task that owns a control replica's core.

use crate::{
    clock::Clock,
    control::{convert, metrics::ControlMetrics, storage::Storage},
    replicas::ReplicaLinks,
};
use control::{Answer, Control, Input, Output, Request};
use kameo::{
    Actor,
    actor::ActorRef,
    error::Infallible,
    message::{Context, Message},
};
use link::{Event, Peer, Replies};
use raft::{ReplicaId, Status};
use slog::{Logger, crit, info, warn};
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};
use tokio::sync::{oneshot, watch};
use types::{ApiError, TimeUs};
use wire::peer::{Frame, Join, JoinAnswer, RaftMessage, frame::Body};

/// How often a replica that knows no leader asks to be admitted, in milliseconds.
const JOIN_MS: u64 = 500;

/// What the actor is made of.
#[derive(Debug)]
pub struct ControlArgs {
    /// The core.
    pub core: Control,
    /// The identity of this replica.
    pub id: ReplicaId,
    /// The clock.
    pub clock: Clock,
    /// Dialed links to the other replicas.
    pub replicas: ReplicaLinks,
    /// The names of the replicas that are dialed in any case.
    pub known: Vec<String>,
    /// The data folder.
    pub storage: Storage,
    /// The counters.
    pub metrics: Arc<ControlMetrics>,
    /// Told when the replica can't go on.
    pub broken: watch::Sender<Option<Broken>>,
    /// The log.
    pub log: Logger,
}

/// Owns a control replica's core.
#[derive(Debug)]
pub struct ControlActor {
    args: ControlArgs,
    requests: HashMap<u64, oneshot::Sender<Result<Answer, ApiError>>>,
    polls: HashMap<u64, (u64, Replies)>,
    next_request: u64,
    join_us: TimeUs,
    outputs: Vec<Output>,
}

impl Actor for ControlActor {
    type Args = ControlArgs;
    type Error = Infallible;

    async fn on_start(args: Self::Args, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        let mut actor = Self {
            join_us: args.clock.now_us(),
            args,
            requests: HashMap::new(),
            polls: HashMap::new(),
            next_request: 1,
            outputs: Vec::new(),
        };
        actor.dial_members();
        Ok(actor)
    }
}

/// Why a replica can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The log or a snapshot is not readable by this program.
    Unreadable,
    /// The data folder failed; opened anew, it may serve again.
    Storage,
}

/// Time has passed.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// A write is synced.
#[derive(Clone, Copy, Debug)]
pub struct Persisted {
    /// Its ticket.
    pub ticket: u64,
}

/// The data folder failed.
#[derive(Clone, Copy, Debug)]
pub struct StorageFailed;

/// An operator's request.
#[derive(Debug)]
pub struct Ask {
    /// What is asked.
    pub body: Request,
    /// Takes the answer.
    pub answer: oneshot::Sender<Result<Answer, ApiError>>,
}

/// The operator of a request has left.
#[derive(Clone, Copy, Debug)]
pub struct Cancel {
    /// The request.
    pub request: u64,
}

/// Asks for the whole state.
#[derive(Clone, Copy, Debug)]
pub struct Dump;

/// An event of a link.
#[derive(Debug)]
pub struct Linked(pub Event);

impl ControlActor {
    fn now_us(&self) -> TimeUs {
        self.args.clock.now_us()
    }

    fn step(&mut self, input: Input) {
        let now_us = self.now_us();
        self.args.core.step(now_us, input, &mut self.outputs);
        for output in std::mem::take(&mut self.outputs) {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
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
            Output::PollAnswer { poll, answer } => self.answer_poll(poll, &answer),
            Output::FollowAnswer { follow, answer } => self.answer_follow(follow, &answer),
            Output::JoinAnswer { join, members } => {
                if let Some((serial, replies)) = self.polls.remove(&join) {
                    let body = Some(Body::JoinAnswer(JoinAnswer { members }));
                    let _ = replies.try_send(Frame { serial, body });
                }
            }
            Output::Changed(status) => {
                self.note_change(&status);
                self.dial_members();
            }
            Output::Broken(error) => {
                crit!(self.args.log, "this replica can't go on"; "error" => %error);
                self.args.broken.send_replace(Some(Broken::Unreadable));
            }
        }
    }

    fn answer_poll(&mut self, poll: u64, answer: &control::PollAnswer) {
        let Some((serial, replies)) = self.polls.remove(&poll) else {
            return;
        };
        if let Ok(answer) = convert::poll_answer(answer) {
            let body = Some(Body::PollAnswer(answer));
            let _ = replies.try_send(Frame { serial, body });
        }
    }

    fn answer_follow(&mut self, follow: u64, answer: &control::FollowAnswer) {
        let Some((serial, replies)) = self.polls.remove(&follow) else {
            return;
        };
        match convert::follow_answer(answer) {
            Ok(answer) => {
                let body = Some(Body::FollowAnswer(answer));
                let _ = replies.try_send(Frame { serial, body });
            }
            Err(error) => {
                warn!(self.args.log, "an answer to a gateway can't be encoded"; "error" => %error);
            }
        }
    }

    /// Dials the members of the group and the replicas that are known from the settings.
    fn dial_members(&mut self) {
        let mut names: BTreeSet<String> = self.args.core.contacts();
        names.extend(self.args.known.iter().cloned());
        names.remove(&self.args.id.name);
        if let Err(error) = self.args.replicas.set_replicas(&names) {
            warn!(self.args.log, "a replica can't be dialed"; "error" => %error);
        }
    }

    /// Asks to be admitted while no leader is known.
    fn seek_group(&mut self) {
        let now_us = self.now_us();
        if !self.args.core.seeks_group() {
            self.join_us = now_us.after_ms(JOIN_MS);
        } else if self.join_us.reached(now_us) {
            self.join_us = now_us.after_ms(JOIN_MS);
            let body = Some(Body::Join(Join {}));
            self.args.replicas.send_all(&Frame { serial: 0, body });
        }
    }

    fn note_change(&self, status: &Status) {
        info!(self.args.log, "replica changed";
            "role" => ?status.role,
            "term" => status.term,
            "leader" => status.leader.as_ref().map(ToString::to_string));
    }

    fn receive(&mut self, peer: &Peer, frame: Frame, replies: Replies) {
        match frame.body {
            Some(Body::Raft(message)) => self.receive_raft(peer, message),
            Some(Body::Poll(poll)) => {
                self.args.metrics.polls.inc();
                let Ok(body) = convert::poll(peer, &poll) else {
                    self.args.metrics.malformed_frames.inc();
                    return;
                };
                let poll = self.next_request;
                self.next_request += 1;
                self.polls.insert(poll, (frame.serial, replies));
                self.step(Input::Poll { poll, body });
                self.polls.remove(&poll);
            }
            Some(Body::Follow(question)) => {
                self.args.metrics.polls.inc();
                let Ok(body) = serde_json::from_slice(&question.question_json) else {
                    self.args.metrics.malformed_frames.inc();
                    return;
                };
                let follow = self.next_request;
                self.next_request += 1;
                self.polls.insert(follow, (frame.serial, replies));
                self.step(Input::Follow { follow, body });
                self.polls.remove(&follow);
            }
            Some(Body::Join(_)) => {
                let from = ReplicaId {
                    name: peer.node.clone(),
                    incarnation: peer.incarnation,
                };
                let join = self.next_request;
                self.next_request += 1;
                self.polls.insert(join, (frame.serial, replies));
                self.step(Input::Join { join, from });
                self.polls.remove(&join);
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

    fn receive_raft(&mut self, peer: &Peer, message: RaftMessage) {
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
        self.step(Input::Tick);
        self.seek_group();
        self.args.metrics.note(&self.args.core.status());
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
        self.args.broken.send_replace(Some(Broken::Storage));
    }
}

impl Message<Ask> for ControlActor {
    type Reply = u64;

    async fn handle(
        &mut self,
        Ask { body, answer }: Ask,
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

impl Message<Linked> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, Linked(event): Linked, _: &mut Context<Self, Self::Reply>) {
        if let Event::Frame {
            peer,
            frame,
            replies,
            ..
        } = event
        {
            self.receive(&peer, frame, replies);
        }
    }
}
