//! A task that accepts and authenticates connections, within limits of their number.

use crate::{
    connection::Connection,
    counters::Counters,
    error::LinkError,
    event::Event,
    identity::Identity,
    limits::{CONNECTIONS_MAX, HANDSHAKE_TIMEOUT, HANDSHAKES_MAX, HANDSHAKES_PER_ADDRESS_MAX},
};
use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::{JoinHandle, JoinSet},
    time,
};

/// The wait after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Owns a listener's task; dropping it closes the listener and its connections.
#[derive(Debug)]
pub struct ListenerHandle {
    address: SocketAddr,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl ListenerHandle {
    /// The address that the listener is bound to, with the actual port if port 0 was requested.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The listener's counters.
    #[must_use]
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Closes the listener and its connections, and waits until their sockets are closed.
    pub async fn close(mut self) {
        self.task.abort();
        // The task was cancelled or had ended; either way its sockets are closed.
        let _ = (&mut self.task).await;
    }
}

impl Drop for ListenerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a task that accepts connections on `address` and sends their events to `inbox`.
///
/// # Errors
///
/// [`LinkError`] when the address can't be bound or `identity` holds no key.
pub async fn listen(
    address: SocketAddr,
    identity: Identity,
    inbox: mpsc::Sender<Event>,
) -> Result<ListenerHandle, LinkError> {
    if identity.keys.is_empty() {
        return Err(LinkError::NoKey);
    }
    let bind_error = |source| LinkError::Bind { address, source };
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    let counters = Arc::new(Counters::default());
    let acceptor = Acceptor {
        listener,
        identity: Arc::new(identity),
        inbox,
        counters: Arc::clone(&counters),
        handshakes: JoinSet::new(),
        handshakes_by_address: HashMap::new(),
        connections: JoinSet::new(),
    };
    Ok(ListenerHandle {
        address,
        counters,
        task: tokio::spawn(acceptor.run()),
    })
}

struct Acceptor {
    listener: TcpListener,
    identity: Arc<Identity>,
    inbox: mpsc::Sender<Event>,
    counters: Arc<Counters>,
    handshakes: JoinSet<(IpAddr, Option<Connection>)>,
    handshakes_by_address: HashMap<IpAddr, usize>,
    connections: JoinSet<()>,
}

impl Acceptor {
    async fn run(mut self) {
        loop {
            tokio::select! {
                Some(ended) = self.handshakes.join_next() => {
                    if let Ok((address, connection)) = ended {
                        self.finish_handshake(address, connection);
                    }
                }
                Some(_) = self.connections.join_next() => {}
                () = self.inbox.closed() => return,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, address)) => self.start_handshake(stream, address.ip()),
                    Err(_) => time::sleep(ACCEPT_RETRY).await,
                },
            }
        }
    }

    fn start_handshake(&mut self, stream: TcpStream, address: IpAddr) {
        let handshakes_from_address = self.handshakes_by_address.entry(address).or_default();
        let at_limit = *handshakes_from_address >= HANDSHAKES_PER_ADDRESS_MAX
            || self.handshakes.len() >= HANDSHAKES_MAX
            || self.connections.len() >= CONNECTIONS_MAX;
        if at_limit {
            self.counters.count_rejected_over_limit();
            return;
        }
        *handshakes_from_address += 1;
        let identity = Arc::clone(&self.identity);
        self.handshakes.spawn(async move {
            // Sends small frames without delay. Without the option the connection still works.
            let _ = stream.set_nodelay(true);
            let accept = Connection::accept(stream, &identity);
            let connection = time::timeout(HANDSHAKE_TIMEOUT, accept).await;
            (address, connection.ok().and_then(Result::ok))
        });
    }

    fn finish_handshake(&mut self, address: IpAddr, connection: Option<Connection>) {
        if let Some(handshakes_from_address) = self.handshakes_by_address.get_mut(&address) {
            *handshakes_from_address -= 1;
            if *handshakes_from_address == 0 {
                self.handshakes_by_address.remove(&address);
            }
        }
        let Some(connection) = connection else {
            self.counters.count_failed();
            return;
        };
        let inbox = self.inbox.clone();
        let counters = Arc::clone(&self.counters);
        self.connections
            .spawn(async move { connection.run(&inbox, &counters, |_| ()).await });
    }
}
