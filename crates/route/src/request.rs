//! The state of a request between its arrival and its end.

use types::{Refusal, TimeUs};

/// Whether a request is queued or has an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits in its service's queue.
    Queued,
    /// An attempt is in flight at an upstream.
    Forwarded {
        /// The upstream's index.
        upstream: usize,
        /// The upstream's region.
        region: usize,
        /// When it was forwarded.
        since_us: TimeUs,
        /// Whether the attempt took a slot that isn't one of this entry's home slots.
        borrowed: bool,
        /// Whether the answer's head has arrived.
        answering: bool,
    },
}

/// A request between its arrival and its end.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Its service's index.
    pub(crate) service: usize,
    /// When its caller stops waiting.
    pub(crate) deadline_us: TimeUs,
    /// Whether running it twice does no harm.
    pub(crate) idempotent: bool,
    /// Whether an attempt ended without proof that it did not run.
    pub(crate) may_have_run: bool,
    /// Attempts started so far.
    pub(crate) attempts: u32,
    /// The index of the region that a declared shift picked for it, if any.
    pub(crate) shift_target: Option<usize>,
    /// Whether it already counts against the cap on traffic that leaves the nearest region.
    pub(crate) moved: bool,
    /// Indexes of the upstreams tried since it was last queued.
    pub(crate) tried: Vec<usize>,
    /// Why it could not be forwarded; decides its refusal if the deadline comes first. Set when it
    /// is queued on arrival, and afterwards only while it is the first in its queue: a request that
    /// is queued again for a retry keeps the older reason until then.
    pub(crate) wait_reason: Refusal,
    pub(crate) stage: Stage,
}
