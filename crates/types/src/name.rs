//! Checked names of the things that operators declare and upstreams announce.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, str::FromStr};
use thiserror::Error;

/// The longest name, in bytes.
const NAME_MAX_BYTES: usize = 63;

/// A name that is empty, too long, or holds a character outside `a-z`, `0-9`, `-` and `.`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("invalid name {name:?}: 1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit")]
pub struct InvalidName {
    /// The rejected text.
    pub name: String,
}

fn check(name: &str) -> Result<(), InvalidName> {
    let valid_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let valid_start = name
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    if valid_start && name.len() <= NAME_MAX_BYTES && name.bytes().all(valid_byte) {
        return Ok(());
    }
    Err(InvalidName {
        name: name.to_owned(),
    })
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Checks and stores a name.
            ///
            /// # Errors
            ///
            /// [`InvalidName`] when the text breaks the rules of names.
            pub fn new(name: &str) -> Result<Self, InvalidName> {
                check(name)?;
                Ok(Self(name.to_owned()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(name: &str) -> Result<Self, Self::Err> {
                Self::new(name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(name: String) -> Result<Self, Self::Error> {
                check(&name)?;
                Ok(Self(name))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type!(
    /// A region.
    RegionName
);
name_type!(
    /// A failure domain within a region.
    DomainName
);
name_type!(
    /// A service that callers use.
    ServiceName
);
name_type!(
    /// An upstream that runs requests of a service.
    UpstreamName
);
name_type!(
    /// An entry VM of the system.
    EntryName
);
name_type!(
    /// A control replica.
    ReplicaName
);
name_type!(
    /// A declared resource of any kind.
    ResourceName
);
