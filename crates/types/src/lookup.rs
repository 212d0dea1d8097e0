//! The answer to a look-up: the entries that a caller should send a service's requests to.

use crate::{EntryName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One entry in a [`LookupAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LookupEntry {
    /// The entry's declared name.
    pub name: EntryName,
    /// The address that callers send requests to.
    pub address: SocketAddr,
    /// How many of its requests the caller should send here, relative to the other weights.
    pub weight: u32,
}

/// Which entries to use for a service, and for how long the answer may be cached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LookupAnswer {
    /// The service that the look-up named.
    pub service: ServiceName,
    /// How long the caller may use this answer, in milliseconds.
    pub lifetime_ms: u64,
    /// The entries, heaviest first.
    pub entries: Vec<LookupEntry>,
}
