//! Idempotency keys and their validation.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::ServiceName;

/// The longest idempotency key, in bytes.
pub const KEY_MAX_BYTES: usize = 128;

/// The text given as an idempotency key is empty, longer than [`KEY_MAX_BYTES`], or holds other
/// characters than visible ASCII.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("an idempotency key has 1 to 128 visible ASCII characters")]
pub struct InvalidKey;

/// An idempotency key together with the service that it was given for: the same key at another
/// service is another claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimKey {
    service: ServiceName,
    key: String,
}

impl ClaimKey {
    /// Validates `key` and joins it with the service.
    ///
    /// # Errors
    ///
    /// [`InvalidKey`] when the text is empty, longer than [`KEY_MAX_BYTES`], or holds other
    /// characters than visible ASCII.
    pub fn new(service: &ServiceName, key: &str) -> Result<Self, InvalidKey> {
        let valid_length = (1..=KEY_MAX_BYTES).contains(&key.len());
        if !valid_length || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(InvalidKey);
        }
        Ok(Self {
            service: service.clone(),
            key: key.to_owned(),
        })
    }

    /// The service that the request is for.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The key that the caller gave.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The bytes that are hashed to choose the key's holders. The space keeps service and key
    /// apart, since a service name holds none.
    pub(crate) fn hashed_bytes(&self) -> Vec<u8> {
        [self.service.as_str(), " ", &self.key]
            .concat()
            .into_bytes()
    }
}
