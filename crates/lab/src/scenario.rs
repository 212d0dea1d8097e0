//! The scenarios that an experiment can run, and the choosers of upstreams that it compares.

use route::Policy;
use std::fmt;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// The faults or operator's actions of an experiment; most of them set in at the incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Nothing fails.
    Calm,
    /// Each worker reports an arbitrary load that never changes.
    StaleLoad,
    /// Of every twelve upstreams one answers only errors, one is slow and one reports that it is
    /// full.
    LyingHealth,
    /// A third of the upstreams restart with cold caches.
    ColdRestart,
    /// Every upstream and entry of one region is lost.
    RegionLoss,
    /// Two of the entries are lost.
    EntryLoss,
    /// A region is drained.
    RegionDrain,
    /// A third of the first service's traffic is shifted to upstreams with cold caches.
    Shift,
}

/// The algorithm that chooses an upstream for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// A router with this policy at each entry; each router sees only its own requests.
    Routers(Policy),
    /// One global queue that sees the current state of every upstream; a reference to compare with.
    AllKnowing,
}

impl Chooser {
    /// Every policy, then the all-knowing chooser.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let policies = Policy::iter().map(Self::Routers);
        policies.chain([Self::AllKnowing]).collect()
    }
}

impl fmt::Display for Chooser {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Routers(policy) => policy.fmt(f),
            Self::AllKnowing => f.write_str("all-knowing"),
        }
    }
}
