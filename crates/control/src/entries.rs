//! How far each entry has come.
/// How long an entry takes work without a confirmation by a majority, in milliseconds.
pub const CONFIG_LEASE_MS: u64 = 3_000;

/// What is added to the lease before an entry counts as fenced, in milliseconds.
pub const CONFIG_LEASE_MARGIN_MS: u64 = 1_000;
