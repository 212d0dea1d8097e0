//! The actor that owns an entry's core. It turns messages of HTTP tasks, link frames and ticks into
//! inputs of the core, carries out the core's outputs, and directs the task of each request.

mod messages;

pub use self::messages::{
    Announce, AnswerStarted, AttemptEnded, Dump, LinkEvent, Lookup, Ready, RequestArrived, Stop,
    Tick,
};

use crate::{
    clock::Clock,
    entry::{
        convert,
        links::Links,
        metrics::{EndLabels, EntryMetrics},
    },
};
use entry::{EntryCore, Input, Output};
use kameo::{
    Actor, Reply,
    actor::{ActorRef, WeakActorRef},
    error::Infallible,
};
use link::FrameSender;
use route::{RequestId, Settled};
use slog::{Logger, info, warn};
use std::{collections::HashMap, net::SocketAddr, sync::Arc};
use tokio::sync::{mpsc, watch};
use types::{EntryName, ReplicaName, TimeUs, UpstreamName};
use wire::peer::{Frame, Poll, frame::Body};

/// What the core tells the task of a request to do next.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Send the request to an upstream.
    Forward {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Address of the upstream.
        address: SocketAddr,
        /// Number of the attempt.
        attempt: u32,
        /// When the attempt must have ended.
        deadline_us: TimeUs,
    },
    /// Answer the caller with the outcome; no further attempt is made.
    Settle(Settled),
    /// Answer with the stored answer of an earlier request with the same idempotency key.
    Replay {
        /// HTTP status of the stored answer.
        status: u16,
        /// The stored answer, as [`KeptAnswer::encode`](super::kept::KeptAnswer::encode) wrote it.
        answer: Vec<u8>,
    },
    /// Abort the attempt in progress.
    Cancel,
}

/// The reply to [`RequestArrived`].
#[derive(Debug, Reply)]
pub struct Admission {
    /// ID of the request in later messages.
    pub request: RequestId,
    /// Directives for the task of the request; ends when the request has ended.
    pub directives: mpsc::UnboundedReceiver<Directive>,
}

/// Everything that the actor needs to start.
#[derive(Debug)]
pub struct EntryArgs {
    /// The core, which admits and routes requests.
    pub core: EntryCore,
    /// The clock that the core was started with.
    pub clock: Clock,
    /// Outbound links to control replicas and other entries.
    pub links: Links,
    /// Metrics of the entry.
    pub metrics: Arc<EntryMetrics>,
    /// Set when the core has finished stopping and the entry may close its listeners.
    pub stopped: watch::Sender<bool>,
    /// Logger of the process.
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
        self.handle_outputs();
    }

    fn handle_outputs(&mut self) {
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
                    if let Err(error) = self.args.links.set_peers(&peers) {
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
                    self.send_directive(request, Directive::Replay { status, answer });
                    self.requests.remove(&request);
                }
                Output::Route(output) => self.handle_route_output(output),
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

    fn handle_route_output(&mut self, output: route::Output) {
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
                self.send_directive(request, directive);
            }
            route::Output::Settle { request, settled } => {
                self.args
                    .metrics
                    .count_end(EndLabels::from_settled(settled));
                self.send_directive(request, Directive::Settle(settled));
                self.requests.remove(&request);
            }
            route::Output::Cancel { request } => self.send_directive(request, Directive::Cancel),
        }
    }

    fn send_directive(&self, request: RequestId, directive: Directive) {
        if let Some(directives) = self.requests.get(&request) {
            let _ = directives.send(directive);
        }
    }

    fn handle_frame(&mut self, peer: &link::Peer, frame: Frame, sender: &FrameSender) {
        let (serial, node) = (frame.serial, peer.node.as_str());
        match frame.body {
            Some(Body::Sync(sync)) => {
                let now_us = self.now_us();
                let answer = self.args.core.sync_answer(now_us, sync.since_version);
                let stopping = self.args.core.is_stopping();
                let body = Some(Body::SyncAnswer(wire::sync_to_wire(&answer, stopping)));
                let _ = sender.try_send(Frame { serial, body });
            }
            Some(Body::SyncAnswer(answer)) => self.handle_sync_answer(node, serial, answer),
            Some(Body::PollAnswer(answer)) => self.handle_poll_answer(node, serial, answer),
            Some(body) => self.handle_claim(peer, body),
            None => {
                self.args.metrics.malformed_frames.inc();
            }
        }
    }

    fn handle_claim(&mut self, peer: &link::Peer, body: Body) {
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

    fn handle_sync_answer(&mut self, node: &str, serial: u64, answer: wire::peer::SyncAnswer) {
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

    fn handle_poll_answer(&mut self, node: &str, serial: u64, answer: wire::peer::PollAnswer) {
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
