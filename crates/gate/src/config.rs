//! The parameters of a gateway that stay the same while it runs.

use std::{collections::BTreeMap, net::SocketAddr};
use types::{DomainName, EntryName, RegionName};

/// Bounds from the settings. Those on retries and region changes hold for all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateBounds {
    /// Retries of a service that each of its requests allows; 0.2 is one retry for five requests.
    pub retry_ratio: f64,
    /// Retries of a service that are allowed in addition in each `retry_window_ms`.
    pub retry_slack: f64,
    /// The window of `retry_slack`, in milliseconds.
    pub retry_window_ms: u64,
    /// The largest fraction of a region's requests that may change region within two seconds.
    pub region_shift_max: f64,
    /// How long this gateway's process may take to stop, in milliseconds.
    pub grace_ms: u64,
    /// How long after its withdrawal was confirmed a key may still work, in milliseconds, also at a
    /// gateway that is cut off; none when revocation isn't strict.
    pub revoke_ms: Option<u64>,
}

/// The parameters of a gateway that stay the same while it runs.
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// The name that tells this gateway from others when it polls replicas.
    pub name: EntryName,
    /// The address that clients are given for this gateway.
    pub address: SocketAddr,
    /// The region of this gateway.
    pub region: RegionName,
    /// The failure domain of this gateway.
    pub failure_domain: DomainName,
    /// The region of each failure domain.
    pub regions: BTreeMap<DomainName, RegionName>,
    /// The names of the control replicas to poll first; their answers name the others. Later
    /// changes go through [`Gate::set_seeds`](crate::Gate::set_seeds).
    pub seeds: Vec<String>,
    /// Bounds on retries, region changes and the stop.
    pub bounds: GateBounds,
}
