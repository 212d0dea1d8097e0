//! The encoding of the control replica's HTTP interface, without sockets and without decisions.
//!
//! A server passes the parts of an HTTP request to [`parse`], has the control core answer the typed
//! request, and sends the result of [`encode`]. [`lookup_client`] parses the query of a look-up at
//! an entry.

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
