//! Accepts connections of peers.

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

/// Wait after a failed accept, such as one for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Owns a listener's task; dropping it closes the listener and its connections.
#[derive(Debug)]
pub struct ListenerHandle {
    address: SocketAddr,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl ListenerHandle {
    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the listener counted.
    #[must_use]
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Closes the listener and its connections and waits until its socket is free.
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

/// Starts a task that accepts peers on `address` and tells `inbox` of them.
///
/// # Errors
///
/// [`LinkError`] when the address can't be bound or there is no key.
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
        handshakes_of: HashMap::new(),
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
    handshakes_of: HashMap<IpAddr, usize>,
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
        let of_address = self.handshakes_of.entry(address).or_default();
        let full = *of_address >= HANDSHAKES_PER_ADDRESS_MAX
            || self.handshakes.len() >= HANDSHAKES_MAX
            || self.connections.len() >= CONNECTIONS_MAX;
        if full {
            self.counters.count_rejected();
            return;
        }
        *of_address += 1;
        let identity = Arc::clone(&self.identity);
        self.handshakes.spawn(async move {
            // Small frames go out at once; a socket that refuses the option still carries them.
            let _ = stream.set_nodelay(true);
            let accept = Connection::accept(stream, &identity);
            let connection = time::timeout(HANDSHAKE_TIMEOUT, accept).await;
            (address, connection.ok().and_then(Result::ok))
        });
    }

    fn finish_handshake(&mut self, address: IpAddr, connection: Option<Connection>) {
        if let Some(of_address) = self.handshakes_of.get_mut(&address) {
            *of_address -= 1;
            if *of_address == 0 {
                self.handshakes_of.remove(&address);
            }
        }
        let Some(connection) = connection else {
            self.counters.count_refused();
            return;
        };
        let inbox = self.inbox.clone();
        let counters = Arc::clone(&self.counters);
        self.connections
            .spawn(async move { connection.run(&inbox, &counters, |_| ()).await });
    }
}
