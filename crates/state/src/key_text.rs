//! A serde module for lists of keys: each is one JSON string of the form `kind/name`.

use serde::{Deserialize, Deserializer, Serializer, de::Error};
use types::Key;

pub(crate) fn serialize<S: Serializer>(keys: &[Key], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(keys.iter().map(Key::to_string))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Key>, D::Error> {
    Vec::<String>::deserialize(deserializer)?
        .iter()
        .map(|text| text.parse().map_err(D::Error::custom))
        .collect()
}
