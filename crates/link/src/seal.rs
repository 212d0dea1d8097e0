//! Authentication codes over a connection's frames.
//!
//! Each direction has its own key and counts its frames, so that an altered, repeated, dropped or
//! reordered frame fails its check.

use crate::error::SealError;
use bytes::{Bytes, BytesMut};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of the truncated code after each frame.
pub const CODE_BYTES: usize = 16;

/// Appends codes to the frames of one direction.
#[derive(Debug)]
pub struct Sealer {
    chain: Chain,
}

/// Checks the codes of one direction.
#[derive(Debug)]
pub struct Opener {
    chain: Chain,
}

#[derive(Debug)]
struct Chain {
    key: Hmac<Sha256>,
    sequence: u64,
}

impl Chain {
    fn new(key: &[u8]) -> Self {
        Self {
            key: Hmac::new_from_slice(key).expect("a code takes keys of any length"),
            sequence: 0,
        }
    }

    /// The code of the next frame.
    fn next(&mut self, content: &[u8]) -> Hmac<Sha256> {
        let mut code = self.key.clone();
        code.update(&self.sequence.to_be_bytes());
        code.update(content);
        self.sequence += 1;
        code
    }
}

impl Sealer {
    /// Seals the first frame of a direction next.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self {
            chain: Chain::new(key),
        }
    }

    /// Appends the code of the next frame to its content.
    pub fn seal(&mut self, content: &mut BytesMut) {
        let code = self.chain.next(content).finalize().into_bytes();
        content.extend_from_slice(&code[..CODE_BYTES]);
    }
}

impl Opener {
    /// Checks the first frame of a direction next.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self {
            chain: Chain::new(key),
        }
    }

    /// The content of the next frame.
    ///
    /// # Errors
    ///
    /// [`SealError`] when the frame is not the next one that the peer sealed.
    pub fn open(&mut self, mut frame: BytesMut) -> Result<Bytes, SealError> {
        let len_bytes = frame.len();
        let content_bytes = len_bytes
            .checked_sub(CODE_BYTES)
            .ok_or(SealError::Short { len_bytes })?;
        let code = frame.split_off(content_bytes);
        self.chain
            .next(&frame)
            .verify_truncated_left(&code)
            .map_err(|_| SealError::Code)?;
        Ok(frame.freeze())
    }
}
