//! An HTTP/1 server that serves each connection in its own task and closes gracefully.

use crate::http::Body;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::JoinHandle,
};

/// Default time for a request head to arrive; after it, the connection is closed.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Default for [`ServerLimits::connections_max`].
const CONNECTIONS_MAX: u32 = 8_192;

/// Limits on the connections of one listener.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Largest number of open connections; further ones wait in the backlog of the socket.
    pub connections_max: u32,
    /// Time for a complete request head to arrive, also on an idle connection; after it, the
    /// connection is closed. A change applies to connections accepted later.
    pub head_timeout: watch::Receiver<Duration>,
}

impl ServerLimits {
    /// The default limits, which don't change.
    pub fn new() -> Self {
        let (_, head_timeout) = watch::channel(HEAD_TIMEOUT);
        Self {
            connections_max: CONNECTIONS_MAX,
            head_timeout,
        }
    }
}

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// A running listener.
#[derive(Debug)]
pub struct Server {
    closing: watch::Sender<bool>,
    accepting: JoinHandle<()>,
    connections: Arc<Semaphore>,
    connections_max: u32,
}

impl Server {
    /// Stops accepting, lets the requests in flight finish, and returns once every connection is
    /// closed. Has no time limit of its own.
    pub async fn close(self) {
        self.closing.send_replace(true);
        let _ = self.accepting.await;
        let _ = self.connections.acquire_many(self.connections_max).await;
    }
}

/// Listens on `address` and answers every request with `handler`, which also gets the address of
/// the client.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn serve<H, F>(
    address: SocketAddr,
    limits: ServerLimits,
    handler: H,
) -> io::Result<Server>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let (closing, closed) = watch::channel(false);
    let connections_max = limits.connections_max;
    let connections = Arc::new(Semaphore::new(connections_max as usize));
    let acceptor = Acceptor {
        listener,
        connections: Arc::clone(&connections),
        closed,
        head_timeout: limits.head_timeout,
    };
    let accepting = tokio::spawn(acceptor.run(handler));
    Ok(Server {
        closing,
        accepting,
        connections,
        connections_max,
    })
}

struct Acceptor {
    listener: TcpListener,
    connections: Arc<Semaphore>,
    closed: watch::Receiver<bool>,
    head_timeout: watch::Receiver<Duration>,
}

impl Acceptor {
    async fn run<H, F>(mut self, handler: H)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        while let Ok(permit) = Arc::clone(&self.connections).acquire_owned().await {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = self.closed.wait_for(|closed| *closed) => return,
            };
            match accepted {
                Ok((stream, client)) => {
                    let mut builder = http1::Builder::new();
                    builder
                        .timer(TokioTimer::new())
                        .header_read_timeout(*self.head_timeout.borrow());
                    let closed = self.closed.clone();
                    let connection =
                        serve_connection(builder, stream, client, closed, handler.clone());
                    tokio::spawn(serve_with_permit(permit, connection));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
            }
        }
    }
}

async fn serve_with_permit(permit: OwnedSemaphorePermit, connection: impl Future<Output = ()>) {
    connection.await;
    drop(permit);
}

async fn serve_connection<H, F>(
    builder: http1::Builder,
    stream: TcpStream,
    client: SocketAddr,
    mut closed: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request, client);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    tokio::select! {
        _ = served.as_mut() => return,
        _ = closed.wait_for(|closed| *closed) => served.as_mut().graceful_shutdown(),
    }
    let _ = served.await;
}
