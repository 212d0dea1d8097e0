//! The parts of HTTP that entries and control replicas share.

mod body;
mod reply;
mod server;

pub use self::{
    body::read_body,
    reply::{Body, error, json, text},
    server::{Server, serve},
};
