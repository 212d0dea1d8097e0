//! Quotas of tenants over all gateways: tokens that the leader grants, and static parts for gateways
//! that are out of touch.
//!
//! # The bound
//!
//! In any window `w`, at most `T = (r w + b)(1 + overage) + slack` requests of a tenant may run. A
//! [`Budget`](budget::Budget) is a fill rate `f <= r` and a size `B` with `f w + B <= T`, less 0.3 s of the
//! rate, at most half of overage and slack, for requests that run later than they took a token. It is divided
//! without remainder: each of `n` gateways may have a static part of `0.3 / n` of both, the leader's
//! bucket has the rest. So it is enough that, at every moment, all buckets together fill by `f`, and
//! hold at most `B` together with the tokens that gateways have in hand: a window that begins then sees
//! at most `B` tokens from before and `f w` new ones.
//!
//! - The leader counts a token as outstanding from the grant until the gateway reports that it holds it
//!   no longer, at most for [`OUTSTANDING_MS`]; a gateway uses it for [`TOKEN_LIFE_MS`] from when it
//!   asked, which is earlier. The leader's bucket fills only up to its size less what is outstanding.
//!   Tokens in hand are thereby inside `B`, not beside it, and `B` is `b` and most of overage and slack.
//! - At most two thirds of the leader's size may be outstanding. A new leader does not know what the one
//!   before granted, so its bucket starts empty and holds no more than the other third, in hand and not,
//!   until those tokens have expired.
//! - Where `b`, overage and slack leave less size than one second of the rate, `f` is reduced to make
//!   room for that second: with `b = 0` and no overage to 0.8 `r`. A size of less than 2.5 tokens would
//!   leave no whole one to two thirds of 0.7 of it.
//! - A static part is no use to a gateway that is in touch, but would be lost to the tenant. A gateway in
//!   touch therefore pledges with each report to take none for [`PLEDGE_MS`], and the leader has that
//!   part as well. The pledge runs from the report at the gateway, and at the leader from its own earlier
//!   answer that the report names; so it ends at the leader first. A static part then starts empty. A
//!   gateway that took a static token pledges again only a window later.
//! - A token that comes back because its request did not run is kept only while no report has told the
//!   leader that it was used.
//!
//! Messages may be lost, late, repeated and out of order. A report counts only if its serial is higher
//! than that of every earlier one of the same run of the gateway, an answer only if it answers a later
//! report than every answer before.

mod budget;
mod holders;
mod ledger;
mod message;
mod static_part;
mod stock;

pub use self::{
    budget::{QuotaLimit, QuotaTerms},
    ledger::{Ledger, TenantRow},
    message::{ReturnedTokens, TokenAnswer, TokenGrant, TokenReport, TokenWant},
    stock::{Stock, Taken, Token},
};

/// How long a gateway may use a granted token, from when it sent the report that asked for it.
pub const TOKEN_LIFE_MS: u64 = 1_000;

/// How long the leader counts a token as outstanding, from the grant; longer than the life of a token
/// by more than two clocks may differ.
pub const OUTSTANDING_MS: u64 = TOKEN_LIFE_MS + TOKEN_LIFE_MS * 5 / 100;

/// How long a gateway takes no static token after a report that pledges so. Longer than two of the
/// longest intervals at which gateways poll, so that pledges follow one another without a gap.
pub const PLEDGE_MS: u64 = 2_500;

/// How long the leader counts on a pledge, from its answer that the pledge names.
const PLEDGE_COUNTED_MS: u64 = PLEDGE_MS * (100 - crate::CLOCK_DRIFT_PERCENT) / 100;

/// The part of the leader's size that may be outstanding.
const OUTSTANDING_FRACTION: f64 = 2.0 / 3.0;

/// The part of a quota that is divided statically among the gateways.
const STATIC_FRACTION: f64 = 0.3;

/// How long a gateway that hears of no leader has a static part, and how long the control replicas count
/// a gateway that polls no longer. So a part that may be in use is never given to another gateway.
pub const STATIC_LIFE_MS: u64 = 600_000;
