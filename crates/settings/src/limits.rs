//! Parses the limits on the connections of clients.

use crate::{
    error::{Expected, SettingsError},
    model::LimitSettings,
    section::Section,
};
use std::{ops::RangeInclusive, str::FromStr};

/// The keys of `[limits]`.
pub(crate) const LIMIT_KEYS: [&str; 6] = [
    HEAD_BUFFER,
    HEAD_FIELDS,
    HEAD_TIMEOUT,
    STALL_TIMEOUT,
    CONNECTIONS_MEMORY,
    ADDRESS_PERCENT,
];

const HEAD_BUFFER: &str = "head_buffer_bytes";
const HEAD_FIELDS: &str = "head_fields_max";
const HEAD_TIMEOUT: &str = "head_timeout_ms";
const STALL_TIMEOUT: &str = "stall_timeout_ms";
const CONNECTIONS_MEMORY: &str = "connections_memory_mb";
const ADDRESS_PERCENT: &str = "address_percent";

/// A head of 16,384 bytes, the largest of today's plans, and half as much again.
const HEAD_BUFFER_DEFAULT_BYTES: usize = 24 * 1_024;

/// The least buffer that the HTTP library accepts is 8 KiB.
const HEAD_BUFFER_BYTES: RangeInclusive<usize> = 8 * 1_024..=1_024 * 1_024;

/// As many fields as fit a head of 16,384 bytes: the shortest has four.
const HEAD_FIELDS_DEFAULT: usize = 4_096;

const HEAD_FIELDS_RANGE: RangeInclusive<usize> = 16..=16_384;

const HEAD_TIMEOUT_DEFAULT_MS: u64 = 10_000;

/// As long as a connection may be idle by today's plans.
const STALL_TIMEOUT_DEFAULT_MS: u64 = 15_000;

const TIMEOUT_MS: RangeInclusive<u64> = 100..=3_600_000;

/// Without a gateway: an eighth of the 256 MB of a control replica's VM.
const CONNECTIONS_MEMORY_DEFAULT_BYTES: usize = 32 * BYTES_PER_MB;

/// The sixteenths of a gateway's memory for connections without a key: 672 connections on a VM of 112 MB.
/// With bodies, which have ten, they leave three for everything else.
const MEMORY_SIXTEENTHS: usize = 3;

const CONNECTIONS_MEMORY_MB: RangeInclusive<usize> = 1..=65_536;

/// Many clients may share an address behind a proxy, so one address gets most of the connections. With 75,
/// 400 clients of one address filled their part of a listener with 500 connections.
const ADDRESS_PERCENT_DEFAULT: u8 = 90;

const BYTES_PER_MB: usize = 1_024 * 1_024;

/// The limits that a section gives, and the defaults of what it doesn't give, in a process whose gateway
/// may use `memory_bytes`.
pub(crate) fn parse_limits(
    section: Option<&Section<'_>>,
    memory_bytes: Option<usize>,
) -> Result<LimitSettings, SettingsError> {
    let default_bytes = memory_bytes.map_or(CONNECTIONS_MEMORY_DEFAULT_BYTES, |memory_bytes| {
        memory_bytes / 16 * MEMORY_SIXTEENTHS
    });
    let mut limits = LimitSettings {
        head_buffer_bytes: HEAD_BUFFER_DEFAULT_BYTES,
        head_fields_max: HEAD_FIELDS_DEFAULT,
        head_timeout_ms: HEAD_TIMEOUT_DEFAULT_MS,
        stall_timeout_ms: STALL_TIMEOUT_DEFAULT_MS,
        connections_memory_bytes: default_bytes,
        address_percent: ADDRESS_PERCENT_DEFAULT,
    };
    let Some(section) = section else {
        return Ok(limits);
    };
    set(
        section,
        HEAD_BUFFER,
        HEAD_BUFFER_BYTES,
        &mut limits.head_buffer_bytes,
    )?;
    set(
        section,
        HEAD_FIELDS,
        HEAD_FIELDS_RANGE,
        &mut limits.head_fields_max,
    )?;
    set(
        section,
        HEAD_TIMEOUT,
        TIMEOUT_MS,
        &mut limits.head_timeout_ms,
    )?;
    set(
        section,
        STALL_TIMEOUT,
        TIMEOUT_MS,
        &mut limits.stall_timeout_ms,
    )?;
    set(
        section,
        ADDRESS_PERCENT,
        1..=100,
        &mut limits.address_percent,
    )?;
    let mut memory_mb = 0;
    set(
        section,
        CONNECTIONS_MEMORY,
        CONNECTIONS_MEMORY_MB,
        &mut memory_mb,
    )?;
    if memory_mb > 0 {
        limits.connections_memory_bytes = memory_mb * BYTES_PER_MB;
    }
    Ok(limits)
}

/// Sets a number that the section gives; one out of range is an error.
fn set<T: FromStr + PartialOrd + ToString>(
    section: &Section<'_>,
    key: &str,
    range: RangeInclusive<T>,
    number: &mut T,
) -> Result<(), SettingsError> {
    match section.optional(key, Expected::Count)? {
        Some(given) if range.contains(&given) => *number = given,
        Some(given) => return Err(section.invalid(key, &given.to_string(), Expected::Count)),
        None => {}
    }
    Ok(())
}
