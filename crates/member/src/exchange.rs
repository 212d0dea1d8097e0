//! The answer in which an entry reports the upstreams that announced themselves to it.

use types::{Announcement, UpstreamName};

/// A home's answer to another entry's request for its upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAnswer {
    /// The version of the home's table; the next request names it, to get only what changed since.
    pub version: u64,
    /// Upstreams that are new or changed since the version that the request named.
    pub upstreams: Vec<PeerUpstream>,
    /// Upstreams of which at most the sequence and the load changed.
    pub renewals: Vec<PeerRenewal>,
}

/// A new or changed upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerUpstream {
    /// The upstream's name.
    pub name: UpstreamName,
    /// Its latest announcement.
    pub announcement: Announcement,
    /// The validity left when the home answered.
    pub remaining_ms: u64,
}

/// An upstream that renewed its announcement without changing it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRenewal {
    /// The upstream's name.
    pub name: UpstreamName,
    /// The epoch of its latest announcement.
    pub epoch_ms: u64,
    /// The sequence of its latest announcement within the epoch.
    pub sequence: u64,
    /// The load in its latest announcement.
    pub load: u32,
    /// The validity left when the home answered.
    pub remaining_ms: u64,
}
