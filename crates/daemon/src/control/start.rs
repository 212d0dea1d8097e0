//! Starts the tasks of a control replica and stops them in order.

use crate::{
    clock::Clock,
    control::{
        actor::{ControlActor, ControlArgs, Linked, Tick},
        http::ControlHttp,
        metrics::ControlMetrics,
        storage::{self, Storage},
    },
    feed::{pass_events, tick},
    http::{Server, serve},
};
use control::{Control, ControlConfig};
use kameo::{actor::Spawn, mailbox};
use link::{Event, Identity, LinkError, ListenerHandle, Outbound, dial, listen};
use prometheus_client::registry::Registry;
use raft::{RaftConfig, ReplicaId};
use settings::{ControlSettings, Settings};
use slog::{Logger, info};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
};

/// The period of the core's ticks.
const TICK: Duration = Duration::from_millis(20);

/// Events of links that wait for the actor.
const LINK_EVENTS: usize = 1_024;

/// The period of a leader's heartbeats.
const HEARTBEAT_US: u64 = 150_000;

/// The shortest wait for a leader before an election.
const ELECTION_US: u64 = 600_000;

/// The largest sum of entries in one message between replicas.
const APPEND_MAX_BYTES: usize = 256 * 1024;

/// The size of a part of a snapshot between replicas.
const SNAPSHOT_PART_BYTES: usize = 256 * 1024;

/// A snapshot is taken after so many applied entries of the log.
const SNAPSHOT_ENTRIES: u64 = 1_000;

/// An operator's request that is not answered after this time is answered `unavailable`.
const REQUEST_TIMEOUT_US: u64 = 5_000_000;

/// A running control replica.
#[derive(Debug)]
pub struct ControlReplica {
    server: Server,
    listener: ListenerHandle,
    timer: JoinHandle<()>,
    broken: watch::Receiver<bool>,
}

impl ControlReplica {
    /// Returns once the replica can't go on.
    pub async fn broken(&mut self) {
        if self.broken.wait_for(|broken| *broken).await.is_err() {
            std::future::pending().await
        }
    }

    /// Answers the requests that are under way and stops.
    pub async fn stop(self) {
        self.server.close().await;
        self.timer.abort();
        self.listener.close().await;
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
    let (broken_sender, broken) = watch::channel(false);
    let actor = ControlActor::spawn_with_mailbox(
        ControlArgs {
            core: Control::new(config, opened.restored, clock.now_us()),
            id,
            clock,
            replicas: dial_replicas(settings, &identity, &inbox)?,
            storage,
            metrics,
            broken: broken_sender,
            log: log.clone(),
        },
        mailbox::unbounded(),
    );
    storage::run(store, queue, actor.clone(), log.clone())?;
    tokio::spawn(pass_events(events, actor.clone(), Linked));
    let timer = tokio::spawn(tick(actor.clone(), TICK, Tick));
    let tokens = own.operator_tokens.clone().into();
    let http = ControlHttp {
        actor,
        registry: Arc::new(registry),
        tokens,
    };
    let server = serve(own.listen, move |request, _| http.clone().handle(request)).await?;
    info!(log, "control replica started";
        "listen" => %own.listen, "peer_listen" => %own.peer_listen);
    Ok(ControlReplica {
        server,
        listener,
        timer,
        broken,
    })
}

fn config(settings: &Settings, id: &ReplicaId) -> anyhow::Result<ControlConfig> {
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
        request_timeout_us: REQUEST_TIMEOUT_US,
    })
}

fn dial_replicas(
    settings: &Settings,
    identity: &Identity,
    inbox: &mpsc::Sender<Event>,
) -> Result<BTreeMap<String, Outbound>, LinkError> {
    let others = settings
        .replicas
        .iter()
        .filter(|r| r.name.as_str() != settings.node.name);
    others
        .map(|replica| {
            let name = replica.name.as_str();
            let (identity, inbox) = (identity.clone(), inbox.clone());
            let outbound = dial(replica.peer_address, Some(name), identity, inbox)?;
            Ok((name.to_owned(), outbound))
        })
        .collect()
}
