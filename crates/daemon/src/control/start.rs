//! Starts the tasks of a control replica and stops them in order.

use crate::{
    clock::Clock,
    control::front::PlatformFront,
    control::{
        actor::{Broken, ControlActor, ControlArgs, Linked, Tick},
        http::ControlHttp,
        metrics::ControlMetrics,
        storage::{self, Storage},
    },
    feed::{forward_events, tick},
    http::{Server, ServerLimits, serve},
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

/// The period of the core's ticks.
const TICK: Duration = Duration::from_millis(20);

/// Events of links that wait for the actor.
const LINK_EVENTS: usize = 1_024;

/// The period of a leader's heartbeats.
const HEARTBEAT_US: u64 = 100_000;

/// The shortest wait for a leader before an election.
const ELECTION_US: u64 = 400_000;

/// The largest sum of entries in one message between replicas.
const APPEND_MAX_BYTES: usize = 256 * 1024;

/// The size of a part of a snapshot between replicas.
const SNAPSHOT_PART_BYTES: usize = 256 * 1024;

/// A snapshot is taken after so many applied entries of the log.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// An operator's request that is not answered after this time is answered `unavailable`.
const REQUEST_TIMEOUT_US: u64 = 5_000_000;

/// A call of an operator or instance that is not answered after this time is answered `unavailable`;
/// callers ask another replica after a second.
const CALL_TIMEOUT_US: u64 = 900_000;

/// An instance that sends no heartbeat for so many of its periods expires.
const SILENT_HEARTBEATS: u64 = 6;

/// An instance expires after this silence where the settings tell no period.
const INSTANCE_SILENCE_US: u64 = 10_000_000;

/// How long a look-up's answer may be used where the settings don't tell.
const LOOKUP_LIFETIME_MS: u64 = 2_000;

/// How long a stopping replica waits for its callers' connections.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A running control replica.
#[derive(Debug)]
pub struct ControlReplica {
    server: Server,
    lookup_server: Option<Server>,
    listener: ListenerHandle,
    timer: JoinHandle<()>,
    actor: ActorRef<ControlActor>,
    broken: watch::Receiver<Option<Broken>>,
}

impl ControlReplica {
    /// Returns once the replica can't go on; why.
    pub async fn broken(&mut self) -> Broken {
        match self.broken.wait_for(Option::is_some).await {
            Ok(broken) => broken.unwrap_or(Broken::Unreadable),
            Err(_) => std::future::pending().await,
        }
    }

    /// Answers the requests that are under way and stops.
    pub async fn stop(self) {
        let servers = Some(self.server).into_iter().chain(self.lookup_server);
        for server in servers {
            // Connections that callers keep open and idle don't hold up the end.
            let _ = timeout(CLOSE_TIMEOUT, server.close()).await;
        }
        self.timer.abort();
        self.listener.close().await;
        self.actor.kill();
        self.actor.wait_for_shutdown().await;
    }
}

/// Starts a control replica.
///
/// # Errors
///
/// When the data folder can't be used or an address can't be listened on.
pub async fn start(
    settings: &Settings,
    own: &ControlSettings,
    identity: Identity,
    log: &Logger,
) -> anyhow::Result<ControlReplica> {
    let clock = Clock::new();
    let (store, opened) = storage::open(settings, own)?;
    storage::log_opened(&opened, log);
    let id = opened.id;
    let identity = Identity {
        incarnation: id.incarnation,
        ..identity
    };
    let (inbox, events) = mpsc::channel(LINK_EVENTS);
    let listener = listen(own.peer_listen, identity.clone(), inbox.clone()).await?;
    let mut registry = Registry::with_prefix("oleanderwell_control");
    let metrics = Arc::new(ControlMetrics::new(&mut registry));
    let config = config(settings, &id)?;
    let (storage, queue) = Storage::new();
    let (broken_sender, broken) = watch::channel(None);
    let actor = ControlActor::spawn_with_mailbox(
        ControlArgs {
            core: Control::new(config, opened.restored, clock.now_us()),
            id,
            clock,
            replicas: ReplicaLinks::new(settings, identity, inbox),
            known: known_names(settings),
            storage,
            metrics,
            broken: broken_sender,
            log: log.clone(),
        },
        mailbox::unbounded(),
    );
    let replica_actor = actor.clone();
    storage::run(store, queue, actor.clone(), log.clone())?;
    tokio::spawn(forward_events(events, actor.clone(), Linked));
    let timer = tokio::spawn(tick(actor.clone(), TICK, Tick));
    let tokens = own.operator_tokens.clone().into();
    let http = ControlHttp {
        actor,
        registry: Arc::new(registry),
        tokens,
    };
    let front = PlatformFront {
        control: http.clone(),
        own: own.listen,
        lookup_lifetime_ms: settings
            .bounds
            .map_or(LOOKUP_LIFETIME_MS, |it| it.lookup_lifetime_ms / 2),
        log: log.clone(),
    };
    let limits = ServerLimits::new();
    let lookup_server = match own.lookup_listen {
        Some(address) => {
            let front = front.clone();
            let look_up = move |request, _| front.clone().look_up(request);
            Some(serve(address, limits.clone(), look_up).await?)
        }
        None => None,
    };
    let server = match own.interface {
        Interface::Native => {
            let handle = move |request, _| http.clone().handle(request);
            serve(own.listen, limits, handle).await?
        }
        Interface::Platform => {
            let call = move |request, _| front.clone().call(request);
            serve(own.listen, limits, call).await?
        }
    };
    info!(log, "control replica started";
        "listen" => %own.listen, "peer_listen" => %own.peer_listen);
    Ok(ControlReplica {
        server,
        lookup_server,
        listener,
        timer,
        actor: replica_actor,
        broken,
    })
}

fn config(settings: &Settings, id: &ReplicaId) -> anyhow::Result<ControlConfig> {
    let own_port = settings.control.as_ref().map(|own| own.listen.port());
    let started = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let http_addresses = settings.replicas.iter();
    let http_addresses =
        http_addresses.map(|replica| (replica.name.to_string(), replica.http_address.to_string()));
    Ok(ControlConfig {
        raft: RaftConfig {
            id: id.clone(),
            heartbeat_us: HEARTBEAT_US,
            election_us: ELECTION_US,
            append_max_bytes: APPEND_MAX_BYTES,
            snapshot_part_bytes: SNAPSHOT_PART_BYTES,
            seed: u64::from(started.subsec_nanos()) ^ u64::from(std::process::id()),
        },
        http_addresses: http_addresses.collect(),
        snapshot_entries: SNAPSHOT_ENTRIES,
        request_timeout_us: match settings.discovery {
            Some(_) => CALL_TIMEOUT_US,
            None => REQUEST_TIMEOUT_US,
        },
        http_port: settings.discovery.as_ref().and(own_port),
        learns_members: settings.discovery.is_some(),
        instance_silence_us: settings.bounds.map_or(INSTANCE_SILENCE_US, |it| {
            SILENT_HEARTBEATS * it.heartbeat_ms * 1_000
        }),
    })
}

/// The replicas to dial in any case: the declared ones, or the seeds.
fn known_names(settings: &Settings) -> Vec<String> {
    match &settings.discovery {
        Some(discovery) => seed_names(discovery),
        None => settings
            .replicas
            .iter()
            .map(|replica| replica.name.to_string())
            .collect(),
    }
}
