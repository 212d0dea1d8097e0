//! A stand-in upstream: runs requests, announces itself and records each run.

mod announcer;
mod body;
mod owner;
mod server;

use crate::{clock::Clock, record::Run};
use owner::{Message, Owner, Status};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
};
use types::{DomainName, RegionName, ServiceName, TimeUs, UpstreamName, UpstreamState};

/// What a stand-in upstream is and does.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Its name.
    pub name: UpstreamName,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Requests that it runs at once; it refuses more.
    pub slots: u32,
    /// Connections that it says it accepts.
    pub connections: u32,
    /// How long a run takes.
    pub service_time: Duration,
    /// The size of an answer.
    pub answer_bytes: usize,
}

/// A running stand-in upstream; dropping it ends its tasks.
#[derive(Debug)]
pub struct Upstream {
    spec: UpstreamSpec,
    inbox: mpsc::UnboundedSender<Message>,
    status: watch::Receiver<Status>,
    _tasks: JoinSet<()>,
}

impl Upstream {
    /// Binds its address and starts its tasks; it announces itself to one of `entries`.
    ///
    /// # Errors
    ///
    /// When its address can't be bound.
    pub async fn start(
        spec: UpstreamSpec,
        entries: &[SocketAddr],
        clock: Clock,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(spec.address).await?;
        let (inbox, messages) = mpsc::unbounded_channel();
        let (publish, status) = watch::channel(Status::new());
        let mut tasks = JoinSet::new();
        tasks.spawn(Owner::new(&spec, clock, publish, inbox.clone()).run(messages));
        tasks.spawn(server::serve(listener, spec.clone(), inbox.clone()));
        tasks.spawn(announcer::announce(
            spec.clone(),
            entries.to_vec(),
            status.clone(),
        ));
        Ok(Self {
            spec,
            inbox,
            status,
            _tasks: tasks,
        })
    }

    /// What it is.
    #[must_use]
    pub const fn spec(&self) -> &UpstreamSpec {
        &self.spec
    }

    /// Announces that it leaves; returns when it began to.
    pub async fn leave(&self) -> Option<TimeUs> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(Message::Leave { reply }).ok()?;
        answer.await.ok()
    }

    /// Waits until it leaves and runs nothing.
    pub async fn wait_until_idle(&self) {
        let mut status = self.status.clone();
        let _ = status
            .wait_for(|status| status.state == UpstreamState::Leaving && status.load == 0)
            .await;
    }

    /// Every run that it recorded so far.
    pub async fn runs(&self) -> Vec<Run> {
        let (reply, answer) = oneshot::channel();
        match self.inbox.send(Message::Report { reply }) {
            Ok(()) => answer.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }
}
