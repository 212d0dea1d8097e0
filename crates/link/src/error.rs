//! Failures of connections.

use std::{io, net::SocketAddr};
use strum::IntoStaticStr;
use thiserror::Error;
use wire::WireError;

/// A listener that can't start.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The identity holds no key.
    #[error("no link key is given")]
    NoKey,
}

/// A frame that was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SendError {
    /// The connection's queue is full.
    #[error("the queue of the connection is full")]
    Full,
    /// There is no connection now.
    #[error("not connected")]
    NotConnected,
    /// The frame is larger than a connection carries.
    #[error("the frame has {len_bytes} bytes")]
    TooLarge {
        /// Its length.
        len_bytes: usize,
    },
}

/// A handshake that was refused.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The peer took too long.
    #[error("the handshake took too long")]
    Timeout,
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame is too large or holds no message.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A frame fails its check.
    #[error(transparent)]
    Seal(#[from] SealError),
    /// Another message was due.
    #[error("expected the message {expected}")]
    Unexpected {
        /// What was due.
        expected: &'static str,
    },
    /// The peer belongs to another deployment.
    #[error("the peer belongs to deployment {deployment:?}")]
    OtherDeployment {
        /// The peer's deployment.
        deployment: String,
    },
    /// The peer is not the one that was dialed.
    #[error("the peer is {node:?}")]
    OtherNode {
        /// The peer's name.
        node: String,
    },
    /// A nonce has the wrong length.
    #[error("the nonce has {len_bytes} bytes")]
    Nonce {
        /// Its length.
        len_bytes: usize,
    },
    /// The proof fits no accepted key.
    #[error("the proof fits no accepted key")]
    Proof,
}

/// A frame that fails its check.
#[derive(Debug, Error)]
pub enum SealError {
    /// The frame is shorter than its code.
    #[error("the frame has {len_bytes} bytes, fewer than its authentication code")]
    Short {
        /// Its length.
        len_bytes: usize,
    },
    /// The authentication code is wrong: the frame was altered, repeated, dropped or reordered.
    #[error("the frame's authentication code is wrong")]
    Code,
}
