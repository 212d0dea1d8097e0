//! Authentication codes (truncated HMAC-SHA-256) of a connection's frames.
//!
//! Each direction has its own key, and the number of the frame goes into its code. So the code of a
//! frame is wrong if a frame was altered, repeated, dropped or reordered. Frames are not encrypted.

use crate::error::SealError;
use bytes::{Bytes, BytesMut};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The length of the truncated authentication code after each frame.
pub const MAC_BYTES: usize = 16;

/// Appends authentication codes to the frames sent in one direction.
#[derive(Debug)]
pub struct Sealer {
    macs: MacSequence,
}

/// Checks the authentication codes of the frames received from one direction.
#[derive(Debug)]
pub struct Opener {
    macs: MacSequence,
}

#[derive(Debug)]
struct MacSequence {
    key: Hmac<Sha256>,
    sequence: u64,
}

impl MacSequence {
    fn new(key: &[u8]) -> Self {
        Self {
            key: Hmac::new_from_slice(key).expect("HMAC takes keys of any length"),
            sequence: 0,
        }
    }

    /// The authentication code of the next frame, which has this content.
    fn next_mac(&mut self, content: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.key.clone();
        mac.update(&self.sequence.to_be_bytes());
        mac.update(content);
        self.sequence += 1;
        mac
    }
}

impl Sealer {
    /// A sealer for the first frame of a direction and those after it.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self {
            macs: MacSequence::new(key),
        }
    }

    /// Appends the authentication code to the content of the next frame.
    pub fn seal(&mut self, content: &mut BytesMut) {
        let mac = self.macs.next_mac(content).finalize().into_bytes();
        content.extend_from_slice(&mac[..MAC_BYTES]);
    }
}

impl Opener {
    /// An opener for the first frame of a direction and those after it.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self {
            macs: MacSequence::new(key),
        }
    }

    /// Checks the next frame and returns its content without the code.
    ///
    /// # Errors
    ///
    /// [`SealError`] when the frame is not the next one that the peer sealed.
    pub fn open(&mut self, mut frame: BytesMut) -> Result<Bytes, SealError> {
        let len_bytes = frame.len();
        let content_bytes = len_bytes
            .checked_sub(MAC_BYTES)
            .ok_or(SealError::TooShort { len_bytes })?;
        let mac = frame.split_off(content_bytes);
        self.macs
            .next_mac(&frame)
            .verify_truncated_left(&mac)
            .map_err(|_| SealError::WrongMac)?;
        Ok(frame.freeze())
    }
}
