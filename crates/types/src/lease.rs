//! The configuration lease, which entries and control replicas reckon with alike.

/// How long an entry takes work without a confirmation by a majority, in milliseconds.
pub const CONFIG_LEASE_MS: u64 = 3_000;

/// The shortest period of an entry's polls, in milliseconds.
const POLL_MIN_MS: u64 = 250;

/// The longest period of an entry's polls of one replica, in milliseconds. The replicas are asked
/// in turn within it, so that the answers of a majority are younger.
const POLL_MAX_MS: u64 = 2_200;

/// By how much each declared entry lengthens the period, in milliseconds.
const POLL_STEP_MS: u64 = 3;

/// The period of an entry's polls of each replica, so that all entries together cost a replica
/// about the same at any size.
#[must_use]
pub fn poll_interval_ms(declared_entries: usize) -> u64 {
    let step_ms = POLL_STEP_MS.saturating_mul(declared_entries as u64);
    step_ms.clamp(POLL_MIN_MS, POLL_MAX_MS)
}
