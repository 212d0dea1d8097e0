//! Idempotency keys.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::ServiceName;

/// The longest idempotency key, in bytes.
pub const KEY_MAX_BYTES: usize = 128;

/// A text that is no idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("an idempotency key has 1 to 128 visible ASCII characters")]
pub struct InvalidKey;

/// A service and the idempotency key that a caller gave for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimKey {
    service: ServiceName,
    key: String,
}

impl ClaimKey {
    /// Checks and stores a key.
    ///
    /// # Errors
    ///
    /// [`InvalidKey`] when the text is empty, too long, or holds other than visible characters.
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

    /// The service.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The key that the caller gave.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The bytes that are hashed; a service name holds no space.
    pub(crate) fn hashed_bytes(&self) -> Vec<u8> {
        [self.service.as_str(), " ", &self.key]
            .concat()
            .into_bytes()
    }
}
