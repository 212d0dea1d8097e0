//! The table of announced upstreams and its exchange between entries.
//!
//! The entry that receives an announcement from the upstream itself is that announcement's home.
//! Every entry regularly requests the upstreams of every other entry. The remaining validity in an
//! answer counts from the time at which the request was sent, so a slow or lost answer can only
//! shorten it. An entry that is partitioned from a home therefore drops the home's upstreams no
//! later than the home itself would without a renewal.

mod exchange;
mod table;

pub use crate::{
    exchange::{PeerAnswer, PeerRenewal, PeerUpstream},
    table::{AnnounceResult, Event, MemberRow, Members},
};

/// An upstream should announce itself again within this time after its last announcement.
pub const RENEW_WITHIN_MS: u64 = 500;

/// An announcement expires this long after its home received it. An upstream that did not renew it
/// gets no new requests from then on.
pub const EXPIRES_WITHIN_MS: u64 = 1_700;

/// How long the epoch and sequence of an expired upstream are kept, so that an older announcement
/// that is still in flight doesn't make it valid again.
pub const REMEMBER_EXPIRED_MS: u64 = 60_000;
