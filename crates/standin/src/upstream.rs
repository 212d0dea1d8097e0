//! A stand-in upstream: an HTTP server that runs requests by sleeping, announces itself to an entry
//! and records each run.

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

/// The identity and behaviour of a stand-in upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// The name under which it announces itself.
    pub name: UpstreamName,
    /// The service that it runs.
    pub service: ServiceName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The announced region.
    pub region: RegionName,
    /// The announced failure domain.
    pub failure_domain: DomainName,
    /// How many requests it runs at once; it refuses more with status 503.
    pub slots: u32,
    /// The announced number of connections that it accepts; it does not enforce it.
    pub connections: u32,
    /// How long a request runs before it is answered.
    pub service_time: Duration,
    /// The size of an answer's body.
    pub answer_bytes: usize,
}

/// Handle to a running stand-in upstream. Dropping it aborts its tasks.
#[derive(Debug)]
pub struct Upstream {
    spec: UpstreamSpec,
    inbox: mpsc::UnboundedSender<Message>,
    status: watch::Receiver<Status>,
    _tasks: JoinSet<()>,
}

impl Upstream {
    /// Binds the address and starts the tasks. The upstream announces itself to one of `entries` at
    /// a time.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
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

    /// The specification that was given at the start.
    #[must_use]
    pub const fn spec(&self) -> &UpstreamSpec {
        &self.spec
    }

    /// Announces from now on that it leaves. Returns the time of that change, `None` if the tasks
    /// have ended.
    pub async fn leave(&self) -> Option<TimeUs> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(Message::Leave { reply }).ok()?;
        answer.await.ok()
    }

    /// Waits until it leaves and runs no request.
    pub async fn wait_until_idle(&self) {
        let mut status = self.status.clone();
        let _ = status
            .wait_for(|status| status.state == UpstreamState::Leaving && status.load == 0)
            .await;
    }

    /// All runs that it has recorded so far; empty if its tasks have ended.
    pub async fn runs(&self) -> Vec<Run> {
        let (reply, answer) = oneshot::channel();
        match self.inbox.send(Message::Report { reply }) {
            Ok(()) => answer.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }
}
