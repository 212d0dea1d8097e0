//! A task that keeps a connection to one address and connects again when it ends.

use crate::{
    connection::Connection,
    counters::Counters,
    error::{LinkError, SendError},
    event::{Event, FrameSender},
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
pub struct DialerHandle {
    current: watch::Receiver<Option<FrameSender>>,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl DialerHandle {
    /// Queues a frame on the current connection without waiting. If the connection ends first, the
    /// frame is dropped.
    ///
    /// # Errors
    ///
    /// [`SendError`] when the frame was not queued; it is then never sent.
    pub fn try_send(&self, frame: wire::peer::Frame) -> Result<(), SendError> {
        match &*self.current.borrow() {
            Some(sender) => sender.try_send(frame),
            None => Err(SendError::NotConnected),
        }
    }

    /// Whether there is an authenticated connection. A broken one counts until it is noticed, which
    /// can take [`SILENCE_TIMEOUT`](crate::SILENCE_TIMEOUT).
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// The dialer's counters.
    #[must_use]
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }
}

impl Drop for DialerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a task that keeps a connection to `address` and sends its events to `inbox`.
///
/// A peer whose name is not `expected_node` is refused. Frames still queued when a connection ends
/// are dropped, not sent on the next one.
///
/// # Errors
///
/// [`LinkError::NoKey`] when `identity` holds no key.
pub fn dial(
    address: SocketAddr,
    expected_node: Option<&str>,
    identity: Identity,
    inbox: mpsc::Sender<Event>,
) -> Result<DialerHandle, LinkError> {
    if identity.keys.is_empty() {
        return Err(LinkError::NoKey);
    }
    let (current, receiver) = watch::channel(None);
    let counters = Arc::new(Counters::default());
    let dialer = Dialer {
        address,
        expected_node: expected_node.map(str::to_owned),
        identity,
        inbox,
        current,
        counters: Arc::clone(&counters),
    };
    Ok(DialerHandle {
        current: receiver,
        counters,
        task: tokio::spawn(dialer.run()),
    })
}

struct Dialer {
    address: SocketAddr,
    expected_node: Option<String>,
    identity: Identity,
    inbox: mpsc::Sender<Event>,
    current: watch::Sender<Option<FrameSender>>,
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
                    self.run_connection(connection).await;
                }
                None => {
                    self.counters.count_failed();
                    connect_timeout = next_connect_timeout(connect_timeout);
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
            // Sends small frames without delay. Without the option the connection still works.
            let _ = stream.set_nodelay(true);
            Connection::dial(stream, &self.identity, self.expected_node.as_deref())
                .await
                .ok()
        };
        time::timeout(HANDSHAKE_TIMEOUT, connect)
            .await
            .ok()
            .flatten()
    }

    async fn run_connection(&self, connection: Connection) {
        let on_up = |sender: &FrameSender| {
            self.current.send_replace(Some(sender.clone()));
        };
        connection.run(&self.inbox, &self.counters, on_up).await;
        self.current.send_replace(None);
    }
}

/// The connect timeout of the attempt after a failed one: twice as long, up to
/// [`HANDSHAKE_TIMEOUT`], and then [`CONNECT_TIMEOUT_MIN`] again.
fn next_connect_timeout(connect_timeout: Duration) -> Duration {
    match connect_timeout < HANDSHAKE_TIMEOUT {
        true => (2 * connect_timeout).min(HANDSHAKE_TIMEOUT),
        false => CONNECT_TIMEOUT_MIN,
    }
}

/// A random time between half of `backoff` and all of it.
fn jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..=1.0))
}
