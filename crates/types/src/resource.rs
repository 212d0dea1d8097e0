//! The resources that operators declare.

use crate::{DomainName, EntryName, RegionName, ResourceName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, str::FromStr};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};
use thiserror::Error;

/// The kinds of declared resources.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A region with its capacity and failure domains.
    Region,
    /// A link between two regions with its limit.
    Link,
    /// A service.
    Service,
    /// An entry VM.
    Entry,
    /// A move of a service's traffic between regions.
    Shift,
    /// An upstream, VM, failure domain or region that is to empty.
    Drain,
}

/// The identity of a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Key {
    /// The resource's kind.
    pub kind: Kind,
    /// Its name, unique within the kind.
    pub name: ResourceName,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A text that is no key of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text:?} is not of the form KIND/NAME")]
pub struct InvalidKey {
    /// The rejected text.
    pub text: String,
}

impl FromStr for Key {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.split_once('/').and_then(|(kind, name)| {
            Some(Self {
                kind: kind.parse().ok()?,
                name: name.parse().ok()?,
            })
        });
        parsed.ok_or_else(|| InvalidKey {
            text: text.to_owned(),
        })
    }
}

/// A region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct RegionSpec {
    /// Requests that may run in the region at once, over all services.
    pub capacity_slots: u32,
    /// The region's failure domains.
    pub failure_domains: Vec<DomainName>,
}

/// A link between two regions; the limit holds for each way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct LinkSpec {
    /// One end.
    pub a: RegionName,
    /// The other end.
    pub b: RegionName,
    /// The rate that the system may use, each way.
    pub limit_kbps: u64,
    /// The one-way delay.
    pub delay_us: u64,
}

/// Which requests go first under overload.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Yields to critical requests but keeps a share.
    Browse,
    /// Payouts, claims, payments and orders.
    Critical,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ServiceSpec {
    /// The regions that may run it.
    pub regions: Vec<RegionName>,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Its place under overload.
    pub priority: Priority,
    /// Deadline of a request whose caller names none.
    pub deadline_ms: u64,
    /// The size of an answer for which room on a link is kept.
    pub answer_bytes: u64,
}

/// A move of a share of a service's traffic from one region to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ShiftSpec {
    /// The service to move.
    pub service: ServiceName,
    /// The region that gives traffic.
    pub from: RegionName,
    /// The region that receives it.
    pub to: RegionName,
    /// The share of `from`'s traffic to move in the end, in percent.
    pub target_percent: u32,
    /// The largest share moved within one interval, in percent.
    pub cap_percent: u32,
    /// The interval of the cap.
    pub interval_ms: u64,
}

/// What a drain empties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type", content = "name")]
pub enum DrainTarget {
    /// One upstream.
    Upstream(UpstreamName),
    /// One entry VM.
    Entry(EntryName),
    /// Every upstream and entry of a failure domain.
    FailureDomain(DomainName),
    /// Every upstream and entry of a region.
    Region(RegionName),
}

/// A drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct DrainSpec {
    /// What is to empty.
    pub target: DrainTarget,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct EntrySpec {
    /// The region it stands in.
    pub region: RegionName,
    /// The failure domain it stands in.
    pub failure_domain: DomainName,
    /// Where callers and upstreams reach it by HTTP.
    pub address: SocketAddr,
    /// Where the system's own processes reach it.
    pub peer_address: SocketAddr,
}

/// What operators declare of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "spec")]
pub enum Spec {
    /// A region.
    Region(RegionSpec),
    /// A link.
    Link(LinkSpec),
    /// A service.
    Service(ServiceSpec),
    /// An entry VM.
    Entry(EntrySpec),
    /// A shift.
    Shift(ShiftSpec),
    /// A drain.
    Drain(DrainSpec),
}

impl Spec {
    /// The kind that this declares.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Region(_) => Kind::Region,
            Self::Link(_) => Kind::Link,
            Self::Service(_) => Kind::Service,
            Self::Entry(_) => Kind::Entry,
            Self::Shift(_) => Kind::Shift,
            Self::Drain(_) => Kind::Drain,
        }
    }
}

/// A declared resource as the control replicas hold it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Resource {
    /// Its name.
    pub name: ResourceName,
    /// What was declared.
    #[serde(flatten)]
    pub spec: Spec,
    /// Counts this resource's changes, from 1.
    pub version: u64,
    /// The configuration revision of its last change.
    pub revision: u64,
}

impl Resource {
    /// Its identity.
    #[must_use]
    pub fn key(&self) -> Key {
        Key {
            kind: self.spec.kind(),
            name: self.name.clone(),
        }
    }
}
