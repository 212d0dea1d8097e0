//! The length of the configuration lease and the period of the polls that renew it.
//!
//! Entries and control replicas both use these values, so an entry whose lease has run out and the
//! replicas that count it as fenced agree.

/// How long an entry accepts requests after a majority of the control replicas last confirmed its
/// configuration, in milliseconds.
pub const CONFIG_LEASE_MS: u64 = 3_000;

/// The shortest period of an entry's polls, in milliseconds.
const POLL_MIN_MS: u64 = 250;

/// The longest period of an entry's polls of one replica, in milliseconds. The replicas are polled
/// in turn within it, so that the answers of a majority are more recent than that.
const POLL_MAX_MS: u64 = 2_200;

/// How much each declared entry adds to the poll period, in milliseconds.
const POLL_PER_ENTRY_MS: u64 = 3;

/// The period of an entry's polls of each replica, in milliseconds. It grows with the number of
/// declared entries, so that a replica gets about the same number of polls a second at any size.
#[must_use]
pub fn poll_interval_ms(declared_entries: usize) -> u64 {
    let period_ms = POLL_PER_ENTRY_MS.saturating_mul(declared_entries as u64);
    period_ms.clamp(POLL_MIN_MS, POLL_MAX_MS)
}
