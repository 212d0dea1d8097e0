//! Tenants, and the digests by which their keys are recognised.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::{
    fmt,
    hash::{Hash, Hasher},
    str::FromStr,
};
use strum::Display;
use thiserror::Error;
use types::RegionName;

/// The length of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of an API key. Keys are never kept: the digest tells whether a request has the same
/// one.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// A text that is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a key digest has 64 hexadecimal digits")]
pub struct InvalidDigest;

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Whether it is the digest of an empty key, which would let in every client without one.
    #[must_use]
    pub fn is_of_empty_key(&self) -> bool {
        *self == Self::of("")
    }
}

impl PartialEq for KeyDigest {
    /// Takes the same time wherever the digests differ.
    fn eq(&self, other: &Self) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        pairs.fold(0, |differing, (one, two)| differing | (one ^ two)) == 0
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows no digit, so that digests don't end up in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl FromStr for KeyDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut digest = [0; DIGEST_BYTES];
        let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !is_hexadecimal {
            return Err(InvalidDigest);
        }
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

/// Whether requests carry a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum KeyUse {
    /// No plan has had a table of tenants. What looks like a key is between the client and the
    /// upstream.
    #[default]
    Unused,
    /// The plan has no table, but an earlier one had. Requests need no key, and one that carries a key
    /// is rejected: that key was withdrawn, or nobody ever held it.
    Withdrawn,
    /// The plan has a table of tenants, be it empty. Requests carry a key that is in it.
    Required,
}

impl KeyUse {
    /// Lets the serialized form of plans without tenants be that of builds without key use.
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
    )]
    pub(crate) const fn is_unused(&self) -> bool {
        matches!(self, Self::Unused)
    }

    /// What a plan that declares this means after one that meant `previous`.
    #[must_use]
    pub(crate) const fn after(self, previous: Self) -> Self {
        match (self, previous) {
            (Self::Unused, Self::Withdrawn | Self::Required) => Self::Withdrawn,
            _ => self,
        }
    }
}

/// An organisation whose requests carry its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Tenant {
    /// The name, unique in the plan. Upstreams are told it with each request.
    pub name: String,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Its priority, in place of the route's; none when it has none of its own.
    pub priority: Option<u32>,
    /// The requests it may send to all gateways together, in thousandths of a request per second; 0
    /// when there is no limit.
    #[serde(default)]
    pub rate_milli_per_s: u64,
    /// The requests that it may send at once after a time without any, beside the rate.
    #[serde(default)]
    pub burst: u64,
    /// The only regions that may run its requests; empty when any may. Those of a route bind too.
    #[serde(default)]
    pub home_regions: Vec<RegionName>,
}

impl Tenant {
    /// Whether its rate is limited.
    #[must_use]
    pub const fn is_limited(&self) -> bool {
        self.rate_milli_per_s > 0
    }
}
