//! The encoding of HTTP interfaces, most of it the control replica's, apart from sockets and
//! decisions.
//!
//! A server hands [`parse`] the parts of a request and sends what [`encode`] makes of the answer.

mod body;
mod encode;
mod parse;

pub use crate::{
    body::{AdmitBody, ApplyBody, ChangeBody, DeleteBody, PlanBody, PutBody},
    encode::{HttpAnswer, encode},
    parse::{
        BODY_MAX_BYTES, HttpRequest, PLAN_MAX_BYTES, WATCH_MAX_MS, body_max_bytes, lookup_client,
        parse,
    },
};
