//! Finds the region that a client address belongs to and orders regions by their network delay,
//! without input or output.
//!
//! [`ClientBlocks`] finds the longest declared prefix of a client's address in sorted arrays of
//! disjoint ranges. [`region_order`] orders regions by the delay of the links between them.

mod blocks;
mod builder;
mod error;
mod order;
mod prefix;
mod ranges;

pub use crate::{
    blocks::{BlockMatch, ClientBlocks},
    builder::ClientBlocksBuilder,
    error::BlockError,
    order::{RegionLink, region_order},
    prefix::Prefix,
};

/// The most heap memory that [`ClientBlocks`] may use.
pub const HEAP_MAX_BYTES: usize = 24 * 1024 * 1024;
