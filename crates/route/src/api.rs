//! The router's inputs (events at the entry) and outputs (actions for the entry to carry out).

use std::net::SocketAddr;
use types::{
    Announcement, DomainName, EntryName, Outcome, Refusal, RegionName, Resource, ServiceName,
    TimeUs, UpstreamName,
};

/// Identifies a request. The entry assigns it, and uses none twice until it restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An event that [`crate::Router::step`] handles.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A resource was declared or its declaration changed.
    Declared(&'a Resource),
    /// A declared resource was deleted; carries its last declaration.
    Withdrawn(&'a Resource),
    /// An upstream announced itself for the first time, or its announcement changed.
    Upstream {
        /// The upstream's name.
        name: &'a UpstreamName,
        /// Its latest announcement.
        announcement: &'a Announcement,
    },
    /// An upstream's announcement expired.
    UpstreamExpired {
        /// The upstream's name.
        name: &'a UpstreamName,
    },
    /// A caller's request arrived.
    Arrive {
        /// Identifies the request in later inputs and outputs.
        request: RequestId,
        /// The service that the caller asked for.
        service: &'a ServiceName,
        /// When the caller stops waiting; no attempt starts from then on.
        deadline_us: TimeUs,
        /// Whether running the request twice does no harm; only then is a broken attempt retried.
        idempotent: bool,
    },
    /// The head of the upstream's answer arrived; from now on the request is never retried.
    Answering {
        /// The request whose answer began.
        request: RequestId,
    },
    /// A request's current attempt ended, or its caller left while it was queued.
    Ended {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// How the attempt ended.
        ending: Ending,
    },
    /// A new share of a region's capacity for this entry; it replaces the earlier one.
    Share {
        /// The region whose capacity is shared.
        region: &'a RegionName,
        /// Requests that this entry may have in flight there.
        slots: u32,
        /// When the share expires; from then on no request may start there.
        expires_us: TimeUs,
    },
    /// A new share of a link's rate in one direction for this entry; it replaces the earlier one.
    /// Ignored unless `to` is the entry's own region, which receives the answers.
    LinkShare {
        /// The region that sends.
        from: &'a RegionName,
        /// The region that receives.
        to: &'a RegionName,
        /// The rate that this entry's answers may use, in kilobits per second.
        kbps: u64,
        /// When the share expires; from then on no request whose answer would use the link may
        /// start.
        expires_us: TimeUs,
    },
    /// Whether another entry takes requests, as far as is known. A declared entry counts as active
    /// until an input says otherwise.
    EntryActive {
        /// The other entry's name.
        name: &'a EntryName,
        /// Whether it takes requests now.
        active: bool,
    },
    /// Time has passed; due at [`crate::Router::next_tick_us`].
    Tick,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived.
    Finished {
        /// The HTTP status code; 500 and above count as a failure of the upstream.
        status: u16,
    },
    /// No byte of the request left the entry.
    NotSent,
    /// The upstream said that it did not run the request.
    Refused,
    /// The connection broke or timed out after a byte of the request had left; it may have run.
    Broken,
    /// The answer broke off after its head had gone to the caller.
    CutShort,
    /// The caller went away before the answer was whole.
    Cancelled,
}

/// The result that a caller gets for a request without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// Whether the request certainly did not run, or may have run.
    pub outcome: Outcome,
    /// Why the request did not run; `None` when it may have run.
    pub refusal: Option<Refusal>,
}

/// An action that the entry carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start an attempt: send the request to this upstream.
    Forward {
        /// The request to send.
        request: RequestId,
        /// The chosen upstream's name.
        upstream: UpstreamName,
        /// Where the upstream takes requests.
        address: SocketAddr,
        /// The upstream's region.
        region: RegionName,
        /// The upstream's failure domain.
        failure_domain: DomainName,
        /// The attempt's number within the request, from 1.
        attempt: u32,
        /// The caller's deadline, by which the attempt must have ended.
        deadline_us: TimeUs,
    },
    /// Answer the caller: the request has no further attempt.
    Settle {
        /// The request to answer.
        request: RequestId,
        /// The result to send.
        settled: Settled,
    },
    /// Drop the attempt and cancel it at the upstream.
    Cancel {
        /// The request whose attempt to cancel.
        request: RequestId,
    },
}
