//! IPv4 and IPv6 address prefixes in CIDR notation.

use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    str::FromStr,
};
use thiserror::Error;

/// The text or the values are not a prefix `ADDRESS/LENGTH`, or bits beyond the length are set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected an address prefix ADDRESS/LENGTH without bits beyond its length")]
pub struct InvalidPrefix;

/// An address prefix: all addresses that have the same first `len_bits` bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix {
    address: IpAddr,
    len_bits: u8,
}

impl Prefix {
    /// The prefix that begins at `address` and is `len_bits` long.
    ///
    /// # Errors
    ///
    /// [`InvalidPrefix`] if `len_bits` is more than 32 (IPv4) or 128 (IPv6), or if the address has
    /// bits set beyond it.
    pub fn new(address: IpAddr, len_bits: u8) -> Result<Self, InvalidPrefix> {
        let valid = match address {
            IpAddr::V4(address) => {
                len_bits <= 32 && address.to_bits() & host_mask_v4(len_bits) == 0
            }
            IpAddr::V6(address) => {
                len_bits <= 128 && address.to_bits() & host_mask_v6(len_bits) == 0
            }
        };
        match valid {
            true => Ok(Self { address, len_bits }),
            false => Err(InvalidPrefix),
        }
    }

    pub(crate) fn v4(start: u32, len_bits: u8) -> Self {
        let address = Ipv4Addr::from_bits(start).into();
        Self { address, len_bits }
    }

    pub(crate) fn v6(start: u128, len_bits: u8) -> Self {
        let address = Ipv6Addr::from_bits(start).into();
        Self { address, len_bits }
    }

    /// The first address of the prefix.
    #[must_use]
    pub const fn address(&self) -> IpAddr {
        self.address
    }

    /// The length: 0 to 32 for IPv4, 0 to 128 for IPv6.
    #[must_use]
    pub const fn len_bits(&self) -> u8 {
        self.len_bits
    }

    /// Whether an address of the same family is in the prefix; always false for the other family.
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        match (self.address, address) {
            (IpAddr::V4(own), IpAddr::V4(other)) => {
                own.to_bits() == other.to_bits() & !host_mask_v4(self.len_bits)
            }
            (IpAddr::V6(own), IpAddr::V6(other)) => {
                own.to_bits() == other.to_bits() & !host_mask_v6(self.len_bits)
            }
            (IpAddr::V4(_), IpAddr::V6(_)) | (IpAddr::V6(_), IpAddr::V4(_)) => false,
        }
    }
}

impl FromStr for Prefix {
    type Err = InvalidPrefix;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (address, len_bits) = text.split_once('/').ok_or(InvalidPrefix)?;
        let address = address.parse().map_err(|_| InvalidPrefix)?;
        let len_bits = len_bits.parse().map_err(|_| InvalidPrefix)?;
        Self::new(address, len_bits)
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.len_bits)
    }
}

/// The mask of the bits of an IPv4 address beyond a prefix.
pub(crate) fn host_mask_v4(len_bits: u8) -> u32 {
    u32::MAX.checked_shr(len_bits.into()).unwrap_or(0)
}

/// The mask of the bits of an IPv6 address's upper half beyond a prefix of up to 64 bits.
pub(crate) fn host_mask_half(len_bits: u8) -> u64 {
    u64::MAX.checked_shr(len_bits.into()).unwrap_or(0)
}

/// The mask of the bits of an IPv6 address beyond a prefix.
pub(crate) fn host_mask_v6(len_bits: u8) -> u128 {
    u128::MAX.checked_shr(len_bits.into()).unwrap_or(0)
}
