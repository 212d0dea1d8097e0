//! Accepts connections and serves each in a task of its own.

use crate::http::Body;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::JoinHandle,
};

/// Connections that one listener serves at once; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 8_192;

/// A request head that takes longer to come ends the connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The wait after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// A running listener.
#[derive(Debug)]
pub struct Server {
    closing: watch::Sender<bool>,
    accepting: JoinHandle<()>,
    connections: Arc<Semaphore>,
}

impl Server {
    /// Accepts no further connection, lets the exchanges in flight finish, and returns once every
    /// connection is closed.
    pub async fn close(self) {
        self.closing.send_replace(true);
        let _ = self.accepting.await;
        let all = u32::try_from(CONNECTIONS_MAX).unwrap_or(u32::MAX);
        let _ = self.connections.acquire_many(all).await;
    }
}

/// Serves every connection to `address` by `handler`.
///
/// # Errors
///
/// When the address can't be listened on.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> io::Result<Server>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let (closing, closed) = watch::channel(false);
    let connections = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let accepting = tokio::spawn(accept(listener, Arc::clone(&connections), closed, handler));
    Ok(Server {
        closing,
        accepting,
        connections,
    })
}

async fn accept<H, F>(
    listener: TcpListener,
    connections: Arc<Semaphore>,
    mut closed: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    while let Ok(permit) = Arc::clone(&connections).acquire_owned().await {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|closed| *closed) => return,
        };
        match accepted {
            Ok((stream, client)) => {
                let connection = connection(stream, client, closed.clone(), handler.clone());
                tokio::spawn(hold(permit, connection));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
}

async fn hold(permit: OwnedSemaphorePermit, connection: impl Future<Output = ()>) {
    connection.await;
    drop(permit);
}

async fn connection<H, F>(
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
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    tokio::select! {
        _ = served.as_mut() => return,
        _ = closed.wait_for(|closed| *closed) => served.as_mut().graceful_shutdown(),
    }
    let _ = served.await;
}
