//! The task that owns a gateway's core.

use crate::{clock::Clock, gateway::metrics::GatewayMetrics, replicas::ReplicaLinks};
use gate::{Arrival, Belief, Decision, Ending, Gate, Load, Next};
use kameo::{
    Actor, Reply,
    actor::ActorRef,
    error::Infallible,
    message::{Context, Message},
};
use link::Event;
use plan::Limits;
use slog::{Logger, info, warn};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::sync::watch;
use wire::{
    WireError, follow_answer_from_wire,
    peer::{Follow, FollowAnswer, Frame, frame::Body},
};

/// What the actor is made of.
#[derive(Debug)]
pub struct GatewayArgs {
    /// The core.
    pub core: Gate,
    /// The clock.
    pub clock: Clock,
    /// The links to control replicas.
    pub links: ReplicaLinks,
    /// The counters.
    pub metrics: Arc<GatewayMetrics>,
    /// Told how long clients' connections may stay idle.
    pub idle_timeout: watch::Sender<Duration>,
    /// Told what clients may send, once a plan says so.
    pub limits: watch::Sender<Option<Limits>>,
    /// The log.
    pub log: Logger,
}

/// Owns a gateway's core.
#[derive(Debug)]
pub struct GatewayActor {
    args: GatewayArgs,
    followed: BTreeSet<String>,
}

impl Actor for GatewayActor {
    type Args = GatewayArgs;
    type Error = Infallible;

    async fn on_start(args: Self::Args, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self {
            args,
            followed: BTreeSet::new(),
        })
    }
}

/// Why an answer of a replica can't be read.
#[derive(Debug, thiserror::Error)]
enum UnreadableAnswer {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("it is no answer: {0}")]
    Json(#[from] serde_json::Error),
}

/// Time has passed.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// An event of a link.
#[derive(Debug)]
pub struct Linked(pub Event);

/// A client's request.
#[derive(Debug)]
pub struct Arrive {
    /// Names the request in what follows.
    pub request: u64,
    /// The host that it names.
    pub host: String,
    /// Its path.
    pub path: String,
    /// How long the client still waits.
    pub wait_ms: Option<u64>,
    /// Tells objects apart.
    pub object: Option<u64>,
}

/// What becomes of a client's request.
#[derive(Debug, Reply)]
pub struct Decided(pub Decision);

/// An attempt has ended.
#[derive(Debug)]
pub struct Ended {
    /// The request.
    pub request: u64,
    /// How.
    pub ending: Ending,
    /// What the upstream said of its load.
    pub load: Option<Load>,
}

/// The client of a request has left, whatever has become of the request until now.
#[derive(Clone, Copy, Debug)]
pub struct Left {
    /// The request.
    pub request: u64,
}

/// What follows the end of an attempt.
#[derive(Debug, Reply)]
pub struct Follows(pub Next);

/// Begins to stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop;

/// Takes over other seeds.
#[derive(Debug)]
pub struct Reseed(pub Vec<String>);

/// Asks for the gateway's state.
#[derive(Clone, Copy, Debug)]
pub struct Look;

/// A gateway's state.
#[derive(Clone, Copy, Debug, Reply)]
pub struct Seen {
    /// Whether it takes clients.
    pub is_ready: bool,
    /// Requests in flight.
    pub in_flight: usize,
    /// The version of the plan that it runs.
    pub plan_version: u64,
    /// The index of the log up to which it knows the changes.
    pub revision: u64,
}

impl GatewayActor {
    fn ask_replicas(&mut self) {
        let now_us = self.args.clock.now_us();
        let due = self.args.core.tick(now_us);
        self.dial_replicas();
        for replica in due {
            let question = self.args.core.question(&replica);
            let Ok(question_json) = serde_json::to_vec(&question) else {
                warn!(self.args.log, "a question for a replica can't be encoded");
                continue;
            };
            let body = Some(Body::Follow(Follow { question_json }));
            self.args.links.send(&replica, Frame { serial: 0, body });
        }
    }

    fn dial_replicas(&mut self) {
        let names: BTreeSet<String> = self.args.core.replicas().map(str::to_owned).collect();
        if names == self.followed {
            return;
        }
        info!(self.args.log, "control replicas known"; "replicas" => names.len());
        if let Err(error) = self.args.links.set_replicas(&names) {
            warn!(self.args.log, "a control replica can't be dialed"; "error" => %error);
        }
        self.followed = names;
    }

    /// Writes a line for each change of what the gateway believes.
    fn log_beliefs(&mut self) {
        for belief in self.args.core.take_beliefs() {
            match belief {
                Belief::Instance {
                    upstream,
                    state,
                    cold_ms,
                    revision,
                } => info!(self.args.log, "upstream changed";
                    "upstream" => upstream.as_str(),
                    "state" => %state,
                    "cold_ms" => cold_ms,
                    "revision" => revision),
                Belief::Paused { upstream, ending } => info!(self.args.log, "upstream paused";
                    "upstream" => upstream.as_str(), "ending" => ending.as_str()),
                Belief::Evacuated { domains } => {
                    let domains: Vec<&str> = domains.iter().map(|it| it.as_str()).collect();
                    info!(self.args.log, "evacuations changed";
                        "domains" => domains.join(","));
                }
            }
        }
    }

    fn take_answer(&mut self, replica: &str, answer: &FollowAnswer) {
        let answer = match follow_answer(answer) {
            Ok(answer) => answer,
            Err(error) => {
                warn!(self.args.log, "an answer of a replica can't be read"; "error" => %error);
                return;
            }
        };
        let now_us = self.args.clock.now_us();
        let before = self.args.core.plan_version();
        let changed = self.args.core.followed(replica, answer, now_us);
        self.log_beliefs();
        let core = &self.args.core;
        if !changed {
            return;
        }
        if core.plan_version() != before {
            info!(self.args.log, "plan in force";
                "version" => core.plan_version(), "revision" => core.revision());
            let version = i64::try_from(core.plan_version()).unwrap_or(i64::MAX);
            self.args.metrics.plan_version.set(version);
            if let Some(limits) = core.limits() {
                let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
                self.args.idle_timeout.send_replace(idle_timeout);
                self.args.limits.send_replace(Some(limits));
            }
        }
    }
}

fn follow_answer(answer: &FollowAnswer) -> Result<control::FollowAnswer, UnreadableAnswer> {
    let answer_json = follow_answer_from_wire(answer)?;
    Ok(serde_json::from_slice(&answer_json)?)
}

impl Message<Tick> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) {
        self.ask_replicas();
    }
}

impl Message<Linked> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, Linked(event): Linked, _: &mut Context<Self, Self::Reply>) {
        match event {
            Event::Frame { peer, frame, .. } => {
                if let Some(Body::FollowAnswer(answer)) = frame.body {
                    self.take_answer(&peer.node, &answer);
                    self.ask_replicas();
                }
            }
            Event::Up { peer, .. } => {
                info!(self.args.log, "link to a replica up"; "replica" => peer.node);
            }
            Event::Down { peer, .. } => {
                warn!(self.args.log, "link to a replica down"; "replica" => peer.node);
            }
        }
    }
}

impl Message<Arrive> for GatewayActor {
    type Reply = Decided;

    async fn handle(&mut self, arrive: Arrive, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let arrival = Arrival {
            request: arrive.request,
            host: &arrive.host,
            path: &arrive.path,
            wait_ms: arrive.wait_ms,
            object: arrive.object,
        };
        let now_us = self.args.clock.now_us();
        Decided(self.args.core.arrive(&arrival, now_us))
    }
}

impl Message<Ended> for GatewayActor {
    type Reply = Follows;

    async fn handle(&mut self, ended: Ended, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.args.metrics.count_ended(ended.ending);
        let now_us = self.args.clock.now_us();
        let core = &mut self.args.core;
        let next = core.ended(ended.request, ended.ending, ended.load, now_us);
        self.log_beliefs();
        Follows(next)
    }
}

impl Message<Left> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, Left { request }: Left, _: &mut Context<Self, Self::Reply>) {
        let now_us = self.args.clock.now_us();
        if self.args.core.left(request, now_us) {
            self.args.metrics.count_ended(Ending::Left);
        }
    }
}

impl Message<Stop> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, _: Stop, _: &mut Context<Self, Self::Reply>) {
        let now_us = self.args.clock.now_us();
        self.args.core.stop(now_us);
        self.ask_replicas();
    }
}

impl Message<Reseed> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, Reseed(seeds): Reseed, _: &mut Context<Self, Self::Reply>) {
        let now_us = self.args.clock.now_us();
        self.args.core.reseed(&seeds, now_us);
    }
}

impl Message<Look> for GatewayActor {
    type Reply = Seen;

    async fn handle(&mut self, _: Look, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let core = &self.args.core;
        Seen {
            is_ready: core.is_ready(),
            in_flight: core.in_flight(),
            plan_version: core.plan_version(),
            revision: core.revision(),
        }
    }
}
