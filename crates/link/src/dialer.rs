//! Keeps a connection to one peer.

use crate::{
    connection::Connection,
    counters::Counters,
    error::{LinkError, SendError},
    event::{Event, Replies},
    identity::Identity,
    limits::{BACKOFF_MAX, BACKOFF_MIN, CONNECT_TIMEOUT_MIN, HANDSHAKE_TIMEOUT},
};
use rand::Rng;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    task::JoinHandle,
    time,
};

/// Owns a dialer's task; dropping it closes the connection.
#[derive(Debug)]
pub struct Outbound {
    current: watch::Receiver<Option<Replies>>,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl Outbound {
    /// Queues a frame on the present connection without waiting.
    ///
    /// # Errors
    ///
    /// [`SendError`] when the frame was not queued; it is then never sent.
    pub fn try_send(&self, frame: wire::peer::Frame) -> Result<(), SendError> {
        match &*self.current.borrow() {
            Some(replies) => replies.try_send(frame),
            None => Err(SendError::NotConnected),
        }
    }

    /// Whether a connection stands, as far as is known.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// What the dialer counted.
    #[must_use]
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a task that keeps a connection to `address` and tells `inbox` of it.
///
/// A peer whose name is not `expected` is refused. Frames that waited for a broken connection are
/// dropped.
///
/// # Errors
///
/// [`LinkError::NoKey`] when there is no key.
pub fn dial(
    address: SocketAddr,
    expected: Option<&str>,
    identity: Identity,
    inbox: mpsc::Sender<Event>,
) -> Result<Outbound, LinkError> {
    if identity.keys.is_empty() {
        return Err(LinkError::NoKey);
    }
    let (current, receiver) = watch::channel(None);
    let counters = Arc::new(Counters::default());
    let dialer = Dialer {
        address,
        expected: expected.map(str::to_owned),
        identity,
        inbox,
        current,
        counters: Arc::clone(&counters),
    };
    Ok(Outbound {
        current: receiver,
        counters,
        task: tokio::spawn(dialer.run()),
    })
}

struct Dialer {
    address: SocketAddr,
    expected: Option<String>,
    identity: Identity,
    inbox: mpsc::Sender<Event>,
    current: watch::Sender<Option<Replies>>,
    counters: Arc<Counters>,
}

impl Dialer {
    async fn run(self) {
        let mut backoff = BACKOFF_MIN;
        let mut connect_timeout = CONNECT_TIMEOUT_MIN;
        while !self.inbox.is_closed() {
            match self.connect(connect_timeout).await {
                Some(connection) => {
                    backoff = BACKOFF_MIN;
                    connect_timeout = CONNECT_TIMEOUT_MIN;
                    self.carry(connection).await;
                }
                None => {
                    self.counters.count_refused();
                    connect_timeout = longer(connect_timeout);
                }
            }
            time::sleep(jitter(backoff)).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    async fn connect(&self, connect_timeout: Duration) -> Option<Connection> {
        let connect = async {
            let stream = time::timeout(connect_timeout, TcpStream::connect(self.address));
            let stream = stream.await.ok()?.ok()?;
            // Small frames go out at once; a socket that refuses the option still carries them.
            let _ = stream.set_nodelay(true);
            Connection::dial(stream, &self.identity, self.expected.as_deref())
                .await
                .ok()
        };
        time::timeout(HANDSHAKE_TIMEOUT, connect)
            .await
            .ok()
            .flatten()
    }

    async fn carry(&self, connection: Connection) {
        let up = |replies: &Replies| {
            self.current.send_replace(Some(replies.clone()));
        };
        connection.run(&self.inbox, &self.counters, up).await;
        self.current.send_replace(None);
    }
}

/// The next attempt's time for opening the connection.
fn longer(connect_timeout: Duration) -> Duration {
    match connect_timeout < HANDSHAKE_TIMEOUT {
        true => (2 * connect_timeout).min(HANDSHAKE_TIMEOUT),
        false => CONNECT_TIMEOUT_MIN,
    }
}

/// A wait between half of `backoff` and all of it.
fn jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..=1.0))
}
