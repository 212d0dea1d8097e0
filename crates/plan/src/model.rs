//! The plan, as operators declare it.

use crate::tenant::{KeyUse, Tenant};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use types::{RegionName, ServiceName};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RetrySafety {
    /// Running it again does no harm.
    Idempotent,
    /// It runs at most once for each attempt of the client, so it is retried only when it certainly
    /// did not run.
    AtMostOnce,
}

/// A service that runs a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WeightedService {
    /// The name of the service.
    pub service: ServiceName,
    /// The weight of this part in thousandths, not negative; its share is the weight divided by the
    /// sum of all weights of the route.
    pub weight_milli: i64,
}

/// Where requests to one host and path prefix go, and under which terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// The name of the route, unique in the plan.
    pub name: String,
    /// The host that requests name, without port; the case doesn't matter.
    pub host: String,
    /// The prefix of the path; it begins and ends with a slash. The longest matching one counts.
    pub prefix: String,
    /// Whether a request that may have run may be retried.
    pub repeat: RetrySafety,
    /// The longest time until the client gets an answer, all attempts included, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which answers should come, in milliseconds. A request that would queue for
    /// more than one and a half times as long is refused.
    pub target_ms: u64,
    /// The rank of the route's importance under overload; 0 is the highest. Among the routes that use
    /// a service at the same time, requests of a less important one may queue for less long.
    pub priority: u32,
    /// The services that run the requests.
    pub parts: Vec<WeightedService>,
    /// How many upstreams a request of a client may be sent to in turn, at least 1.
    pub attempts_max: u32,
    /// Whether an upstream that lately handled the same object is faster, so that requests for one
    /// object should go to the same upstream.
    pub sticky: bool,
    /// The only regions that may run the requests; empty when any may.
    pub home_regions: Vec<RegionName>,
    /// Whether requests without a key are accepted though the plan has tenants.
    #[serde(default)]
    pub allow_anonymous: bool,
}

/// The limits that hold for each upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceTerms {
    /// The name of the service.
    pub name: ServiceName,
    /// Connections that one upstream accepts from all callers together.
    pub connections_max: u32,
    /// The request rate of a cold upstream, from all gateways together, in thousandths of a request
    /// per second.
    pub cold_milli_per_s: u64,
}

/// Limits on the requests and connections of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_max_bytes: u64,
    /// The largest body of a request, in bytes.
    pub body_max_bytes: u64,
    /// How long the head of a request may take to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// All routes, services and limits that are in force together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Plan {
    /// The version, set by the operator; each accepted plan has a higher one than the plan before.
    pub version: u64,
    /// The routes, with unique names and unique pairs of host and prefix.
    pub routes: Vec<Route>,
    /// Every service that a route names.
    pub services: Vec<ServiceTerms>,
    /// The limits on clients.
    pub limits: Limits,
    /// The tenants, with unique names and keys.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Whether requests carry a key. Declared as [`KeyUse::Unused`] or [`KeyUse::Required`]; what it
    /// means in force depends on earlier plans too. See [`Self::key_use`].
    #[serde(default, skip_serializing_if = "KeyUse::is_unused")]
    pub keys: KeyUse,
}

impl Plan {
    /// Whether requests carry a key. They do whenever there are tenants: plans of builds without
    /// [`Self::keys`] don't say so.
    #[must_use]
    pub const fn key_use(&self) -> KeyUse {
        match self.tenants.is_empty() {
            true => self.keys,
            false => KeyUse::Required,
        }
    }
}
