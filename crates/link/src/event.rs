//! What connections tell the rest of the process.

use crate::{error::SendError, identity::Peer};
use prost::Message;
use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};
use tokio::sync::mpsc;
use wire::{FRAME_MAX_BYTES, peer::Frame};

/// Tells the connections of this process apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    pub(crate) fn next() -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        Self(LAST.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Sends frames over one connection, as long as it stands.
#[derive(Clone, Debug)]
pub struct Replies {
    pub(crate) queue: mpsc::Sender<Frame>,
}

impl Replies {
    /// Queues a frame without waiting.
    ///
    /// # Errors
    ///
    /// [`SendError`] when the frame was not queued; it is then never sent.
    pub fn try_send(&self, frame: Frame) -> Result<(), SendError> {
        let len_bytes = frame.encoded_len();
        if len_bytes > FRAME_MAX_BYTES {
            return Err(SendError::TooLarge { len_bytes });
        }
        self.queue.try_send(frame).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => SendError::Full,
            mpsc::error::TrySendError::Closed(_) => SendError::NotConnected,
        })
    }
}

/// A change of a connection or a frame from it.
#[derive(Clone, Debug)]
pub enum Event {
    /// A peer was authenticated.
    Up {
        /// The peer.
        peer: Peer,
        /// The connection.
        connection: ConnectionId,
        /// Sends over the connection.
        replies: Replies,
    },
    /// A frame came.
    Frame {
        /// The peer.
        peer: Peer,
        /// The connection.
        connection: ConnectionId,
        /// The frame.
        frame: Frame,
        /// Answers over the same connection.
        replies: Replies,
    },
    /// The connection is broken.
    Down {
        /// The peer.
        peer: Peer,
        /// The connection.
        connection: ConnectionId,
    },
}
