//! The answer to a caller that asks which entries to use.

use crate::{EntryName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One entry of a look-up answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LookupEntry {
    /// The entry's name.
    pub name: EntryName,
    /// Where callers send requests.
    pub address: SocketAddr,
    /// Share of the caller's requests, relative to the other entries.
    pub weight: u32,
}

/// Which entries to use for a service, and for how long the answer may be cached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LookupAnswer {
    /// The service asked for.
    pub service: ServiceName,
    /// How long the answer may be used.
    pub lifetime_ms: u64,
    /// The entries, heaviest first.
    pub entries: Vec<LookupEntry>,
}
