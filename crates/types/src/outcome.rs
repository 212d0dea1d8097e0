//! The outcome of a caller's request and the reasons for which an entry does not run one.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether a caller's request ran, as the entry that handled it reports it.
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
    /// An upstream ran it, and the caller gets the upstream's answer.
    Finished,
    /// No upstream ran it, and none will run it later.
    DidNotRun,
    /// An upstream may have run it; the entry can't tell.
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
    /// The entry's configuration lease has run out: it can't tell whether its configuration is the
    /// latest.
    ConfigurationLease,
    /// The service is not declared.
    UnknownService,
    /// No upstream of the service accepts requests.
    NoUpstream,
    /// Every slot that the entry may use is in use and the queue is full.
    Overloaded,
    /// The request can't finish before its deadline.
    Deadline,
    /// The capacity of the region, the limit of the link or the cap of a shift is used up.
    NoCapacity,
    /// A request with the same idempotency key has run or is running.
    Duplicate,
    /// No majority of the key's holders granted the claim on the idempotency key.
    ClaimUnavailable,
    /// The entry's process is stopping.
    Stopping,
    /// The upstream refused the request before running it.
    UpstreamRefused,
}
