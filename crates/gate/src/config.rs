//! The fixed parameters of a gateway.

use std::{collections::BTreeMap, net::SocketAddr};
use types::{DomainName, EntryName, RegionName};

/// Bounds that all gateways together keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateBounds {
    /// Repeats for each request.
    pub retry_ratio: f64,
    /// Repeats of a service that a span allows besides.
    pub retry_slack: f64,
    /// The span.
    pub retry_window_ms: u64,
    /// The largest share of a region's requests that may change region within two seconds.
    pub region_shift_max: f64,
    /// How long a process may take to stop.
    pub grace_ms: u64,
}

/// The fixed parameters of a gateway.
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Its name.
    pub name: EntryName,
    /// Where clients reach it.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// The region of each failure domain.
    pub regions: BTreeMap<DomainName, RegionName>,
    /// The replicas that are known from the start.
    pub seeds: Vec<String>,
    /// The bounds.
    pub bounds: GateBounds,
}
