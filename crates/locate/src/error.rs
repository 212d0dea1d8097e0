//! Why client blocks can't be used.

use crate::{HEAP_MAX_BYTES, Prefix};
use thiserror::Error;

/// A block, or all of them together, that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BlockError {
    /// The line has not the form of a block.
    #[error("line {line} is not PREFIX REGION")]
    InvalidLine {
        /// The line, from 1.
        line: u32,
    },
    /// The prefix can't be read, or has bits beyond its length.
    #[error("line {line}: {prefix:?} is not an address prefix")]
    InvalidPrefix {
        /// The line, from 1.
        line: u32,
        /// What stands there.
        prefix: String,
    },
    /// The region breaks the rules of names.
    #[error("line {line}: {region:?} is not the name of a region")]
    InvalidRegion {
        /// The line, from 1.
        line: u32,
        /// What stands there.
        region: String,
    },
    /// The prefix was declared on an earlier line.
    #[error("line {line}: {prefix} is declared more than once")]
    Repeated {
        /// The line, from 1.
        line: u32,
        /// The prefix.
        prefix: Prefix,
    },
    /// More regions are named than can be told apart.
    #[error("line {line}: more than {limit} regions are named")]
    TooManyRegions {
        /// The line, from 1.
        line: u32,
        /// The limit.
        limit: usize,
    },
    /// The blocks take more memory than one process may use for them.
    #[error("the blocks take {heap_bytes} bytes, more than {HEAP_MAX_BYTES}")]
    TooLarge {
        /// What they would take.
        heap_bytes: usize,
    },
}
