//! What an upstream says of itself.

use crate::{DomainName, RegionName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// Where an upstream stands in its own life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamState {
    /// Started, but not yet able to take work.
    Starting,
    /// Takes work.
    Ready,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// An upstream's announcement; a later `sequence` replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Announcement {
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The region it stands in.
    pub region: RegionName,
    /// The failure domain it stands in.
    pub failure_domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
    /// Requests that it says it runs now; a hint that may lag or mislead.
    pub load: u32,
    /// Where it stands in its life.
    pub state: UpstreamState,
    /// Start of this run of the upstream, in milliseconds of its own clock; a restart raises it.
    pub epoch_ms: u64,
    /// Counts announcements within an epoch.
    pub sequence: u64,
}

/// The answer to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AnnounceAnswer {
    /// The upstream should announce itself again within this time.
    pub renew_within_ms: u64,
    /// Without a renewal it gets no new work after this time.
    pub expires_within_ms: u64,
}
