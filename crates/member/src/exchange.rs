//! What entries tell one another of the upstreams that they heard themselves.

use types::{Announcement, UpstreamName};

/// A home's answer to another entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAnswer {
    /// Asked for again with the next question.
    pub version: u64,
    /// Upstreams that are new or changed since the version of the question.
    pub upstreams: Vec<PeerUpstream>,
    /// Upstreams that only renewed.
    pub renewals: Vec<PeerRenewal>,
}

/// A new or changed upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerUpstream {
    /// Its name.
    pub name: UpstreamName,
    /// What it last said.
    pub announcement: Announcement,
    /// Validity left when the home answered.
    pub remaining_ms: u64,
}

/// A renewed upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRenewal {
    /// Its name.
    pub name: UpstreamName,
    /// The epoch of its last announcement.
    pub epoch_ms: u64,
    /// The sequence of its last announcement.
    pub sequence: u64,
    /// The load that it last reported.
    pub load: u32,
    /// Validity left when the home answered.
    pub remaining_ms: u64,
}
