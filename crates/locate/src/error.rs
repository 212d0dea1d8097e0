//! The errors in declared client blocks.

use crate::{HEAP_MAX_BYTES, Prefix};
use thiserror::Error;

/// An error in one declared block, or in all of them together.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BlockError {
    /// The line does not consist of a prefix and a region.
    #[error("line {line} is not PREFIX REGION")]
    InvalidLine {
        /// The line, from 1.
        line: u32,
    },
    /// The prefix is malformed, or its address has bits set beyond its length.
    #[error("line {line}: {prefix:?} is not an address prefix")]
    InvalidPrefix {
        /// The line, from 1.
        line: u32,
        /// The text where the prefix is expected.
        prefix: String,
    },
    /// The region is not a valid name.
    #[error("line {line}: {region:?} is not the name of a region")]
    InvalidRegion {
        /// The line, from 1.
        line: u32,
        /// The text where the region is expected.
        region: String,
    },
    /// An earlier line declares the same prefix.
    #[error("line {line}: {prefix} is declared more than once")]
    Repeated {
        /// The later line, from 1.
        line: u32,
        /// The prefix that both declare.
        prefix: Prefix,
    },
    /// More distinct regions are named than the 16-bit region index can hold.
    #[error("line {line}: more than {limit} regions are named")]
    TooManyRegions {
        /// The line, from 1.
        line: u32,
        /// The most distinct regions.
        limit: usize,
    },
    /// The blocks take more than [`HEAP_MAX_BYTES`] of memory.
    #[error("the client blocks take {heap_bytes} bytes, more than the limit of {HEAP_MAX_BYTES}")]
    TooLarge {
        /// The memory that they would take.
        heap_bytes: usize,
    },
}
