//! A request between its arrival and its end.

use types::{Refusal, TimeUs};

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits at the entry.
    Queued,
    /// An upstream has it.
    Forwarded {
        /// The upstream's index.
        upstream: usize,
        /// The upstream's region.
        region: usize,
        /// When it was forwarded.
        since_us: TimeUs,
        /// Whether the slot was dealt to another entry, or to none.
        borrowed: bool,
        /// Whether the answer's head has come.
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
    /// Whether a second run does no harm.
    pub(crate) idempotent: bool,
    /// Whether an attempt ended without proof that it did not run.
    pub(crate) may_have_run: bool,
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// The region that a declared shift sends it to.
    pub(crate) sent_to: Option<usize>,
    /// Whether it counts as moved out of the nearest region.
    pub(crate) moved: bool,
    /// Upstreams that it was sent to.
    pub(crate) tried: Vec<usize>,
    /// What kept it waiting last.
    pub(crate) blocked: Refusal,
    /// Where it stands.
    pub(crate) stage: Stage,
}
