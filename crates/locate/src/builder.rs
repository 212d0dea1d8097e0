//! Declares blocks one after the other.

use crate::{
    HEAP_MAX_BYTES,
    blocks::{ClientBlocks, upper_half},
    error::BlockError,
    prefix::{Prefix, host_mask_half, host_mask_v4, host_mask_v6},
    ranges::{NO_REGION, Ranges, Row, Width},
};
use std::{collections::BTreeMap, net::IpAddr};
use types::RegionName;

const HALF_BITS: u8 = 64;

const V4: Width<u32> = Width {
    last: |start, len_bits| start | host_mask_v4(len_bits),
    next: |address| address.checked_add(1),
};

const V6_HALF: Width<u64> = Width {
    last: |start, len_bits| start | host_mask_half(len_bits),
    next: |address| address.checked_add(1),
};

const V6: Width<u128> = Width {
    last: |start, len_bits| start | host_mask_v6(len_bits),
    next: |address| address.checked_add(1),
};

/// Takes declared blocks in any order.
#[derive(Debug, Default)]
pub struct ClientBlocksBuilder {
    numbers: BTreeMap<RegionName, u16>,
    v4: Vec<Row<u32>>,
    v6_halves: Vec<Row<u64>>,
    v6: Vec<Row<u128>>,
}

impl ClientBlocksBuilder {
    /// Without any block.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a line `PREFIX REGION`; an empty one and one that begins with `#` declare nothing.
    ///
    /// # Errors
    ///
    /// [`BlockError`] when the line declares no block.
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

    /// Declares that the clients of a prefix are near a region.
    ///
    /// # Errors
    ///
    /// [`BlockError`] when the name is invalid or one too many.
    pub fn declare(&mut self, line: u32, prefix: Prefix, region: &str) -> Result<(), BlockError> {
        let region = self.number(line, region)?;
        let len_bits = prefix.len_bits();
        match prefix.address() {
            IpAddr::V4(address) => self.v4.push(Row {
                start: address.to_bits(),
                line,
                region,
                len_bits,
            }),
            IpAddr::V6(address) if len_bits <= HALF_BITS => self.v6_halves.push(Row {
                start: upper_half(address.to_bits()),
                line,
                region,
                len_bits,
            }),
            IpAddr::V6(address) => self.v6.push(Row {
                start: address.to_bits(),
                line,
                region,
                len_bits,
            }),
        }
        Ok(())
    }

    fn number(&mut self, line: u32, region: &str) -> Result<u16, BlockError> {
        if let Some(number) = self.numbers.get(region) {
            return Ok(*number);
        }
        let name = RegionName::new(region).map_err(|_| BlockError::InvalidRegion {
            line,
            region: region.to_owned(),
        })?;
        let number = u16::try_from(self.numbers.len())
            .ok()
            .filter(|number| *number != NO_REGION)
            .ok_or(BlockError::TooManyRegions {
                line,
                limit: usize::from(NO_REGION),
            })?;
        self.numbers.insert(name, number);
        Ok(number)
    }

    /// The blocks that were declared.
    ///
    /// # Errors
    ///
    /// [`BlockError`] when a prefix was declared twice or the blocks take too much memory.
    pub fn build(self) -> Result<ClientBlocks, BlockError> {
        let mut regions: Vec<(RegionName, u16)> = self.numbers.into_iter().collect();
        regions.sort_unstable_by_key(|(_, number)| *number);
        let blocks = ClientBlocks {
            regions: regions.into_iter().map(|(name, _)| name).collect(),
            v4: Ranges::new(self.v4, V4)
                .map_err(|row| repeated(row.line, Prefix::v4(row.start, row.len_bits)))?,
            v6_halves: Ranges::new(self.v6_halves, V6_HALF).map_err(|row| {
                let start = u128::from(row.start) << HALF_BITS;
                repeated(row.line, Prefix::v6(start, row.len_bits))
            })?,
            v6: Ranges::new(self.v6, V6)
                .map_err(|row| repeated(row.line, Prefix::v6(row.start, row.len_bits)))?,
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
