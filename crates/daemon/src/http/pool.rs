//! The task that owns idle connections to upstreams.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use kameo::{
    Actor,
    message::{Context, Message},
};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

/// Idle connections kept to one upstream.
const IDLE_MAX: usize = 32;

/// A connection to an upstream on which nothing is under way.
pub type Connection = SendRequest<Full<Bytes>>;

/// A connection that could not be made.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The upstream did not accept it.
    #[error("connecting failed: {0}")]
    Connect(#[from] std::io::Error),
    /// It took longer than allowed.
    #[error("connecting took too long")]
    Timeout,
    /// HTTP could not be set up.
    #[error("setting up HTTP failed: {0}")]
    Http(#[from] hyper::Error),
}

/// A connection and until when it may be used again.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// Owns idle connections.
#[derive(Actor, Debug, Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, VecDeque<Idle>>,
}

/// Takes an idle connection.
#[derive(Debug)]
pub struct Take {
    /// The upstream's address.
    pub address: SocketAddr,
}

/// Gives back a connection whose last exchange was whole.
#[derive(Debug)]
pub struct Put {
    /// The upstream's address.
    pub address: SocketAddr,
    /// The connection.
    pub connection: Connection,
    /// When it must not be used any more; the upstream may close it from then on.
    pub expires: Instant,
}

impl Message<Take> for Pool {
    type Reply = Option<Connection>;

    async fn handle(
        &mut self,
        Take { address }: Take,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(kept) = idle.pop_back() {
            if kept.connection.is_ready() && kept.expires > now {
                return Some(kept.connection);
            }
        }
        self.idle.remove(&address);
        None
    }
}

impl Message<Put> for Pool {
    type Reply = ();

    async fn handle(
        &mut self,
        Put {
            address,
            connection,
            expires,
        }: Put,
        _: &mut Context<Self, Self::Reply>,
    ) {
        let idle = self.idle.entry(address).or_default();
        let now = Instant::now();
        idle.retain(|kept| !kept.connection.is_closed() && kept.expires > now);
        if idle.len() == IDLE_MAX {
            idle.pop_front();
        }
        idle.push_back(Idle {
            connection,
            expires,
        });
    }
}

/// Opens a connection; the task that drives it owns the socket.
///
/// # Errors
///
/// [`ConnectError`]; no byte of a request has left.
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<Connection, ConnectError> {
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    let (connection, driver) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver);
    Ok(connection)
}
