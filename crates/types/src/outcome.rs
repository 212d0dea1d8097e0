//! What became of a request.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What an entry tells a caller of its request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The upstream ran it and this is its answer.
    Finished,
    /// No upstream ran it, and none will.
    DidNotRun,
    /// It may have run.
    Unknown,
}

/// Why an entry did not run a request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The entry can't confirm that its configuration is the latest.
    ConfigurationLease,
    /// The service is not declared.
    UnknownService,
    /// No upstream of the service takes work.
    NoUpstream,
    /// Every allowed slot is taken and the queue is full.
    Overloaded,
    /// It can't finish within the caller's deadline.
    Deadline,
    /// The region's capacity, the link or the cap leaves no room.
    NoCapacity,
    /// A request with the same idempotency key ran or runs.
    Duplicate,
    /// The claim on the idempotency key found no majority.
    ClaimUnavailable,
    /// The entry is stopping.
    Stopping,
    /// The upstream refused it before running it.
    UpstreamRefused,
}
