//! Parses the sections that only gateways and deployments with discovered replicas have.

use crate::{
    error::{Expected, Problem, SettingsError},
    model::{BoundSettings, DiscoverySettings, GatewaySettings},
    section::Section,
};
use std::{collections::BTreeMap, net::SocketAddr};
use types::{DomainName, RegionName};

/// The keys of `[gateway]`.
pub(crate) const GATEWAY_KEYS: [&str; 5] = [
    "listen",
    "status_listen",
    "descriptors_max",
    MEMORY,
    LINK_RATE,
];

const LINK_RATE: &str = "link_mbps";

const MEMORY: &str = "memory_mb";

/// The memory of a gateway without a key, in megabytes: that of the smallest of today's VMs.
const MEMORY_DEFAULT_MB: usize = 256;

/// The least memory, in megabytes, in which a gateway runs with a plan and its connections.
const MEMORY_MIN_MB: usize = 32;

const BYTES_PER_MB: usize = 1_024 * 1_024;

/// The keys of `[discovery]`.
pub(crate) const DISCOVERY_KEYS: [&str; 4] = ["seeds", "peer_port", "founds", REPLICA_LOSSES];

const REPLICA_LOSSES: &str = "replica_losses";

/// The tolerated losses of replicas without a key: those of both of today's deployments.
const REPLICA_LOSSES_DEFAULT: u8 = 2;

/// The most tolerated losses of replicas: 19 voters, beyond which each change waits long.
const REPLICA_LOSSES_MAX: u8 = 9;

/// The keys of `[bounds]` with their defaults in thousandths. A default is the value that both of
/// today's deployments use, or the stricter one where they differ.
const BOUND_DEFAULTS: [(&str, u64); 11] = [
    ("heartbeat_s", 1_500),
    ("grace_s", 6_000),
    ("lookup_lifetime_s", 5_000),
    ("retry_ratio", 200),
    ("retry_window_s", 10_000),
    ("retry_slack", 60_000),
    ("region_shift_max", 150),
    (REVOKE, 5_000),
    ("quota_window_s", 5_000),
    ("quota_overage", 0),
    ("quota_slack", 0),
];

const REVOKE: &str = "revoke_s";

const STRICT_REVOKE: &str = "strict_revoke";

/// The keys of `[bounds]`.
pub(crate) const BOUND_KEYS: [&str; 12] = {
    let mut keys = [STRICT_REVOKE; 12];
    let mut index = 0;
    while index < BOUND_DEFAULTS.len() {
        keys[index] = BOUND_DEFAULTS[index].0;
        index += 1;
    }
    keys
};

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

const KBPS_PER_MBPS: f64 = 1e3;

/// The fastest link, in kbit/s: 1 Tbit/s.
const LINK_MAX_KBPS: f64 = 1e9;

/// The largest value of a bound, in thousandths.
const MILLI_MAX: f64 = 3_600_000_000.0;

pub(crate) fn parse_gateway(section: &Section<'_>) -> Result<GatewaySettings, SettingsError> {
    Ok(GatewaySettings {
        listen: section.required("listen", Expected::Address)?,
        status_listen: section.required("status_listen", Expected::Address)?,
        descriptors_max: section.required("descriptors_max", Expected::Count)?,
        memory_bytes: parse_memory_bytes(section)?,
        link_kbps: parse_link_kbps(section)?,
    })
}

/// The rate of the link, given in Mbit/s with or without a fraction.
fn parse_link_kbps(section: &Section<'_>) -> Result<Option<u64>, SettingsError> {
    let given: Option<f64> = section.optional(LINK_RATE, Expected::Decimal)?;
    let Some(mbps) = given else {
        return Ok(None);
    };
    let kbps = mbps * KBPS_PER_MBPS;
    match (1.0..=LINK_MAX_KBPS).contains(&kbps) {
        true => Ok(Some(kbps.round() as u64)),
        false => Err(section.invalid(LINK_RATE, &mbps.to_string(), Expected::Decimal)),
    }
}

fn parse_memory_bytes(section: &Section<'_>) -> Result<usize, SettingsError> {
    let given: Option<usize> = section.optional(MEMORY, Expected::Count)?;
    let memory_mb = given.unwrap_or(MEMORY_DEFAULT_MB);
    let bytes = memory_mb.checked_mul(BYTES_PER_MB);
    let bytes = bytes.filter(|_| memory_mb >= MEMORY_MIN_MB);
    bytes.ok_or_else(|| section.invalid(MEMORY, &memory_mb.to_string(), Expected::Count))
}

pub(crate) fn parse_discovery(section: &Section<'_>) -> Result<DiscoverySettings, SettingsError> {
    let list: String = section.required("seeds", Expected::AddressList)?;
    let invalid = || section.invalid("seeds", &list, Expected::AddressList);
    let seeds = list
        .split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty())
        .map(|seed| seed.parse().map_err(|_| invalid()))
        .collect::<Result<Vec<SocketAddr>, _>>()?;
    Ok(DiscoverySettings {
        seeds,
        peer_port: section.required("peer_port", Expected::Count)?,
        is_first_start: section
            .optional("founds", Expected::Flag)?
            .unwrap_or_default(),
        replica_losses: parse_replica_losses(section)?,
    })
}

fn parse_replica_losses(section: &Section<'_>) -> Result<u8, SettingsError> {
    let given: Option<u8> = section.optional(REPLICA_LOSSES, Expected::Count)?;
    let losses = given.unwrap_or(REPLICA_LOSSES_DEFAULT);
    match (1..=REPLICA_LOSSES_MAX).contains(&losses) {
        true => Ok(losses),
        false => Err(section.invalid(REPLICA_LOSSES, &losses.to_string(), Expected::Count)),
    }
}

pub(crate) fn parse_bounds(section: &Section<'_>) -> Result<BoundSettings, SettingsError> {
    Ok(BoundSettings {
        heartbeat_ms: parse_milli(section, "heartbeat_s")?,
        grace_ms: parse_milli(section, "grace_s")?,
        lookup_lifetime_ms: parse_milli(section, "lookup_lifetime_s")?,
        retry_ratio_milli: parse_milli(section, "retry_ratio")?,
        retry_window_ms: parse_milli(section, "retry_window_s")?,
        retry_slack_milli: parse_milli(section, "retry_slack")?,
        region_shift_max_milli: parse_milli(section, "region_shift_max")?,
        revoke_ms: parse_revoke_ms(section)?,
        quota_window_ms: parse_milli(section, "quota_window_s")?,
        quota_overage_milli: parse_milli(section, "quota_overage")?,
        quota_slack_milli: parse_milli(section, "quota_slack")?,
    })
}

/// The time in which a withdrawn key must stop working; none unless revocation is strict.
fn parse_revoke_ms(section: &Section<'_>) -> Result<Option<u64>, SettingsError> {
    let revoke_ms = parse_milli(section, REVOKE)?;
    let given: Option<String> = section.optional(STRICT_REVOKE, Expected::Flag)?;
    let is_strict = match given.as_deref() {
        None | Some("") => false,
        Some(text) => text
            .parse()
            .map_err(|_| section.invalid(STRICT_REVOKE, text, Expected::Flag))?,
    };
    if is_strict && revoke_ms == 0 {
        return Err(section.invalid(REVOKE, "0", Expected::Decimal));
    }
    Ok(is_strict.then_some(revoke_ms))
}

pub(crate) fn parse_regions(
    section: &Section<'_>,
    declared: &[DomainName],
) -> Result<BTreeMap<DomainName, RegionName>, SettingsError> {
    let mut regions = BTreeMap::new();
    for (key, value) in section.iter() {
        let domain: DomainName = key
            .parse()
            .map_err(|_| section.invalid(key, key, Expected::Name))?;
        if !declared.contains(&domain) {
            let domain = domain.into();
            return Err(section.error(key, Problem::UndeclaredDomain { domain }));
        }
        let region = value
            .parse()
            .map_err(|_| section.invalid(key, value, Expected::Name))?;
        regions.insert(domain, region);
    }
    Ok(regions)
}

/// Parses a decimal number into thousandths, and so seconds into milliseconds. A missing or empty
/// key has its default.
fn parse_milli(section: &Section<'_>, key: &str) -> Result<u64, SettingsError> {
    let given: Option<String> = section.optional(key, Expected::Decimal)?;
    let Some(text) = given.filter(|text| !text.is_empty()) else {
        let default = BOUND_DEFAULTS.iter().find(|(name, _)| *name == key);
        return Ok(default.map_or(0, |(_, milli)| *milli));
    };
    let invalid = || section.invalid(key, &text, Expected::Decimal);
    let value: f64 = text.parse().map_err(|_| invalid())?;
    let milli = (value * MILLI).round();
    if !(0.0..=MILLI_MAX).contains(&milli) {
        return Err(invalid());
    }
    Ok(milli as u64)
}
