//! The encoding of the control replica's HTTP interface, apart from sockets and decisions.
//!
//! A server hands [`parse`] the parts of a request and sends what [`encode`] makes of the answer.

mod body;
mod encode;
mod parse;

pub use crate::{
    body::{AdmitBody, ApplyBody, ChangeBody, DeleteBody, PutBody},
    encode::{HttpAnswer, encode},
    parse::{BODY_MAX_BYTES, HttpRequest, WATCH_MAX_MS, parse},
};
