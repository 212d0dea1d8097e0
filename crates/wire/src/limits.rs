//! Bounds of the messages.

/// The largest encoded message, in bytes; a larger one breaks the connection before it is read.
pub const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;
