//! Starts the listeners, actor, storage thread and timer of a control replica, and stops them in
//! order. Holds the replica's timing constants.

use crate::{
    clock::Clock,
    control::platform_http::PlatformHttp,
    control::{
        actor::{ControlActor, ControlArgs, LinkEvent, ReplicaFailure, Tick},
        http::ControlHttp,
        metrics::ControlMetrics,
        storage::{self, Storage},
    },
    feed::{forward_events, tick},
    http::{ConnectionRecorder, Server, ServerLimits, serve},
    quota::quota_terms,
    replicas::{ReplicaLinks, seed_names},
};
use control::{Control, ControlConfig};
use kameo::{
    actor::{ActorRef, Spawn},
    mailbox,
};
use link::{Identity, ListenerHandle, listen};
use prometheus_client::registry::Registry;
use raft::{RaftConfig, ReplicaId};
use settings::{ControlSettings, Interface, Settings};
use share::QuotaTerms;
use slog::{Logger, info};
use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::timeout,
};

/// Period of the core's ticks.
const TICK: Duration = Duration::from_millis(20);

/// Capacity of the channel of link events to the actor.
const LINK_EVENTS: usize = 1_024;

/// Period of a leader's heartbeats.
const HEARTBEAT_US: u64 = 100_000;

/// Shortest election timeout: time without a leader before an election.
const ELECTION_US: u64 = 400_000;

/// Largest total size of the log entries in one append message.
const APPEND_MAX_BYTES: usize = 256 * 1024;

/// Size of one chunk of a snapshot that is sent to a replica.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// Number of applied log entries after which a snapshot is taken.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// Size of applied log entries after which a snapshot is taken: as much as the largest declaration, and
/// a few hundredths of a replica's memory.
const SNAPSHOT_LOG_BYTES: usize = 4 * 1024 * 1024;

/// Without discovery: time after which an unanswered request is answered `unavailable`.
const REQUEST_TIMEOUT_US: u64 = 5_000_000;

/// With discovery: time after which an unanswered call is answered `unavailable`. Shorter than the
/// second after which callers try another replica.
const CALL_TIMEOUT_US: u64 = 900_000;

/// Number of heartbeat periods without a heartbeat after which an instance expires.
const SILENT_HEARTBEATS: u64 = 6;

/// Time without a heartbeat after which an instance expires, when the settings give no heartbeat
/// period.
const INSTANCE_SILENCE_US: u64 = 10_000_000;

/// How long the answer of a look-up may be used, when the settings have no `[bounds]`.
const LOOKUP_LIFETIME_MS: u64 = 2_000;

/// Fraction of the memory for connections that each listener may use where there are two.
const LISTENER_FRACTION: f64 = 0.5;

/// How long a stopping replica waits for each listener's connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A running control replica, ended by [`Self::stop`].
#[derive(Debug)]
pub struct ControlReplica {
    server: Server,
    lookup_server: Option<Server>,
    listener: ListenerHandle,
    timer: JoinHandle<()>,
    actor: ActorRef<ControlActor>,
    failure: watch::Receiver<Option<ReplicaFailure>>,
}

impl ControlReplica {
    /// Waits until the replica has failed, and returns the cause.
    pub async fn failed(&mut self) -> ReplicaFailure {
        match self.failure.wait_for(Option::is_some).await {
            Ok(failure) => failure.unwrap_or(ReplicaFailure::Unreadable),
            Err(_) => std::future::pending().await,
        }
    }

    /// Stops the replica. Requests in flight may finish within [`CLOSE_TIMEOUT`] per listener.
    pub async fn stop(self) {
        let servers = Some(self.server).into_iter().chain(self.lookup_server);
        for server in servers {
            // Callers may keep idle connections open; the timeout keeps them from blocking the
            // stop.
            let _ = timeout(CLOSE_TIMEOUT, server.close()).await;
        }
        self.timer.abort();
        self.listener.close().await;
        self.actor.kill();
        self.actor.wait_for_shutdown().await;
    }
}

/// Opens the data folder and starts a control replica.
///
/// # Errors
///
/// When the data folder can't be opened, an address can't be bound, or a thread can't be started.
pub async fn start(
    settings: &Settings,
    role_settings: &ControlSettings,
    identity: Identity,
    log: &Logger,
) -> anyhow::Result<ControlReplica> {
    let clock = Clock::new();
    let (store, opened) = storage::open(settings, role_settings)?;
    storage::log_opened(&opened, log);
    let id = opened.id;
    let identity = Identity {
        incarnation: id.incarnation,
        ..identity
    };
    let (inbox, events) = mpsc::channel(LINK_EVENTS);
    let listener = listen(role_settings.peer_listen, identity.clone(), inbox.clone()).await?;
    let mut registry = Registry::with_prefix("oleanderwell_control");
    let metrics = Arc::new(ControlMetrics::new(&mut registry));
    let recorder = ConnectionRecorder::new(&mut registry, log);
    let config = config(settings, &id)?;
    let (storage, queue) = Storage::new();
    let (failure_sender, failure) = watch::channel(None);
    let actor = ControlActor::spawn_with_mailbox(
        ControlArgs {
            core: Control::new(config, opened.restored, clock.now_us()),
            id,
            clock,
            replicas: ReplicaLinks::new(settings, identity, inbox),
            configured_replicas: configured_replicas(settings),
            storage,
            metrics,
            failure: failure_sender,
            log: log.clone(),
        },
        mailbox::unbounded(),
    );
    let replica_actor = actor.clone();
    storage::run(store, queue, actor.clone(), log.clone())?;
    tokio::spawn(forward_events(events, actor.clone(), LinkEvent::new));
    let timer = tokio::spawn(tick(actor.clone(), TICK, Tick));
    let tokens = role_settings.operator_tokens.clone().into();
    let http = ControlHttp {
        actor,
        registry: Arc::new(registry),
        tokens,
    };
    let platform_http = PlatformHttp {
        control: http.clone(),
        listen: role_settings.listen,
        lookup_lifetime_ms: settings
            .bounds
            .map_or(LOOKUP_LIFETIME_MS, |it| it.lookup_lifetime_ms / 2),
        log: log.clone(),
    };
    let listener_fraction = match role_settings.lookup_listen {
        Some(_) => LISTENER_FRACTION,
        None => 1.0,
    };
    let limits = |listener| {
        ServerLimits::new(&settings.limits, listener, &recorder)
            .with_memory_fraction(listener_fraction)
    };
    let lookup_server = match role_settings.lookup_listen {
        Some(address) => {
            let platform_http = platform_http.clone();
            let look_up = move |request, _| platform_http.clone().look_up(request);
            Some(serve(address, limits("lookups"), look_up).await?)
        }
        None => None,
    };
    let server = match role_settings.interface {
        Interface::Native => {
            let handle = move |request, _| http.clone().handle(request);
            serve(role_settings.listen, limits("operators"), handle).await?
        }
        Interface::Platform => {
            let call = move |request, _| platform_http.clone().call(request);
            serve(role_settings.listen, limits("operators"), call).await?
        }
    };
    info!(log, "control replica started";
        "listen" => %role_settings.listen, "peer_listen" => %role_settings.peer_listen);
    Ok(ControlReplica {
        server,
        lookup_server,
        listener,
        timer,
        actor: replica_actor,
        failure,
    })
}

fn config(settings: &Settings, id: &ReplicaId) -> anyhow::Result<ControlConfig> {
    let own_port = settings.control.as_ref().map(|it| it.listen.port());
    let started = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let http_addresses = settings.replicas.iter();
    let http_addresses =
        http_addresses.map(|replica| (replica.name.to_string(), replica.http_address.to_string()));
    Ok(ControlConfig {
        raft: RaftConfig {
            id: id.clone(),
            heartbeat_interval_us: HEARTBEAT_US,
            election_timeout_min_us: ELECTION_US,
            append_max_bytes: APPEND_MAX_BYTES,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            seed: u64::from(started.subsec_nanos()) ^ u64::from(std::process::id()),
        },
        http_addresses: http_addresses.collect(),
        snapshot_entries: SNAPSHOT_ENTRIES,
        snapshot_log_bytes: SNAPSHOT_LOG_BYTES,
        request_timeout_us: match settings.discovery {
            Some(_) => CALL_TIMEOUT_US,
            None => REQUEST_TIMEOUT_US,
        },
        http_port: settings.discovery.as_ref().and(own_port),
        open_membership: settings.discovery.is_some(),
        replica_losses: settings
            .discovery
            .as_ref()
            .map_or(0, |it| usize::from(it.replica_losses)),
        instance_timeout_us: settings.bounds.map_or(INSTANCE_SILENCE_US, |it| {
            SILENT_HEARTBEATS * it.heartbeat_ms * 1_000
        }),
        quota_terms: settings
            .bounds
            .map_or_else(QuotaTerms::default, |it| quota_terms(&it)),
    })
}

/// The names of the replicas in the settings: with discovery the seeds, else the declared ones.
fn configured_replicas(settings: &Settings) -> Vec<String> {
    match &settings.discovery {
        Some(discovery) => seed_names(discovery),
        None => settings
            .replicas
            .iter()
            .map(|replica| replica.name.to_string())
            .collect(),
    }
}
