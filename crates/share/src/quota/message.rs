//! What gateways and the leader tell each other about tokens.

use serde::{Deserialize, Serialize};

/// Tokens that a gateway gives back to the leader that granted them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReturnedTokens {
    /// The serial of the report that they were granted for.
    pub serial: u64,
    /// How many.
    pub tokens: u64,
}

/// A gateway's state and wishes for one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TokenWant {
    /// The tenant.
    pub tenant: String,
    /// How many more tokens it asks for.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub wanted: u64,
    /// How many tokens of the leader of [`TokenReport::term`] it still holds, without those returned.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub held: u64,
    /// The tokens that it gives back, at most one entry for each grant.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<ReturnedTokens>,
}

/// A gateway's report to the leader, in its poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TokenReport {
    /// Differs after every restart of the gateway.
    pub incarnation: u64,
    /// The number of the report, from 1. The leader ignores one that arrives after a later one.
    pub serial: u64,
    /// The serial of the latest report whose answer the gateway applied. It takes no grant for an earlier
    /// one any more.
    pub applied: u64,
    /// The term of the leader that gave that answer; 0 before the first.
    pub term: u64,
    /// [`TokenAnswer::stamp_us`] of that answer.
    pub stamp_us: u64,
    /// Whether the gateway takes no static token for [`PLEDGE_MS`](super::PLEDGE_MS) from the report on.
    pub pledges: bool,
    /// Among how many gateways it divides the static part.
    pub parts: usize,
    /// The tenants for which there is something to tell.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<TokenWant>,
}

/// The leader's answer for one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TokenGrant {
    /// The tenant.
    pub tenant: String,
    /// How many tokens the gateway may use.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tokens: u64,
    /// When these are fewer than it asked for, in how many milliseconds it may expect others.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub retry_after_ms: u64,
}

/// The leader's answer to a [`TokenReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TokenAnswer {
    /// The serial of the report that it answers.
    pub serial: u64,
    /// The leader's term.
    pub term: u64,
    /// The leader's clock. Only that leader reads it again.
    pub stamp_us: u64,
    /// One for each tenant of which tokens were wanted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<TokenGrant>,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // serde passes a reference.
const fn is_zero(value: &u64) -> bool {
    *value == 0
}
