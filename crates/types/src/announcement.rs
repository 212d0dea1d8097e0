//! The announcement that an upstream sends to an entry, and the entry's answer.

use crate::{DomainName, RegionName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// The lifecycle state that an upstream announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamState {
    /// Started, but not yet able to accept requests.
    Starting,
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Leaving,
}

/// An upstream's announcement. A higher pair of `epoch_ms` and `sequence` replaces a lower one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Announcement {
    /// The service whose requests it runs.
    pub service: ServiceName,
    /// The address that entries forward requests to.
    pub address: SocketAddr,
    /// The region that it runs in.
    pub region: RegionName,
    /// The failure domain that it runs in.
    pub failure_domain: DomainName,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// The most connections that it accepts at once.
    pub connections: u32,
    /// Requests that it reports as running now. Only a hint: the figure may be stale or wrong.
    pub load: u32,
    /// Whether it accepts requests.
    pub state: UpstreamState,
    /// When the upstream's process started, in milliseconds of its own clock; a restart raises it.
    pub epoch_ms: u64,
    /// Rises with each announcement of the same epoch.
    pub sequence: u64,
}

/// The answer to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AnnounceAnswer {
    /// The time within which the upstream should announce itself again, in milliseconds.
    pub renew_within_ms: u64,
    /// The time after which it gets no new requests unless it renews, in milliseconds.
    pub expires_within_ms: u64,
}
