//! Errors of encoding and decoding messages.

use std::io;
use thiserror::Error;

/// A message that can't be sent, received or converted.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection failed, a frame was larger than allowed, or an answer can't be deflated or
    /// inflated.
    #[error("can't read, write, deflate or inflate a message: {0}")]
    Io(#[from] io::Error),
    /// The frame's bytes are not a valid protobuf message.
    #[error("a frame holds no valid message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A field that the receiver needs is missing.
    #[error("a message lacks its field {field}")]
    Missing {
        /// The field's name in `peer.proto`.
        field: &'static str,
    },
    /// A field's value is out of range, or not a valid name, address or key.
    #[error("a message's field {field} is invalid")]
    Invalid {
        /// The field's name in `peer.proto`.
        field: &'static str,
    },
}
