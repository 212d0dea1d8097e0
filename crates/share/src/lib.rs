//! Divides the configured capacities of regions and links among entries as leased shares, and the quotas
//! of tenants among gateways as tokens, without input or output.
//!
//! The leading control replica owns an [`Allocator`], each entry a [`Holder`]. A holder sends its
//! [`Want`]s with its polls of the replica that it takes for the leader, or of every replica while
//! it knows none. The lease of the [`Grant`] that answers a want starts when the want was made. The
//! allocator counts a grant as used until the holder reports that it applied a later one or the
//! grant can no longer be in use, whichever comes first. So the sum of what holders may use never
//! exceeds the configured limit, except after the limit was lowered, until the earlier grants are
//! replaced or run out.

mod allocator;
mod fair;
mod holder;
mod pool;
mod quota;

pub use crate::{
    allocator::{Allocator, HolderRow, PoolRow},
    fair::{Participant, fair_shares},
    holder::{HeldRow, Holder},
    pool::{Grant, GrantId, HolderId, Pool, Want},
    quota::{
        Ledger, PLEDGE_MS, QuotaLimit, QuotaTerms, ReturnedTokens, STATIC_LIFE_MS, Stock,
        TOKEN_LIFE_MS, Taken, TenantRow, Token, TokenAnswer, TokenGrant, TokenReport, TokenWant,
    },
};

/// How long a holder may admit work under a grant, from when it sent the want.
pub const LEASE_MS: u64 = 3_000;

/// Upper bound of the difference between the rates of two clocks, in percent.
pub const CLOCK_DRIFT_PERCENT: u64 = 3;

/// How long the allocator counts a grant as used: the lease plus the longest deadline of work that
/// was admitted under it, lengthened in case the allocator's clock runs fast.
#[must_use]
pub const fn counted_ms(longest_deadline_ms: u64) -> u64 {
    let used_ms = LEASE_MS + longest_deadline_ms;
    used_ms + used_ms * CLOCK_DRIFT_PERCENT / 100 + 1
}
