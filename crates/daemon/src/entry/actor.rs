//! The task that owns an entry's core.

mod messages;

pub use self::messages::{
    Announce, Answering, Arrive, Dump, Ended, Linked, Lookup, Ready, Stop, Tick,
};

use crate::{
    clock::Clock,
    entry::{
        convert,
        links::Links,
        metrics::{EntryMetrics, Settlement},
    },
};
use entry::{EntryCore, Input, Output};
use kameo::{
    Actor, Reply,
    actor::{ActorRef, WeakActorRef},
    error::Infallible,
};
use link::Replies;
use route::{RequestId, Settled};
use slog::{Logger, info, warn};
use std::{collections::HashMap, net::SocketAddr, sync::Arc};
use tokio::sync::{mpsc, watch};
use types::{EntryName, ReplicaName, TimeUs, UpstreamName};
use wire::peer::{Frame, Poll, frame::Body};

/// What the task of a request is to do next.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Make an attempt.
    Forward {
        /// The upstream.
        upstream: UpstreamName,
        /// Its address.
        address: SocketAddr,
        /// Counts the attempts.
        attempt: u32,
        /// When the attempt must have ended.
        deadline_us: TimeUs,
    },
    /// Tell the caller.
    Settle(Settled),
    /// Answer with the kept answer of an earlier request with the same key.
    Replay {
        /// The answer's status.
        status: u16,
        /// The kept answer.
        answer: Vec<u8>,
    },
    /// Drop the attempt under way.
    Cancel,
}

/// A request that the core has taken in.
#[derive(Debug, Reply)]
pub struct Admission {
    /// Its name.
    pub request: RequestId,
    /// What to do.
    pub directives: mpsc::UnboundedReceiver<Directive>,
}

/// What the actor is made of.
#[derive(Debug)]
pub struct EntryArgs {
    /// The core.
    pub core: EntryCore,
    /// The clock.
    pub clock: Clock,
    /// The links to control replicas and other entries.
    pub links: Links,
    /// The counters.
    pub metrics: Arc<EntryMetrics>,
    /// Told when the entry may exit.
    pub stopped: watch::Sender<bool>,
    /// The log.
    pub log: Logger,
}

/// Owns an entry's core.
#[derive(Debug)]
pub struct EntryActor {
    args: EntryArgs,
    requests: HashMap<RequestId, mpsc::UnboundedSender<Directive>>,
    next_request: u64,
    outputs: Vec<Output>,
}

impl Actor for EntryActor {
    type Args = EntryArgs;
    type Error = Infallible;

    async fn on_start(args: Self::Args, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self {
            args,
            requests: HashMap::new(),
            next_request: 1,
            outputs: Vec::new(),
        })
    }

    async fn on_panic(
        &mut self,
        _: WeakActorRef<Self>,
        error: kameo::error::PanicError,
    ) -> Result<std::ops::ControlFlow<kameo::error::ActorStopReason>, Self::Error> {
        slog::crit!(self.args.log, "the entry's task failed"; "error" => %error);
        Ok(std::ops::ControlFlow::Break(
            kameo::error::ActorStopReason::Panicked(error),
        ))
    }
}

impl EntryActor {
    fn now_us(&self) -> TimeUs {
        self.args.clock.now_us()
    }

    fn step(&mut self, input: Input<'_>) {
        let now_us = self.now_us();
        self.args.core.step(now_us, input, &mut self.outputs);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Poll {
                    replica,
                    serial,
                    applied_index,
                    layout_epoch,
                    progress,
                    wants,
                } => {
                    let links = &self.args.links;
                    let progress = convert::progress(&progress);
                    let poll = convert::poll(applied_index, layout_epoch, &wants);
                    let body = Some(Body::Poll(Poll {
                        progress_json: progress,
                        ..poll
                    }));
                    links.send_replica(&replica, Frame { serial, body });
                }
                Output::Sync {
                    peer,
                    serial,
                    since_version,
                } => {
                    let body = Some(Body::Sync(wire::peer::Sync { since_version }));
                    self.args.links.send_peer(&peer, Frame { serial, body });
                }
                Output::Peers(peers) => {
                    if let Err(error) = self.args.links.declare_peers(&peers) {
                        warn!(self.args.log, "dialing entries failed"; "error" => %error);
                    }
                }
                Output::Claim { to, message } => {
                    let body = Some(wire::claim_to_wire(message));
                    self.args.links.send_peer(&to, Frame { serial: 0, body });
                }
                Output::Replay {
                    request,
                    status,
                    answer,
                } => {
                    self.args.metrics.replays.inc();
                    self.tell(request, Directive::Replay { status, answer });
                    self.requests.remove(&request);
                }
                Output::Route(output) => self.direct(output),
                Output::LeaseChanged { held } => {
                    info!(self.args.log, "configuration lease changed"; "held" => held);
                    self.args.metrics.lease_held.set(i64::from(held));
                }
                Output::ConfigChanged { applied_index } => {
                    let index = i64::try_from(applied_index).unwrap_or(i64::MAX);
                    self.args.metrics.applied_index.set(index);
                }
                Output::Stopped => {
                    self.args.stopped.send_replace(true);
                }
            }
        }
    }

    fn direct(&mut self, output: route::Output) {
        match output {
            route::Output::Forward {
                request,
                upstream,
                address,
                attempt,
                deadline_us,
                ..
            } => {
                let directive = Directive::Forward {
                    upstream,
                    address,
                    attempt,
                    deadline_us,
                };
                self.tell(request, directive);
            }
            route::Output::Settle { request, settled } => {
                self.args.metrics.count(Settlement::of(settled));
                self.tell(request, Directive::Settle(settled));
                self.requests.remove(&request);
            }
            route::Output::Cancel { request } => self.tell(request, Directive::Cancel),
        }
    }

    fn tell(&self, request: RequestId, directive: Directive) {
        if let Some(directives) = self.requests.get(&request) {
            let _ = directives.send(directive);
        }
    }

    fn receive(&mut self, peer: &link::Peer, frame: Frame, replies: &Replies) {
        let (serial, node) = (frame.serial, peer.node.as_str());
        match frame.body {
            Some(Body::Sync(sync)) => {
                let now_us = self.now_us();
                let answer = self.args.core.sync_answer(now_us, sync.since_version);
                let stopping = self.args.core.is_stopping();
                let body = Some(Body::SyncAnswer(wire::sync_to_wire(&answer, stopping)));
                let _ = replies.try_send(Frame { serial, body });
            }
            Some(Body::SyncAnswer(answer)) => self.sync_answered(node, serial, answer),
            Some(Body::PollAnswer(answer)) => self.poll_answered(node, serial, answer),
            Some(body) => self.receive_claim(peer, body),
            None => {
                self.args.metrics.malformed_frames.inc();
            }
        }
    }

    fn receive_claim(&mut self, peer: &link::Peer, body: Body) {
        let message = wire::claim_from_wire(body).ok().flatten();
        let (Some(message), Ok(entry)) = (message, EntryName::new(&peer.node)) else {
            self.args.metrics.malformed_frames.inc();
            return;
        };
        let from = claim::Peer {
            entry,
            incarnation: peer.incarnation,
        };
        self.step(Input::Claim { from, message });
    }

    fn sync_answered(&mut self, node: &str, serial: u64, answer: wire::peer::SyncAnswer) {
        let stopping = answer.stopping;
        let (Ok(peer), Ok(answer)) = (EntryName::new(node), wire::sync_from_wire(answer)) else {
            self.args.metrics.malformed_frames.inc();
            return;
        };
        self.step(Input::SyncAnswer {
            peer: &peer,
            serial,
            answer,
            stopping,
        });
    }

    fn poll_answered(&mut self, node: &str, serial: u64, answer: wire::peer::PollAnswer) {
        let (Ok(replica), Ok(answer)) = (ReplicaName::new(node), convert::replica_answer(answer))
        else {
            self.args.metrics.malformed_frames.inc();
            return;
        };
        self.step(Input::PollAnswer {
            replica: &replica,
            serial,
            answer,
        });
    }
}
