//! Errors of listeners, dialers, handshakes and frames.

use std::{io, net::SocketAddr};
use strum::IntoStaticStr;
use thiserror::Error;
use wire::WireError;

/// A listener or dialer that can't start.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Bind {
        /// The address that [`listen`](crate::listen) was given.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The identity holds no link key.
    #[error("no link key is configured")]
    NoKey,
}

/// A frame that was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SendError {
    /// The connection's queue holds [`QUEUE_FRAMES`](crate::QUEUE_FRAMES) already.
    #[error("the queue of the connection is full")]
    Full,
    /// There is no authenticated connection at the moment.
    #[error("not connected")]
    NotConnected,
    /// The frame is larger than [`FRAME_MAX_BYTES`](wire::FRAME_MAX_BYTES).
    #[error("the frame is too large: {len_bytes} bytes")]
    TooLarge {
        /// The encoded frame's length.
        len_bytes: usize,
    },
}

/// A failed handshake, or a later frame that can't be sent or received.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The handshake took longer than [`HANDSHAKE_TIMEOUT`](crate::HANDSHAKE_TIMEOUT).
    #[error("the handshake took too long")]
    Timeout,
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame is too large or holds no valid message.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A frame's authentication code is missing or wrong.
    #[error(transparent)]
    Seal(#[from] SealError),
    /// The peer sent a message other than the next one of the handshake.
    #[error("the peer sent another message than the expected {expected}")]
    UnexpectedMessage {
        /// The message that the handshake expects.
        expected: &'static str,
    },
    /// The peer belongs to another deployment.
    #[error("the peer belongs to deployment {deployment:?}")]
    OtherDeployment {
        /// The deployment that the peer named.
        deployment: String,
    },
    /// The peer's proof is valid, but its name is not the expected one.
    #[error("the peer is {node:?}, not the node that was dialed")]
    OtherNode {
        /// The peer's actual name.
        node: String,
    },
    /// The length of the peer's nonce is not [`NONCE_BYTES`](crate::handshake::NONCE_BYTES).
    #[error("the peer's nonce has a wrong length: {len_bytes} bytes")]
    NonceLength {
        /// The nonce's length.
        len_bytes: usize,
    },
    /// The peer's proof was made with none of the accepted keys.
    #[error("the peer's proof matches no accepted key")]
    InvalidProof,
}

/// A frame whose authentication code is missing or wrong.
#[derive(Debug, Error)]
pub enum SealError {
    /// The frame is shorter than an authentication code.
    #[error("the frame has {len_bytes} bytes, fewer than its authentication code")]
    TooShort {
        /// The frame's length.
        len_bytes: usize,
    },
    /// The authentication code is wrong: a frame was altered, repeated, dropped or reordered.
    #[error("the frame's authentication code is wrong")]
    WrongMac,
}
