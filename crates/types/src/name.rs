//! Checked names: one type for each thing that operators declare or upstreams announce.
//!
//! All of them follow the same rules, see [`InvalidName`].

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, str::FromStr};
use thiserror::Error;

/// The longest name, in bytes; the text of [`InvalidName`] states it too.
const NAME_MAX_BYTES: usize = 63;

/// A name that is empty, too long, starts with `-` or `.`, or holds a character outside `a-z`,
/// `0-9`, `-` and `.`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("invalid name {name:?}: 1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit")]
pub struct InvalidName {
    /// The rejected text.
    pub name: String,
}

fn check_name(name: &str) -> Result<(), InvalidName> {
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
            /// Checks a text and copies it.
            ///
            /// # Errors
            ///
            /// [`InvalidName`] when the text is not a name.
            pub fn new(name: &str) -> Result<Self, InvalidName> {
                check_name(name)?;
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
                check_name(&name)?;
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
    /// The name of a region.
    RegionName
);
name_type!(
    /// The name of a failure domain within a region.
    DomainName
);
name_type!(
    /// The name of a service that callers use.
    ServiceName
);
name_type!(
    /// The name of an upstream that runs requests of a service.
    UpstreamName
);
name_type!(
    /// The name of an entry VM.
    EntryName
);
name_type!(
    /// The name of a control replica.
    ReplicaName
);
name_type!(
    /// The name of a declared resource of any kind.
    ResourceName
);
