//! HTTP server, connection pool and response helpers that entries, gateways and control replicas
//! share.

mod body;
mod connection;
mod headers;
mod pool;
mod reply;
mod server;
mod token;

pub use self::{
    body::{DISCARD_MAX_BYTES, discard_body, read_body},
    connection::{AnswerBody, Connection, SendError, connect},
    headers::strip_hop_by_hop_headers,
    pool::{Pool, Put, Take},
    reply::{Body, error, json, metrics, with_body},
    server::{HEAD_TIMEOUT, Server, ServerLimits, serve},
    token::{bearer_token, same_token},
};
