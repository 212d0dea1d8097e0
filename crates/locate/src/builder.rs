//! Collects declared client blocks and builds [`ClientBlocks`] from them.

use crate::{
    HEAP_MAX_BYTES,
    blocks::{ClientBlocks, upper_half},
    error::BlockError,
    prefix::{Prefix, host_mask_half, host_mask_v4, host_mask_v6},
    ranges::{AddressOps, DeclaredBlock, NO_REGION, Ranges},
};
use std::{collections::BTreeMap, net::IpAddr};
use types::RegionName;

/// The longest IPv6 prefix that is stored by the upper half of its address.
const HALF_BITS: u8 = 64;

const V4: AddressOps<u32> = AddressOps {
    last_address: |start, len_bits| start | host_mask_v4(len_bits),
    next: |address| address.checked_add(1),
};

const V6_HALF: AddressOps<u64> = AddressOps {
    last_address: |start, len_bits| start | host_mask_half(len_bits),
    next: |address| address.checked_add(1),
};

const V6: AddressOps<u128> = AddressOps {
    last_address: |start, len_bits| start | host_mask_v6(len_bits),
    next: |address| address.checked_add(1),
};

/// Collects blocks, which may be declared in any order.
#[derive(Debug, Default)]
pub struct ClientBlocksBuilder {
    region_indexes: BTreeMap<RegionName, u16>,
    v4: Vec<DeclaredBlock<u32>>,
    v6_halves: Vec<DeclaredBlock<u64>>,
    v6: Vec<DeclaredBlock<u128>>,
}

impl ClientBlocksBuilder {
    /// A builder without blocks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Parses a line `PREFIX REGION`; empty lines and lines that begin with `#` are skipped.
    ///
    /// `line` is its number, from 1, for error messages.
    ///
    /// # Errors
    ///
    /// [`BlockError`] if the line has another form, if its prefix or its region is invalid, or if
    /// there are more than 65,535 distinct regions.
    pub fn declare_line(&mut self, line: u32, text: &str) -> Result<(), BlockError> {
        let text = text.trim();
        if text.is_empty() || text.starts_with('#') {
            return Ok(());
        }
        let mut words = text.split_whitespace();
        let (Some(prefix), Some(region), None) = (words.next(), words.next(), words.next()) else {
            return Err(BlockError::InvalidLine { line });
        };
        let prefix = prefix.parse().map_err(|_| BlockError::InvalidPrefix {
            line,
            prefix: prefix.to_owned(),
        })?;
        self.declare(line, prefix, region)
    }

    /// Assigns the clients in a prefix to a region; `line` is for error messages.
    ///
    /// # Errors
    ///
    /// [`BlockError`] if the region's name is invalid, or if there are more than 65,535 distinct
    /// regions.
    pub fn declare(&mut self, line: u32, prefix: Prefix, region: &str) -> Result<(), BlockError> {
        let region = self.region_index(line, region)?;
        let len_bits = prefix.len_bits();
        match prefix.address() {
            IpAddr::V4(address) => self.v4.push(DeclaredBlock {
                start: address.to_bits(),
                line,
                region,
                len_bits,
            }),
            IpAddr::V6(address) if len_bits <= HALF_BITS => self.v6_halves.push(DeclaredBlock {
                start: upper_half(address.to_bits()),
                line,
                region,
                len_bits,
            }),
            IpAddr::V6(address) => self.v6.push(DeclaredBlock {
                start: address.to_bits(),
                line,
                region,
                len_bits,
            }),
        }
        Ok(())
    }

    /// The index of a region, assigned when the region is first named.
    fn region_index(&mut self, line: u32, region: &str) -> Result<u16, BlockError> {
        if let Some(index) = self.region_indexes.get(region) {
            return Ok(*index);
        }
        let name = RegionName::new(region).map_err(|_| BlockError::InvalidRegion {
            line,
            region: region.to_owned(),
        })?;
        let index = u16::try_from(self.region_indexes.len())
            .ok()
            .filter(|index| *index != NO_REGION)
            .ok_or(BlockError::TooManyRegions {
                line,
                limit: usize::from(NO_REGION),
            })?;
        self.region_indexes.insert(name, index);
        Ok(index)
    }

    /// Resolves the declared blocks into ranges.
    ///
    /// # Errors
    ///
    /// [`BlockError`] if a prefix was declared more than once, or if the result takes more than
    /// [`HEAP_MAX_BYTES`].
    pub fn build(self) -> Result<ClientBlocks, BlockError> {
        let mut regions: Vec<(RegionName, u16)> = self.region_indexes.into_iter().collect();
        regions.sort_unstable_by_key(|(_, index)| *index);
        let blocks = ClientBlocks {
            regions: regions.into_iter().map(|(name, _)| name).collect(),
            v4: Ranges::new(self.v4, V4)
                .map_err(|block| repeated(block.line, Prefix::v4(block.start, block.len_bits)))?,
            v6_halves: Ranges::new(self.v6_halves, V6_HALF).map_err(|block| {
                let start = u128::from(block.start) << HALF_BITS;
                repeated(block.line, Prefix::v6(start, block.len_bits))
            })?,
            v6: Ranges::new(self.v6, V6)
                .map_err(|block| repeated(block.line, Prefix::v6(block.start, block.len_bits)))?,
        };
        let heap_bytes = blocks.heap_bytes();
        match heap_bytes <= HEAP_MAX_BYTES {
            true => Ok(blocks),
            false => Err(BlockError::TooLarge { heap_bytes }),
        }
    }
}

const fn repeated(line: u32, prefix: Prefix) -> BlockError {
    BlockError::Repeated { line, prefix }
}
