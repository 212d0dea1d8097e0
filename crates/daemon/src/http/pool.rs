//! A pool of idle HTTP/1 connections to upstreams, owned by one actor, and opening of new ones.

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

/// Largest number of idle connections kept per upstream; beyond it, the oldest is closed.
const IDLE_PER_UPSTREAM_MAX: usize = 32;

/// The sending half of an HTTP/1 connection to an upstream.
pub type Connection = SendRequest<Full<Bytes>>;

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// TCP failed: the upstream refused or could not be reached.
    #[error("connecting failed: {0}")]
    Connect(#[from] std::io::Error),
    /// TCP did not connect before the deadline.
    #[error("the connection did not open before the deadline")]
    Timeout,
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Http(#[from] hyper::Error),
}

/// An idle connection and the time until which it may be reused.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// Holds the idle connections by upstream address, the most recently used last.
#[derive(Actor, Debug, Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, VecDeque<Idle>>,
}

/// Removes the most recently used connection that is still usable and returns it.
#[derive(Debug)]
pub struct Take {
    /// Address of the upstream, the key of the pool.
    pub address: SocketAddr,
}

/// Returns a connection to the pool after a complete exchange.
#[derive(Debug)]
pub struct Put {
    /// Address of the upstream, the key of the pool.
    pub address: SocketAddr,
    /// The connection, with no request in flight.
    pub connection: Connection,
    /// When the connection must no longer be reused, since the upstream may close it.
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
        while let Some(idle_connection) = idle.pop_back() {
            if idle_connection.connection.is_ready() && idle_connection.expires > now {
                return Some(idle_connection.connection);
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
        idle.retain(|idle_connection| {
            !idle_connection.connection.is_closed() && idle_connection.expires > now
        });
        if idle.len() == IDLE_PER_UPSTREAM_MAX {
            idle.pop_front();
        }
        idle.push_back(Idle {
            connection,
            expires,
        });
    }
}

/// Opens a connection and spawns the task that owns its socket. `deadline` bounds the TCP connect.
///
/// # Errors
///
/// [`ConnectError`]; no byte of a request was sent.
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<Connection, ConnectError> {
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    let (connection, driver) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver);
    Ok(connection)
}
