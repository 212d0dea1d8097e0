//! Messages between the system's own processes.
//!
//! Only this crate knows the encoding; the cores work on their own types.

mod claim_message;
mod error;
mod limits;
mod raft_message;

/// The messages that `proto/` describes.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    include!("generated/oleanderwell.peer.rs");
}

pub use crate::{
    claim_message::{claim_from_wire, claim_to_wire},
    error::WireError,
    limits::FRAME_MAX_BYTES,
    raft_message::{raft_from_wire, raft_to_wire},
};
