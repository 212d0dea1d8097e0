//! From a client's address to its block, its region and the order of regions, without input or
//! output.
//!
//! [`ClientBlocks`] answers the longest declared prefix of an address from sorted arrays of
//! disjoint ranges, [`region_order`] orders regions by the delay of the links between them.

mod blocks;
mod builder;
mod error;
mod order;
mod prefix;
mod ranges;

pub use crate::{
    blocks::{ClientBlocks, Found},
    builder::ClientBlocksBuilder,
    error::BlockError,
    order::{RegionLink, region_order},
    prefix::Prefix,
};

/// The most memory that the blocks of one process may take.
pub const HEAP_MAX_BYTES: usize = 24 * 1024 * 1024;
