//! The router's configuration: policy, limits and identity, fixed for the router's life.

use crate::shift::Cap;
use serde::Serialize;
use strum::{Display, EnumIter, EnumString};
use types::{DomainName, EntryName, RegionName};

/// How an upstream is chosen among the nearest ones with a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display, EnumString, EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Round robin within the nearest group.
    NearestRoundRobin,
    /// The one whose announcement reports the least load for its slots.
    LeastReportedLoad,
    /// Of two drawn at random, the one with fewer requests in flight from this entry for its slots.
    PowerOfTwo,
    /// Home slots (those assigned to this entry) first, then slots borrowed from other entries;
    /// slots in other regions only when the expected wait is longer than the network round trip.
    /// Adds slow start, outlier ejection and backoff, based on what this entry observed itself.
    Adaptive,
}

/// The limit of a region or link for which this entry never received a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fallback {
    /// Only the upstreams' slots and the declared capacity or link rate limit the requests.
    Unlimited,
    /// No request may start.
    Zero,
}

/// Limits of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// Queued requests per service; further ones are refused.
    pub queue_requests: usize,
    /// Attempts per request, the first included.
    pub attempts: u32,
    /// Browse requests taken from the queues per hundred critical ones while both are queued.
    pub browse_percent: u32,
    /// How fast a service's traffic may move out of its nearest region, unless a declared shift
    /// sets its own cap.
    pub cap: Cap,
    /// The most of a service's usable upstreams that may be ejected at once, in percent, rounded
    /// down.
    pub eject_percent: u32,
    /// Tokens that the retry budget gains for each hundred arrivals. A broken attempt is retried
    /// only if a token is left, and takes it. A refused one takes a token too, but is retried even
    /// if none is left. One that was not sent is retried without a token. The adaptive policy
    /// borrows slots only while a token is left.
    pub retry_percent: u32,
    /// Answers that may be pending on a link before further requests wait, as transfer time at the
    /// rate of the share.
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

/// A router's configuration, fixed when it is created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RouterConfig {
    /// The name of the entry that the router decides for.
    pub entry: EntryName,
    /// The region that the entry runs in.
    pub region: RegionName,
    /// The failure domain that the entry runs in.
    pub failure_domain: DomainName,
    /// How an upstream is chosen.
    pub policy: Policy,
    /// Limits on queues, attempts, shifts, ejections and retries.
    pub limits: Limits,
    /// The limit of regions and links without a share.
    pub fallback: Fallback,
    /// Seed of the random choices, so that a run can be repeated.
    pub seed: u64,
}

impl RouterConfig {
    /// The default configuration of an entry in this region and failure domain.
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

    /// Replaces the policy; the default is [`Policy::Adaptive`].
    #[must_use]
    pub const fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Replaces the limits.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Replaces the rule for regions and links without a share; the default is
    /// [`Fallback::Unlimited`].
    #[must_use]
    pub const fn with_fallback(mut self, fallback: Fallback) -> Self {
        self.fallback = fallback;
        self
    }

    /// Replaces the seed; the default is 0.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
