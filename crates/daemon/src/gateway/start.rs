//! Starts the listeners, actor and timer of a gateway, and stops them in order within the grace
//! period.

use crate::{
    clock::Clock,
    feed::{forward_events, tick},
    gateway::{
        actor::{GatewayActor, GatewayArgs, LinkEvent, SetSeeds, Stop, Tick},
        attempt::AttemptRunner,
        bodies::Bodies,
        body_pacer::RequestBodies,
        http::{GatewayHttp, StatusHttp},
        metrics::GatewayMetrics,
    },
    http::{ConnectionRecorder, HeadLimits, Pool, Server, ServerLimits, serve},
    quota::quota_terms,
    replicas::{ReplicaLinks, seed_names},
};
use gate::{Gate, GateBounds, GateConfig, STOP_ANSWER_FRACTION};
use kameo::{
    actor::{ActorRef, Spawn},
    mailbox,
};
use link::Identity;
use prometheus_client::registry::Registry;
use settings::{BoundSettings, GatewaySettings, Settings};
use slog::{Logger, info};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};
use types::EntryName;

/// Period of the core's ticks.
const TICK: Duration = Duration::from_millis(50);

/// Capacity of the channel of link events to the actor.
const LINK_EVENTS: usize = 1_024;

/// Fraction of the process's file descriptors that client connections may use.
const CLIENT_FRACTION: f64 = 0.5;

/// Fraction of the memory for connections, and of the file descriptors, that those of the status
/// listener may use.
const STATUS_FRACTION: f64 = 0.125;

/// Fraction of the grace period after which a stopping gateway stops accepting and closes idle
/// connections.
const CLOSE_FRACTION: f64 = 0.5;

/// Fraction of the grace period after which a stopping gateway ends, even with connections open.
const END_FRACTION: f64 = 0.97;

/// A running gateway, ended by [`Self::stop`].
#[derive(Debug)]
pub struct Gateway {
    actor: ActorRef<GatewayActor>,
    server: Server,
    status_server: Server,
    timer: JoinHandle<()>,
    stopping: watch::Sender<Option<Instant>>,
    grace_ms: u64,
}

impl Gateway {
    /// Reports the gateway as not ready, lets the requests in flight finish, answers those that
    /// don't, and ends within the grace period.
    pub async fn stop(self) {
        let grace = Duration::from_millis(self.grace_ms);
        let started = Instant::now();
        let answers_until = started + grace.mul_f64(STOP_ANSWER_FRACTION);
        self.stopping.send_replace(Some(answers_until));
        let _ = self.actor.tell(Stop).await;
        sleep(grace.mul_f64(CLOSE_FRACTION)).await;
        let end = started + grace.mul_f64(END_FRACTION);
        let _ = timeout_at(end, self.server.close()).await;
        let _ = timeout_at(end, self.status_server.close()).await;
        self.timer.abort();
    }

    /// Replaces the seeds after a change of the settings.
    pub async fn set_seeds(&self, seeds: Vec<String>) {
        let _ = self.actor.tell(SetSeeds(seeds)).await;
    }
}

/// Starts a gateway and its status interface.
///
/// # Errors
///
/// When the settings have no `[bounds]`, an address can't be bound, or the node's name is invalid.
pub async fn start(
    settings: &Settings,
    role_settings: &GatewaySettings,
    identity: Identity,
    log: &Logger,
) -> anyhow::Result<Gateway> {
    let clock = Clock::new();
    let now_us = clock.now_us();
    let bounds = settings.bounds.ok_or(MissingBounds)?;
    let (inbox, events) = mpsc::channel(LINK_EVENTS);
    let mut registry = Registry::with_prefix("oleanderwell_gateway");
    let metrics = Arc::new(GatewayMetrics::new(&mut registry));
    let recorder = ConnectionRecorder::new(&mut registry, log);
    let (head_sender, heads) = watch::channel(HeadLimits::new(&settings.limits));
    let (limits, client_limits) = watch::channel(None);
    let actor = GatewayActor::spawn_with_mailbox(
        GatewayArgs {
            core: Gate::new(config(settings, role_settings, &bounds)?, now_us).with_quotas(
                identity.incarnation,
                quota_terms(&bounds),
                now_us,
            ),
            clock,
            links: ReplicaLinks::new(settings, identity, inbox),
            metrics: Arc::clone(&metrics),
            heads: head_sender,
            limits,
            log: log.clone(),
        },
        mailbox::unbounded(),
    );
    tokio::spawn(forward_events(events, actor.clone(), LinkEvent));
    let timer = tokio::spawn(tick(actor.clone(), TICK, Tick));
    let (stopping, answers_until) = watch::channel(None);
    let bodies = Bodies::new(role_settings.memory_bytes);
    let http = GatewayHttp {
        actor: actor.clone(),
        attempt_runner: AttemptRunner {
            pool: Pool::spawn_with_mailbox(Pool::default(), mailbox::unbounded()),
            bodies: bodies.clone(),
            request_bodies: RequestBodies::new(role_settings.link_kbps, clock),
            clock,
            metrics: Arc::clone(&metrics),
        },
        bodies,
        clock,
        metrics,
        limits: client_limits,
        next_request: Arc::default(),
        answers_until,
        log: log.clone(),
    };
    let descriptors = |fraction: f64| (role_settings.descriptors_max as f64 * fraction) as usize;
    let limits = ServerLimits::new(&settings.limits, "clients", &recorder)
        .with_memory_fraction(1.0 - STATUS_FRACTION)
        .with_connections_max(descriptors(CLIENT_FRACTION))
        .with_heads(heads);
    let status_limits = ServerLimits::new(&settings.limits, "status", &recorder)
        .with_memory_fraction(STATUS_FRACTION)
        .with_connections_max(descriptors(STATUS_FRACTION));
    let server = serve(role_settings.listen, limits, move |request, client| {
        http.clone().handle(request, client)
    })
    .await?;
    let status = StatusHttp {
        actor: actor.clone(),
        registry: Arc::new(registry),
    };
    let status_server = serve(
        role_settings.status_listen,
        status_limits,
        move |request, _| status.clone().handle(request),
    )
    .await?;
    info!(log, "gateway started"; "listen" => %role_settings.listen);
    Ok(Gateway {
        actor,
        server,
        status_server,
        timer,
        stopping,
        grace_ms: bounds.grace_ms,
    })
}

fn config(
    settings: &Settings,
    role_settings: &GatewaySettings,
    bounds: &BoundSettings,
) -> anyhow::Result<GateConfig> {
    const MILLI: f64 = 1_000.0;
    let seeds = settings.discovery.as_ref().map(seed_names);
    Ok(GateConfig {
        name: EntryName::new(&settings.node.name)?,
        address: role_settings.listen,
        region: settings.node.region.clone(),
        failure_domain: settings.node.failure_domain.clone(),
        regions: settings.regions.clone(),
        seeds: seeds.unwrap_or_default(),
        bounds: GateBounds {
            retry_ratio: bounds.retry_ratio_milli as f64 / MILLI,
            retry_slack: bounds.retry_slack_milli as f64 / MILLI,
            retry_window_ms: bounds.retry_window_ms,
            region_shift_max: bounds.region_shift_max_milli as f64 / MILLI,
            grace_ms: bounds.grace_ms,
            revoke_ms: bounds.revoke_ms,
        },
    })
}

/// The settings of a gateway have no section `[bounds]`.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the settings of a gateway need a section [bounds]")]
pub struct MissingBounds;
