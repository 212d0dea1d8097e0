//! The declared blocks of clients.

use crate::ranges::Ranges;
use std::net::IpAddr;
use types::RegionName;

/// What a look-up found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found<'a> {
    /// The region of the longest declared prefix, if any.
    pub region: Option<&'a RegionName>,
    /// How many starts of ranges were compared.
    pub steps: u32,
}

/// The regions of declared blocks, found by the longest prefix of an address.
///
/// IPv6 prefixes of up to 64 bits are held by the upper half of their addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientBlocks {
    pub(crate) regions: Vec<RegionName>,
    pub(crate) v4: Ranges<u32>,
    pub(crate) v6_halves: Ranges<u64>,
    pub(crate) v6: Ranges<u128>,
}

impl ClientBlocks {
    /// The region of the longest declared prefix of an address.
    #[must_use]
    pub fn region(&self, address: IpAddr) -> Option<&RegionName> {
        self.find(address).region
    }

    /// The same, with the work that it took.
    #[must_use]
    pub fn find(&self, address: IpAddr) -> Found<'_> {
        let (region, steps) = match address.to_canonical() {
            IpAddr::V4(address) => self.v4.find(address.to_bits()),
            IpAddr::V6(address) => self.find_v6(address.to_bits()),
        };
        let region = region.and_then(|region| self.regions.get(usize::from(region)));
        Found { region, steps }
    }

    /// A prefix of more than 64 bits is longer than each of the others.
    fn find_v6(&self, address: u128) -> (Option<u16>, u32) {
        let (region, steps) = self.v6.find(address);
        if region.is_some() {
            return (region, steps);
        }
        let (region, more_steps) = self.v6_halves.find(upper_half(address));
        (region, steps + more_steps)
    }

    /// How many disjoint ranges the blocks make.
    #[must_use]
    pub const fn ranges(&self) -> usize {
        self.v4.len() + self.v6_halves.len() + self.v6.len()
    }

    /// The memory that it takes outside itself, by the capacity of its arrays.
    #[must_use]
    pub fn heap_bytes(&self) -> usize {
        let names = self.regions.iter().map(|name| name.as_str().len());
        let regions = self.regions.capacity() * size_of::<RegionName>() + names.sum::<usize>();
        regions + self.v4.heap_bytes() + self.v6_halves.heap_bytes() + self.v6.heap_bytes()
    }
}

pub(crate) const fn upper_half(address: u128) -> u64 {
    (address >> 64) as u64
}
