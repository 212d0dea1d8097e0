//! The declared client blocks, for look-ups of the region that a client address belongs to.

use crate::ranges::Ranges;
use std::net::IpAddr;
use types::RegionName;

/// The result of a look-up, with its cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockMatch<'a> {
    /// The region of the longest declared prefix of the address; `None` if no block contains it.
    pub region: Option<&'a RegionName>,
    /// How many range starts were compared with the address.
    pub comparisons: u32,
}

/// Maps client addresses to regions by the longest declared prefix.
///
/// IPv6 prefixes of up to 64 bits are stored apart, by the upper 64 bits of their addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientBlocks {
    /// The distinct regions, in the order in which they were first declared.
    pub(crate) regions: Vec<RegionName>,
    pub(crate) v4: Ranges<u32>,
    /// IPv6 prefixes of up to 64 bits.
    pub(crate) v6_halves: Ranges<u64>,
    /// IPv6 prefixes of more than 64 bits.
    pub(crate) v6: Ranges<u128>,
}

impl ClientBlocks {
    /// The region of the longest declared prefix of `address`; `None` if no block contains it.
    ///
    /// An IPv4-mapped IPv6 address is looked up as IPv4.
    #[must_use]
    pub fn region(&self, address: IpAddr) -> Option<&RegionName> {
        self.find_counted(address).region
    }

    /// Like [`region`](Self::region), and counts the comparisons.
    #[must_use]
    pub fn find_counted(&self, address: IpAddr) -> BlockMatch<'_> {
        let (region, comparisons) = match address.to_canonical() {
            IpAddr::V4(address) => self.v4.find(address.to_bits()),
            IpAddr::V6(address) => self.find_v6(address.to_bits()),
        };
        let region = region.and_then(|region| self.regions.get(usize::from(region)));
        BlockMatch {
            region,
            comparisons,
        }
    }

    /// Searches the prefixes of more than 64 bits first: they are longer than all the others.
    fn find_v6(&self, address: u128) -> (Option<u16>, u32) {
        let (region, comparisons) = self.v6.find(address);
        if region.is_some() {
            return (region, comparisons);
        }
        let (region, more_comparisons) = self.v6_halves.find(upper_half(address));
        (region, comparisons + more_comparisons)
    }

    /// The number of disjoint ranges that the blocks were resolved into.
    #[must_use]
    pub const fn ranges(&self) -> usize {
        self.v4.len() + self.v6_halves.len() + self.v6.len()
    }

    /// The heap memory in use, from the capacity of the arrays and the length of the names.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        let names = self.regions.iter().map(|name| name.as_str().len());
        let regions = self.regions.capacity() * size_of::<RegionName>() + names.sum::<usize>();
        regions + self.v4.heap_bytes() + self.v6_halves.heap_bytes() + self.v6.heap_bytes()
    }
}

/// The upper 64 bits of an IPv6 address.
pub(crate) const fn upper_half(address: u128) -> u64 {
    (address >> 64) as u64
}
