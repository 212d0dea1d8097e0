//! Failures of encoding and decoding.

use std::io;
use thiserror::Error;

/// A frame that can't be read or written.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection failed, or a frame was larger than allowed.
    #[error("reading or writing a frame failed: {0}")]
    Io(#[from] io::Error),
    /// The bytes are no message.
    #[error("a frame holds no valid message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A required field is missing.
    #[error("a message lacks its field {field}")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field breaks its rules.
    #[error("a message's field {field} is invalid")]
    Invalid {
        /// The field.
        field: &'static str,
    },
}
