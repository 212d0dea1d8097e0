//! The size limit of messages.

/// The largest encoded frame, in bytes. The receiver of a larger one closes the connection without
/// reading it.
pub const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;
