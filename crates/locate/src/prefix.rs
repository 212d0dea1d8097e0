//! Address prefixes.

use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    str::FromStr,
};
use thiserror::Error;

/// A text that is no prefix `ADDRESS/LENGTH` without bits beyond its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not an address prefix")]
pub struct InvalidPrefix;

/// The addresses that begin with the same bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix {
    address: IpAddr,
    len_bits: u8,
}

impl Prefix {
    /// A prefix of `len_bits`, unless that is longer than the address or leaves out bits of it.
    ///
    /// # Errors
    ///
    /// [`InvalidPrefix`] then.
    pub fn new(address: IpAddr, len_bits: u8) -> Result<Self, InvalidPrefix> {
        let fits = match address {
            IpAddr::V4(address) => {
                len_bits <= 32 && address.to_bits() & host_mask_v4(len_bits) == 0
            }
            IpAddr::V6(address) => {
                len_bits <= 128 && address.to_bits() & host_mask_v6(len_bits) == 0
            }
        };
        match fits {
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

    /// Its first address.
    #[must_use]
    pub const fn address(&self) -> IpAddr {
        self.address
    }

    /// How many bits are the same.
    #[must_use]
    pub const fn len_bits(&self) -> u8 {
        self.len_bits
    }

    /// Whether it holds an address.
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

/// The bits of a 32-bit address beyond a prefix.
pub(crate) fn host_mask_v4(len_bits: u8) -> u32 {
    u32::MAX.checked_shr(len_bits.into()).unwrap_or(0)
}

/// The bits of a 64-bit half of an address beyond a prefix.
pub(crate) fn host_mask_half(len_bits: u8) -> u64 {
    u64::MAX.checked_shr(len_bits.into()).unwrap_or(0)
}

/// The bits of a 128-bit address beyond a prefix.
pub(crate) fn host_mask_v6(len_bits: u8) -> u128 {
    u128::MAX.checked_shr(len_bits.into()).unwrap_or(0)
}
