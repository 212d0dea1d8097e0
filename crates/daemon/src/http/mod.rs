//! HTTP server, connection pool and response helpers that entries, gateways and control replicas
//! share.

mod admission;
mod body;
mod connection;
mod ending;
mod headers;
mod limits;
mod pool;
mod reply;
mod server;
mod socket;
mod stream;
mod token;

pub use self::{
    body::{DISCARD_MAX_BYTES, discard_body, read_body},
    connection::{AnswerBody, Connection, RequestBody, SendError, connect},
    ending::{Client, ConnectionRecorder, End},
    headers::strip_hop_by_hop_headers,
    limits::{Cut, HeadLimits, ServerLimits},
    pool::{Pool, Put, Take},
    reply::{Body, error, json, metrics, with_body},
    server::{Server, serve},
    stream::ClientBody,
    token::{bearer_token, same_token},
};
