//! What a router is told when it is made.

use crate::shift::Cap;
use serde::Serialize;
use strum::{Display, EnumIter, EnumString};
use types::{DomainName, EntryName, RegionName};

/// How an upstream is chosen among those nearest with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, EnumString, EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Each in turn.
    NearestRoundRobin,
    /// The one that reports the least load.
    LeastReportedLoad,
    /// Of two drawn at random, the one with fewer requests in flight from this entry.
    PowerOfTwo,
    /// Slots dealt to this entry first, then borrowed ones, far ones when the wait here is longer
    /// than the way; with slow start, ejection and closures by the entry's own evidence.
    Adaptive,
}

/// What holds where no share of a capacity has ever been given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fallback {
    /// Only the upstreams' slots limit.
    Unlimited,
    /// Nothing may start.
    Zero,
}

/// Bounds of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// Requests of one service that may wait at once.
    pub queue_requests: usize,
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
    /// Of the grants made while both wait, the part for browsing.
    pub browse_percent: u32,
    /// What moves out of a region at most where no shift is declared.
    pub cap: Cap,
    /// Of a service's usable upstreams, the part that may be ejected at once.
    pub eject_percent: u32,
    /// Retries after a broken or refused attempt for each hundred arrivals.
    pub retry_percent: u32,
    /// Traffic that a link's share may start at once, as time at the share's rate.
    pub link_burst_us: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue_requests: 256,
            attempts: 16,
            browse_percent: 20,
            cap: Cap {
                percent: 25,
                interval_ms: 1_000,
            },
            eject_percent: 34,
            retry_percent: 20,
            link_burst_us: 20_000,
        }
    }
}

/// What a router is told when it is made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RouterConfig {
    /// The entry that the router decides for.
    pub entry: EntryName,
    /// The region that the entry stands in.
    pub region: RegionName,
    /// The failure domain that the entry stands in.
    pub failure_domain: DomainName,
    /// How an upstream is chosen.
    pub policy: Policy,
    /// Bounds.
    pub limits: Limits,
    /// What holds where no share was ever given.
    pub fallback: Fallback,
    /// Seeds the random draws.
    pub seed: u64,
}

impl RouterConfig {
    /// The defaults for an entry that stands there.
    #[must_use]
    pub fn new(entry: EntryName, region: RegionName, failure_domain: DomainName) -> Self {
        Self {
            entry,
            region,
            failure_domain,
            policy: Policy::Adaptive,
            limits: Limits::default(),
            fallback: Fallback::Unlimited,
            seed: 0,
        }
    }

    /// With another policy.
    #[must_use]
    pub const fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// With other bounds.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// With another rule for capacities without a share.
    #[must_use]
    pub const fn with_fallback(mut self, fallback: Fallback) -> Self {
        self.fallback = fallback;
        self
    }

    /// With another seed.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
