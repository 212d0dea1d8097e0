//! The actor that owns a gateway's core. HTTP tasks report each request and the end of each
//! attempt; the actor polls the control replicas over links and publishes the limits of the plan.

use crate::{
    clock::Clock,
    gateway::{metrics::GatewayMetrics, tenants::TenantCounters},
    http::HeadLimits,
    replicas::ReplicaLinks,
};
use gate::{Arrival, Decision, Ending, Gate, Load, NextStep, Notices, PaceChange, StateChange};
use kameo::{
    Actor, Reply,
    actor::ActorRef,
    error::Infallible,
    message::{Context, Message},
};
use link::Event;
use plan::{KeyDigest, Limits};
use slog::{Logger, info, warn};
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};
use tokio::sync::{oneshot, watch};
use types::{TimeUs, UpstreamName};
use wire::{
    WireError, follow_answer_from_wire,
    peer::{Follow, FollowAnswer, Frame, frame::Body},
};

/// Everything that the actor needs to start.
#[derive(Debug)]
pub struct GatewayArgs {
    /// The core, which selects the upstream of each attempt.
    pub core: Gate,
    /// The clock that the core was started with.
    pub clock: Clock,
    /// Outbound links to the control replicas.
    pub links: ReplicaLinks,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
    /// Set to the plan's limits on the heads of requests.
    pub heads: watch::Sender<HeadLimits>,
    /// Set to the plan's limits on client requests.
    pub limits: watch::Sender<Option<Limits>>,
    /// Logger of the process.
    pub log: Logger,
}

/// Owns a gateway's core.
#[derive(Debug)]
pub struct GatewayActor {
    args: GatewayArgs,
    tenants: TenantCounters,
    /// Names of the control replicas that were dialed last.
    dialed: BTreeSet<String>,
    /// The tenants of the requests that wait for a token, and where the decisions on them go, by the ID of
    /// the request.
    undecided: HashMap<u64, (Option<String>, oneshot::Sender<Decision>)>,
}

impl Actor for GatewayActor {
    type Args = GatewayArgs;
    type Error = Infallible;

    async fn on_start(args: Self::Args, _: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self {
            tenants: TenantCounters::new(args.metrics.tenant_requests.clone()),
            args,
            dialed: BTreeSet::new(),
            undecided: HashMap::new(),
        })
    }
}

/// Why a control replica's answer can't be decoded.
#[derive(Debug, thiserror::Error)]
enum AnswerError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
}

/// Sent once per tick period.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// An event of a link to a control replica.
#[derive(Debug)]
pub struct LinkEvent(pub Event);

/// A client's request arrived. The reply is the core's decision.
#[derive(Debug)]
pub struct RequestArrived {
    /// ID of the request in later messages.
    pub request: u64,
    /// Value of the `host` header, or the URI's host; empty without either.
    pub host: String,
    /// Path of the URI, without the query.
    pub path: String,
    /// How long the client still waits, in milliseconds, when it says so.
    pub timeout_ms: Option<u64>,
    /// Identifies the object that the request is about, when the client names one.
    pub object: Option<u64>,
    /// The digest of the key that the client sent, if it sent one.
    pub key: Option<KeyDigest>,
    /// Where the decision goes when the reply is [`Decision::Wait`].
    pub decided: Option<oneshot::Sender<Decision>>,
}

/// Whether and where a client's request is forwarded.
#[derive(Debug, Reply)]
pub struct DecisionReply {
    /// The core's decision.
    pub decision: Decision,
    /// The name of the tenant that holds the request's key, if one does.
    pub tenant: Option<String>,
}

/// An attempt ended. The reply says what to do next.
#[derive(Debug)]
pub struct AttemptEnded {
    /// ID of the request.
    pub request: u64,
    /// How the attempt ended.
    pub ending: Ending,
    /// Load that the upstream reported with its answer, if any.
    pub load: Option<Load>,
}

/// The upstream of a request's current attempt asked for something in its answer. Sent before
/// [`AttemptEnded`].
#[derive(Clone, Copy, Debug)]
pub struct NoticesReceived {
    /// ID of the request.
    pub request: u64,
    /// What the upstream asked for.
    pub notices: Notices,
}

/// The delivery of an answer, whose beginning has gone to the client, ended.
#[derive(Debug)]
pub struct DeliveryEnded {
    /// ID of the request.
    pub request: u64,
    /// How the answer ended.
    pub ending: Ending,
    /// Load that the upstream reported with its answer, if any.
    pub load: Option<Load>,
}

/// The client of a request closed its connection. The core may have forwarded, refused or not yet
/// seen the request.
#[derive(Clone, Copy, Debug)]
pub struct ClientLeft {
    /// ID of the request.
    pub request: u64,
}

/// What to do after an attempt: deliver, retry or give up.
#[derive(Debug, Reply)]
pub struct NextReply(pub NextStep);

/// Starts the stop: the gateway reports itself as not ready and later refuses requests.
#[derive(Clone, Copy, Debug)]
pub struct Stop;

/// Replaces the seeds, the names of the control replicas to poll first, after a change of the
/// settings.
#[derive(Debug)]
pub struct SetSeeds(pub Vec<String>);

/// Asks for the gateway's status.
#[derive(Clone, Copy, Debug)]
pub struct QueryStatus;

/// A gateway's status, as `/ready` reports it.
#[derive(Clone, Copy, Debug, Reply)]
pub struct GatewayStatus {
    /// Whether clients should send requests to it.
    pub is_ready: bool,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Version of the plan in force.
    pub plan_version: u64,
    /// Log index up to which the gateway has applied the changes.
    pub revision: u64,
}

impl GatewayActor {
    /// The current time, after the core was told for how long the machine was suspended.
    fn now_us(&mut self) -> TimeUs {
        let suspended_us = self.args.clock.suspended_us();
        self.args.core.set_suspended_us(suspended_us);
        self.args.clock.now_us()
    }

    fn poll_replicas(&mut self) {
        let now_us = self.now_us();
        let due = self.args.core.tick(now_us);
        self.log_state_changes();
        self.dial_replicas();
        for replica in due {
            let mut poll = self.args.core.poll_request(&replica, now_us);
            poll.tokens = self.args.core.token_report(&replica, now_us);
            let Ok(question_json) = serde_json::to_vec(&poll) else {
                warn!(
                    self.args.log,
                    "a poll of a control replica can't be encoded"
                );
                continue;
            };
            let body = Some(Body::Follow(Follow { question_json }));
            self.args.links.send(&replica, Frame { serial: 0, body });
        }
    }

    fn dial_replicas(&mut self) {
        let names: BTreeSet<String> = self.args.core.replicas().map(str::to_owned).collect();
        if names == self.dialed {
            return;
        }
        info!(self.args.log, "control replicas changed"; "replicas" => names.len());
        if let Err(error) = self.args.links.set_replicas(&names) {
            warn!(self.args.log, "a control replica can't be dialed"; "error" => %error);
        }
        self.dialed = names;
    }

    /// Sends the decisions on requests that waited for a token to their connections.
    fn send_decisions(&mut self) {
        let now_us = self.now_us();
        for (request, decision) in self.args.core.take_decided(now_us) {
            let waiting = self.undecided.remove(&request);
            let is_sent = waiting.is_some_and(|(tenant, sender)| {
                if let Some(tenant) = &tenant {
                    self.tenants.count(tenant, &decision);
                }
                sender.send(decision).is_ok()
            });
            if !is_sent {
                self.args.core.withdraw(request, now_us);
            }
        }
    }

    /// Logs each change of upstream state and of evacuations that the core reports.
    fn log_state_changes(&mut self) {
        for change in self.args.core.take_state_changes() {
            match change {
                StateChange::Instance {
                    upstream,
                    state,
                    cold_ms,
                    revision,
                } => info!(self.args.log, "upstream changed";
                    "upstream" => upstream.as_str(),
                    "state" => %state,
                    "cold_ms" => cold_ms,
                    "revision" => revision),
                StateChange::Paused { upstream, ending } => info!(self.args.log, "upstream paused";
                    "upstream" => upstream.as_str(), "ending" => ending.as_str()),
                StateChange::Leaving { upstream } => {
                    info!(self.args.log, "upstream is leaving"; "upstream" => upstream.as_str());
                }
                StateChange::BackedOff {
                    upstream,
                    backoff_ms,
                } => info!(self.args.log, "upstream asked for a backoff";
                    "upstream" => upstream.as_str(), "backoff_ms" => backoff_ms),
                StateChange::Pace { upstream, change } => self.report_pace(&upstream, change),
                StateChange::Evacuated { domains } => {
                    let domains: Vec<&str> = domains.iter().map(|it| it.as_str()).collect();
                    info!(self.args.log, "evacuations changed";
                        "domains" => domains.join(","));
                }
                StateChange::KeyLeaseGained => {
                    self.args.metrics.holds_keys.set(1);
                    info!(self.args.log, "key lease held");
                }
                StateChange::KeyLeaseLost => {
                    self.args.metrics.holds_keys.set(0);
                    self.args.metrics.key_leases_lost.inc();
                    warn!(self.args.log, "key lease lost");
                }
                StateChange::FetchTimedOut { replica } => {
                    self.args.metrics.fetch_timeouts.inc();
                    warn!(self.args.log, "large changes did not come in time"; "replica" => replica);
                }
            }
        }
    }

    /// Counts each change of an upstream's pace; logs the begin and the end.
    fn report_pace(&self, upstream: &UpstreamName, change: PaceChange) {
        self.args.metrics.count_pace_change(change);
        match change {
            PaceChange::Began(cause) => info!(self.args.log, "pace of an upstream began";
                "upstream" => upstream.as_str(), "cause" => cause.as_str()),
            PaceChange::Halved => {}
            PaceChange::Ended => info!(self.args.log, "pace of an upstream ended";
                "upstream" => upstream.as_str()),
        }
    }

    fn handle_answer(&mut self, replica: &str, answer: &FollowAnswer) {
        let answer = match decode_answer(answer) {
            Ok(answer) => answer,
            Err(error) => {
                warn!(self.args.log, "an answer of a control replica can't be decoded";
                    "error" => %error);
                return;
            }
        };
        let now_us = self.now_us();
        let before = self.args.core.plan_version();
        let changed = self.args.core.handle_poll_answer(replica, answer, now_us);
        self.log_state_changes();
        let granted = self.args.core.take_granted_tokens();
        self.args.metrics.granted_tokens.inc_by(granted);
        self.send_decisions();
        let core = &self.args.core;
        if !changed {
            return;
        }
        if core.plan_version() != before {
            let limits = core.limits();
            info!(self.args.log, "plan in force";
                "version" => core.plan_version(),
                "revision" => core.revision(),
                "idle_timeout_ms" => limits.map(|it| it.idle_timeout_ms),
                "header_timeout_ms" => limits.map(|it| it.header_timeout_ms));
            let version = i64::try_from(core.plan_version()).unwrap_or(i64::MAX);
            self.args.metrics.plan_version.set(version);
            self.tenants.set_tenants(core.tenants());
            if let Some(limits) = limits {
                let declared = HeadLimits::of_plan(&limits);
                // A change wakes the task of each connection.
                let replace = |heads: &mut _| std::mem::replace(heads, declared) != declared;
                self.args.heads.send_if_modified(replace);
                self.args.limits.send_replace(Some(limits));
            }
        }
    }
}

fn decode_answer(answer: &FollowAnswer) -> Result<control::GatewayPollAnswer, AnswerError> {
    let answer_json = follow_answer_from_wire(answer)?;
    Ok(serde_json::from_slice(&answer_json)?)
}

impl Message<Tick> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) {
        self.send_decisions();
        self.poll_replicas();
    }
}

impl Message<LinkEvent> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, LinkEvent(event): LinkEvent, _: &mut Context<Self, Self::Reply>) {
        match event {
            Event::Frame { peer, frame, .. } => {
                if let Some(Body::FollowAnswer(answer)) = frame.body {
                    self.handle_answer(&peer.node, &answer);
                    self.poll_replicas();
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

impl Message<RequestArrived> for GatewayActor {
    type Reply = DecisionReply;

    async fn handle(
        &mut self,
        arrived: RequestArrived,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let arrival = Arrival {
            request: arrived.request,
            host: &arrived.host,
            path: &arrived.path,
            timeout_ms: arrived.timeout_ms,
            object: arrived.object,
            key: arrived.key,
        };
        let now_us = self.now_us();
        let decision = self.args.core.handle_arrival(&arrival, now_us);
        self.log_state_changes();
        let key = arrived.key.as_ref();
        let tenant = key.and_then(|key| self.args.core.tenant_of(key));
        let tenant = tenant.map(str::to_owned);
        if let Some(tenant) = &tenant {
            self.tenants.count(tenant, &decision);
        }
        if let (Decision::Wait, Some(decided)) = (&decision, arrived.decided) {
            self.args.metrics.token_waits.inc();
            let waiting = (tenant.clone(), decided);
            self.undecided.insert(arrived.request, waiting);
            self.poll_replicas();
        }
        DecisionReply { decision, tenant }
    }
}

impl Message<AttemptEnded> for GatewayActor {
    type Reply = NextReply;

    async fn handle(
        &mut self,
        ended: AttemptEnded,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.args.metrics.count_attempt_end(ended.ending);
        self.args.metrics.observe_load(ended.load);
        let now_us = self.now_us();
        let core = &mut self.args.core;
        let next = core.attempt_ended(ended.request, ended.ending, ended.load, now_us);
        self.log_state_changes();
        NextReply(next)
    }
}

impl Message<NoticesReceived> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, received: NoticesReceived, _: &mut Context<Self, Self::Reply>) {
        let NoticesReceived { request, notices } = received;
        let now_us = self.now_us();
        self.args.core.record_notices(request, notices, now_us);
        self.log_state_changes();
    }
}

impl Message<DeliveryEnded> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, ended: DeliveryEnded, _: &mut Context<Self, Self::Reply>) {
        self.args.metrics.count_attempt_end(ended.ending);
        self.args.metrics.observe_load(ended.load);
        let now_us = self.now_us();
        let core = &mut self.args.core;
        core.delivery_ended(ended.request, ended.ending, ended.load, now_us);
        self.log_state_changes();
    }
}

impl Message<ClientLeft> for GatewayActor {
    type Reply = ();

    async fn handle(
        &mut self,
        ClientLeft { request }: ClientLeft,
        _: &mut Context<Self, Self::Reply>,
    ) {
        let now_us = self.now_us();
        self.undecided.remove(&request);
        if self.args.core.client_left(request, now_us) {
            self.args.metrics.count_attempt_end(Ending::Left);
        }
    }
}

impl Message<Stop> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, _: Stop, _: &mut Context<Self, Self::Reply>) {
        let now_us = self.now_us();
        self.args.core.stop(now_us);
        self.poll_replicas();
    }
}

impl Message<SetSeeds> for GatewayActor {
    type Reply = ();

    async fn handle(&mut self, SetSeeds(seeds): SetSeeds, _: &mut Context<Self, Self::Reply>) {
        let now_us = self.now_us();
        self.args.core.set_seeds(&seeds, now_us);
    }
}

impl Message<QueryStatus> for GatewayActor {
    type Reply = GatewayStatus;

    async fn handle(&mut self, _: QueryStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now_us = self.now_us();
        let core = &self.args.core;
        GatewayStatus {
            is_ready: core.is_ready(now_us),
            in_flight: core.in_flight(),
            plan_version: core.plan_version(),
            revision: core.revision(),
        }
    }
}
