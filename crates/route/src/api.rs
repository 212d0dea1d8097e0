//! What goes into the router and what comes out of it.

use std::net::SocketAddr;
use types::{
    Announcement, DomainName, EntryName, Outcome, Refusal, RegionName, Resource, ServiceName,
    TimeUs, UpstreamName,
};

/// Names a request within an entry, for as long as the entry runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An event for the router.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A declared resource is new or has changed.
    Declared(&'a Resource),
    /// A declared resource is gone.
    Withdrawn(&'a Resource),
    /// An upstream is new or has changed.
    Upstream {
        /// Its name.
        name: &'a UpstreamName,
        /// What it last said.
        announcement: &'a Announcement,
    },
    /// An upstream's announcement expired.
    UpstreamGone {
        /// Its name.
        name: &'a UpstreamName,
    },
    /// A request has come.
    Arrive {
        /// Names it in what follows.
        request: RequestId,
        /// The service that it is for.
        service: &'a ServiceName,
        /// When its caller stops waiting.
        deadline_us: TimeUs,
        /// Whether a second run does no harm.
        idempotent: bool,
    },
    /// The upstream's answer has begun.
    Answering {
        /// The request.
        request: RequestId,
    },
    /// The attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How.
        ending: Ending,
    },
    /// The part of a region's capacity that this entry may use until a deadline.
    Share {
        /// The region.
        region: &'a RegionName,
        /// Requests that this entry may have in flight there.
        slots: u32,
        /// From then on nothing may start there.
        expires_us: TimeUs,
    },
    /// The part of a link's rate, one way, that this entry may use until a deadline.
    LinkShare {
        /// The region that sends.
        from: &'a RegionName,
        /// The region that receives.
        to: &'a RegionName,
        /// The rate.
        kbps: u64,
        /// From then on nothing may start over it.
        expires_us: TimeUs,
    },
    /// Whether another entry takes requests, as far as is known; declared ones do until told so.
    EntryActive {
        /// The entry.
        name: &'a EntryName,
        /// Whether it takes requests.
        active: bool,
    },
    /// Time has passed.
    Tick,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer is whole; `status` is its HTTP status code.
    Finished {
        /// The status code.
        status: u16,
    },
    /// No byte of the request left the entry.
    NotSent,
    /// The upstream said that it did not run the request.
    Refused,
    /// The connection broke or timed out after a byte had left.
    Broken,
    /// The answer broke off after its head had gone to the caller.
    CutShort,
    /// The caller left.
    Cancelled,
}

/// What becomes of a request that no upstream answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// What the caller is told.
    pub outcome: Outcome,
    /// Why.
    pub refusal: Option<Refusal>,
}

/// Something for the shell to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the request to this upstream.
    Forward {
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamName,
        /// Where it takes requests.
        address: SocketAddr,
        /// The region that it stands in.
        region: RegionName,
        /// The failure domain that it stands in.
        failure_domain: DomainName,
        /// Counts attempts from 1.
        attempt: u32,
        /// When the attempt must have ended.
        deadline_us: TimeUs,
    },
    /// Answer the caller: the request has no further attempt.
    Settle {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        settled: Settled,
    },
    /// Drop the attempt and cancel it at the upstream.
    Cancel {
        /// The request.
        request: RequestId,
    },
}
