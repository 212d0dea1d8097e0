//! What operators declare.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use types::{RegionName, ServiceName};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It runs at most once for each attempt of the client.
    AtMostOnce,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Part {
    /// The service.
    pub service: ServiceName,
    /// Its share in thousandths, relative to the other parts.
    pub weight_milli: i64,
}

/// Where requests to one host and path prefix go, and under which terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest time that a request is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer is worth most.
    pub target_ms: u64,
    /// The rank under overload, 0 first.
    pub priority: u32,
    /// The services that run the requests.
    pub parts: Vec<Part>,
    /// How many upstreams one attempt of a client may be sent to.
    pub attempts_max: u32,
    /// Whether an upstream that handled the same object lately is faster.
    pub sticky: bool,
    /// The only regions that may run the requests; empty when any may.
    pub home_regions: Vec<RegionName>,
}

/// The terms of a service's upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceTerms {
    /// The service.
    pub name: ServiceName,
    /// Connections that one upstream accepts from all callers together.
    pub connections_max: u32,
    /// Thousandths of a request a second that a cold upstream takes from all gateways together.
    pub cold_milli_per_s: u64,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// The largest head of a request.
    pub header_max_bytes: u64,
    /// The largest body of a request.
    pub body_max_bytes: u64,
    /// How long a head may take to come.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// A whole declaration of routes, services and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Plan {
    /// Grows with each accepted plan.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceTerms>,
    /// The limits.
    pub limits: Limits,
}
