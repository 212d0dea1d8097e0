//! The events of connections, and the sender of frames that comes with them.

use crate::{error::SendError, identity::Peer};
use prost::Message;
use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};
use tokio::sync::mpsc;
use wire::{FRAME_MAX_BYTES, peer::Frame};

/// Identifies a connection of this process; numbered from 1, never used again.
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

/// Sends frames over one connection until it ends. Clones send over the same connection.
#[derive(Clone, Debug)]
pub struct FrameSender {
    pub(crate) queue: mpsc::Sender<Frame>,
}

impl FrameSender {
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

/// The start or end of a connection, or a frame received from it.
#[derive(Clone, Debug)]
pub enum Event {
    /// A handshake succeeded.
    Up {
        /// The authenticated peer.
        peer: Peer,
        /// Identifies the connection in its later events.
        connection: ConnectionId,
        /// Sends over the connection.
        sender: FrameSender,
    },
    /// The peer sent a frame that is not a keepalive.
    Frame {
        /// The authenticated peer.
        peer: Peer,
        /// The connection that the frame came from.
        connection: ConnectionId,
        /// The decoded frame.
        frame: Frame,
        /// Sends answers over the same connection.
        sender: FrameSender,
    },
    /// The connection ended; no further event has its id.
    Down {
        /// The peer that was authenticated on it.
        peer: Peer,
        /// The connection that ended.
        connection: ConnectionId,
    },
}
