//! The parts of HTTP that entries and control replicas share.

mod body;
mod reply;
mod server;
mod token;

pub use self::{
    body::read_body,
    reply::{Body, error, json, metrics},
    server::{Server, serve},
    token::{bearer_token, same_token},
};
