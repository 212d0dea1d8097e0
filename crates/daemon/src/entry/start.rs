//! Starts the listeners, actor and timer of an entry, and stops them in order.

use crate::{
    clock::Clock,
    entry::{
        actor::{EntryActor, EntryArgs, LinkEvent, Stop, Tick},
        http::EntryHttp,
        links::Links,
        metrics::EntryMetrics,
    },
    feed::{forward_events, tick},
    http::{ConnectionRecorder, Pool, Server, ServerLimits, serve},
};
use entry::{EntryConfig, EntryCore};
use kameo::{
    actor::{ActorRef, Spawn},
    mailbox,
};
use link::{Identity, ListenerHandle, listen};
use prometheus_client::registry::Registry;
use route::{Fallback, Policy, RouterConfig};
use settings::{EntrySettings, Settings};
use slog::{Logger, info};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
};
use types::EntryName;

/// Period of the core's ticks.
const TICK: Duration = Duration::from_millis(50);

/// Capacity of the channel of link events to the actor.
const LINK_EVENTS: usize = 1_024;

/// A running entry, ended by [`Self::stop`].
#[derive(Debug)]
pub struct Entry {
    actor: ActorRef<EntryActor>,
    server: Server,
    listener: ListenerHandle,
    timer: JoinHandle<()>,
    stopped: watch::Receiver<bool>,
}

impl Entry {
    /// Stops the entry: takes it out of new look-up answers, waits until earlier answers have
    /// expired, and lets the requests in flight finish.
    pub async fn stop(mut self) {
        let _ = self.actor.tell(Stop).await;
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
        self.server.close().await;
        self.timer.abort();
        self.listener.close().await;
        let _ = self.actor.stop_gracefully().await;
    }
}

/// Starts an entry.
///
/// # Errors
///
/// When an address can't be bound, the node's name is invalid, or the identity holds no key.
pub async fn start(
    settings: &Settings,
    role_settings: &EntrySettings,
    identity: Identity,
    log: &Logger,
) -> anyhow::Result<Entry> {
    let clock = Clock::new();
    let name = EntryName::new(&settings.node.name)?;
    let (inbox, events) = mpsc::channel(LINK_EVENTS);
    let listener = listen(role_settings.peer_listen, identity.clone(), inbox.clone()).await?;
    let links = Links::new(settings, identity.clone(), inbox)?;
    let mut registry = Registry::with_prefix("oleanderwell_entry");
    let metrics = Arc::new(EntryMetrics::new(&mut registry));
    let recorder = ConnectionRecorder::new(&mut registry, log);
    let (stopped_sender, stopped) = watch::channel(false);
    let core = core(settings, role_settings, name, identity.incarnation, clock);
    let actor = EntryActor::spawn_with_mailbox(
        EntryArgs {
            core,
            clock,
            links,
            metrics: Arc::clone(&metrics),
            stopped: stopped_sender,
            log: log.clone(),
        },
        mailbox::unbounded(),
    );
    tokio::spawn(forward_events(events, actor.clone(), LinkEvent));
    let timer = tokio::spawn(tick(actor.clone(), TICK, Tick));
    let http = EntryHttp {
        actor: actor.clone(),
        pool: Pool::spawn_with_mailbox(Pool::default(), mailbox::unbounded()),
        clock,
        metrics,
        registry: Arc::new(registry),
        tokens: role_settings.announce_tokens.clone().into(),
        id_prefix: format!("{}-{:x}", settings.node.name, identity.incarnation).into(),
    };
    let server = serve(
        role_settings.listen,
        ServerLimits::new(&settings.limits, "callers", &recorder),
        move |request, client| http.clone().handle(request, client.address().ip()),
    )
    .await?;
    info!(log, "entry started";
        "listen" => %role_settings.listen, "peer_listen" => %role_settings.peer_listen);
    Ok(Entry {
        actor,
        server,
        listener,
        timer,
        stopped,
    })
}

fn core(
    settings: &Settings,
    role_settings: &EntrySettings,
    name: EntryName,
    seed: u64,
    clock: Clock,
) -> EntryCore {
    let (region, failure_domain) = (
        settings.node.region.clone(),
        settings.node.failure_domain.clone(),
    );
    let router = RouterConfig::new(name.clone(), region.clone(), failure_domain.clone());
    let router = router
        .with_seed(seed)
        .with_fallback(Fallback::Zero)
        .with_policy(Policy::Adaptive);
    let config = EntryConfig {
        name,
        region,
        failure_domain,
        replicas: settings
            .replicas
            .iter()
            .map(|replica| replica.name.clone())
            .collect(),
        lookup_lifetime_ms: role_settings.lookup_lifetime_ms,
        client_blocks: role_settings.client_blocks.clone(),
        incarnation: seed,
    };
    EntryCore::new(config, router, clock.now_us())
}
