//! Leased shares of capacities and links among entries, without input or output.
//!
//! The leading control replica owns an [`Allocator`], each entry a [`Holder`]. A holder asks with
//! every poll; what it is granted counts from the moment it asked. The allocator counts a grant as
//! used until the holder confirms a later one or the grant can no longer be used, whichever comes
//! first, so that the sum of what holders may use never passes the operators' figure.

mod allocator;
mod fair;
mod holder;
mod pool;

pub use crate::{
    allocator::{Allocator, HolderRow, PoolRow},
    fair::{Claim, fair_shares},
    holder::{HeldRow, Holder},
    pool::{Grant, GrantId, HolderId, Pool, Want},
};

/// How long a holder may admit work under a grant, from when it asked.
pub const LEASE_MS: u64 = 3_000;

/// Bound of the difference between two clocks' rates, in percent.
pub const CLOCK_DRIFT_PERCENT: u64 = 3;

/// How long the allocator counts a grant: the lease, then the longest deadline of work that was
/// admitted under it, by a clock that may run fast.
#[must_use]
pub const fn counted_ms(longest_deadline_ms: u64) -> u64 {
    let used_ms = LEASE_MS + longest_deadline_ms;
    used_ms + used_ms * CLOCK_DRIFT_PERCENT / 100 + 1
}
