//! The table of announced upstreams and its exchange between entries.
//!
//! An entry that hears an upstream itself is that announcement's home. Other entries ask each home
//! in turn; the validity they learn counts from the moment they asked, so that a slow or lost
//! answer can only shorten it. An entry that is cut off from a home therefore drops the home's
//! upstreams no later than the home itself would without a renewal.

mod exchange;
mod table;

pub use crate::{
    exchange::{PeerAnswer, PeerRenewal, PeerUpstream},
    table::{Announced, Event, MemberRow, Members},
};

/// An upstream should announce itself again within this time.
pub const RENEW_WITHIN_MS: u64 = 500;

/// An upstream that does not renew gets no new work after this time.
pub const EXPIRES_WITHIN_MS: u64 = 1_700;

/// How long the sequence of an expired upstream is remembered, so that no older announcement that
/// is still under way brings it back.
pub const REMEMBER_EXPIRED_MS: u64 = 60_000;
