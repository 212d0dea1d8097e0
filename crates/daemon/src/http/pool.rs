//! A pool of idle HTTP/1 connections to upstreams, owned by one actor.

use crate::http::Connection;
use kameo::{
    Actor,
    message::{Context, Message},
};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};
use tokio::time::Instant;

/// Largest number of idle connections kept per upstream; beyond it, the oldest is closed.
const IDLE_PER_UPSTREAM_MAX: usize = 32;

/// An idle connection and the times until which it may be reused.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    fresh_until: Instant,
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
    /// Whether only a connection that was used lately will do, as for a request that can't be sent again
    /// when the upstream has dropped the connection.
    pub fresh: bool,
}

/// Returns a connection to the pool after a complete exchange.
#[derive(Debug)]
pub struct Put {
    /// Address of the upstream, the key of the pool.
    pub address: SocketAddr,
    /// The connection, with no request in flight.
    pub connection: Connection,
    /// Until when the connection counts as used lately, if that is before `expires`.
    pub fresh_until: Instant,
    /// When the connection must no longer be reused, since the upstream may close it.
    pub expires: Instant,
}

impl Message<Take> for Pool {
    type Reply = Option<Connection>;

    async fn handle(
        &mut self,
        Take { address, fresh }: Take,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(last) = idle.back() {
            if fresh && last.fresh_until <= now {
                return None;
            }
            let idle_connection = idle.pop_back()?;
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
            fresh_until,
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
            fresh_until,
            expires,
        });
    }
}
