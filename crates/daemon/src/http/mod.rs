//! HTTP server, connection pool and response helpers that entries, gateways and control replicas
//! share.

mod body;
mod headers;
mod pool;
mod reply;
mod server;
mod token;

pub use self::{
    body::read_body,
    headers::strip_hop_by_hop_headers,
    pool::{Connection, Pool, Put, Take, connect},
    reply::{Body, error, json, metrics, with_body},
    server::{HEAD_TIMEOUT, Server, ServerLimits, serve},
    token::{bearer_token, same_token},
};
