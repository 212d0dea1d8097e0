//! What happens in an experiment, and who chooses the upstreams.

use route::Policy;
use std::fmt;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// What happens in an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Nothing fails.
    Calm,
    /// Reported loads stay as they were at the start.
    StaleLoad,
    /// Of twelve upstreams one answers only errors, one is slow and one claims to be full.
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

/// Who chooses the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// Routers that each see only their own requests.
    Routers(Policy),
    /// One global queue that sees every upstream as it is.
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
