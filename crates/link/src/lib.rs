//! Authenticated TCP connections between the daemons of a deployment. They carry length-delimited
//! protobuf frames.
//!
//! [`handshake`] and [`seal`] do no input or output. [`listen`] and [`dial`] start the tasks that
//! own the sockets and report to the rest of the process by [`Event`]s.

mod activity;
mod codec;
mod connection;
mod counters;
mod dialer;
mod error;
mod event;
pub mod handshake;
mod identity;
mod limits;
mod listener;
pub mod seal;

pub use crate::{
    codec::SealedCodec,
    counters::Counters,
    dialer::{DialerHandle, dial},
    error::{HandshakeError, LinkError, SealError, SendError},
    event::{ConnectionId, Event, FrameSender},
    identity::{Identity, Peer},
    limits::{
        HANDSHAKE_FRAME_MAX_BYTES, HANDSHAKE_TIMEOUT, HANDSHAKES_MAX, HANDSHAKES_PER_ADDRESS_MAX,
        KEEPALIVE_INTERVAL, QUEUE_FRAMES, SILENCE_TIMEOUT, WRITE_STALL_TIMEOUT,
    },
    listener::{ListenerHandle, listen},
};
