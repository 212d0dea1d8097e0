//! The resources that operators declare: their kinds, keys and contents.

use crate::{DomainName, EntryName, RegionName, ResourceName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, str::FromStr};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};
use thiserror::Error;

/// The kinds of resources; `Display` and `FromStr` use the names of the JSON form.
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
    /// A region with its capacity and failure domains, see [`RegionSpec`].
    Region,
    /// A link between two regions with its limit, see [`LinkSpec`].
    Link,
    /// A service and where it runs, see [`ServiceSpec`].
    Service,
    /// An entry VM, see [`EntrySpec`].
    Entry,
    /// A move of a service's traffic between regions, see [`ShiftSpec`].
    Shift,
    /// An upstream, VM, failure domain or region that gets no new requests, see [`DrainSpec`].
    Drain,
}

/// The identity of a resource, as text `KIND/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Key {
    /// The resource's kind.
    pub kind: Kind,
    /// The resource's name, unique within the kind.
    pub name: ResourceName,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A text that is not the key of a resource.
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

/// A region with its capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct RegionSpec {
    /// The most requests that may run in the region at once, over all services; at least 1.
    pub capacity_slots: u32,
    /// The region's failure domains: at least one, and none that another region has.
    pub failure_domains: Vec<DomainName>,
}

/// A link between two different regions; there is at most one for each pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct LinkSpec {
    /// The region at one end.
    pub a: RegionName,
    /// The region at the other end.
    pub b: RegionName,
    /// The rate that the system may use in each direction, in kilobits per second; at least 1.
    pub limit_kbps: u64,
    /// The one-way delay, in microseconds.
    pub delay_us: u64,
}

/// The precedence of a service's requests under overload.
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
    /// Served after critical requests, but always gets a share.
    Browse,
    /// Served first, such as payouts, claims, payments and orders.
    Critical,
}

/// A service: where it runs and how its requests are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ServiceSpec {
    /// The regions that may run its requests; at least one.
    pub regions: Vec<RegionName>,
    /// Whether running the same request twice has the same effect as running it once.
    pub idempotent: bool,
    /// The precedence of its requests under overload.
    pub priority: Priority,
    /// Deadline of a request whose caller sets none, in milliseconds; at least 1.
    pub deadline_ms: u64,
    /// The expected size of an answer, in bytes; each request to another region counts this much
    /// against the link's limit.
    pub answer_bytes: u64,
}

/// A move of a share of a service's traffic from one region to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ShiftSpec {
    /// The service whose traffic moves.
    pub service: ServiceName,
    /// The region that traffic moves away from.
    pub from: RegionName,
    /// The region that receives the traffic; not the same as `from`.
    pub to: RegionName,
    /// The share of `from`'s traffic that the shift moves in total, in percent, from 0 to 100.
    pub target_percent: u32,
    /// The largest share moved within one interval, in percent, from 1 to 100.
    pub cap_percent: u32,
    /// The interval of the cap, in milliseconds; at least 1.
    pub interval_ms: u64,
}

/// What a drain takes out of use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type", content = "name")]
pub enum DrainTarget {
    /// One upstream. It need not exist, since upstreams are not declared but announce themselves.
    Upstream(UpstreamName),
    /// One declared entry VM.
    Entry(EntryName),
    /// Every upstream and entry of a failure domain.
    FailureDomain(DomainName),
    /// Every upstream and entry of a region.
    Region(RegionName),
}

/// A drain: its target gets no new requests and finishes those that it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct DrainSpec {
    /// What gets no new requests.
    pub target: DrainTarget,
}

/// An entry VM: where it runs and how it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct EntrySpec {
    /// The region that it runs in.
    pub region: RegionName,
    /// The failure domain that it runs in; one of the region's.
    pub failure_domain: DomainName,
    /// The address at which callers and upstreams reach it by HTTP.
    pub address: SocketAddr,
    /// The address at which the system's other processes reach it.
    pub peer_address: SocketAddr,
}

/// The declared content of a resource, one variant for each [`Kind`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "spec")]
pub enum Spec {
    /// Content of a region.
    Region(RegionSpec),
    /// Content of a link.
    Link(LinkSpec),
    /// Content of a service.
    Service(ServiceSpec),
    /// Content of an entry VM.
    Entry(EntrySpec),
    /// Content of a shift.
    Shift(ShiftSpec),
    /// Content of a drain.
    Drain(DrainSpec),
}

impl Spec {
    /// The kind of resource that this content belongs to.
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

/// A declared resource as the control replicas store it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Resource {
    /// The name, unique within the kind.
    pub name: ResourceName,
    /// The declared content; in JSON its `kind` and `spec` stand beside the name.
    #[serde(flatten)]
    pub spec: Spec,
    /// How often the resource was changed; its creation counts as the first change.
    pub version: u64,
    /// The configuration revision of its last change.
    pub revision: u64,
}

impl Resource {
    /// The resource's kind and name.
    #[must_use]
    pub fn key(&self) -> Key {
        Key {
            kind: self.spec.kind(),
            name: self.name.clone(),
        }
    }
}
