//! Protobuf messages between the system's own processes, and conversions between them and the types
//! of the core crates.
//!
//! Only this crate knows the encoding; the cores work on their own types.

mod claim_message;
mod error;
mod follow_message;
mod limits;
mod member_message;
mod raft_message;
mod share_message;

/// The messages that `protogen` generates from `proto/peer.proto`.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    include!("generated/oleanderwell.peer.rs");
}

pub use crate::{
    claim_message::{claim_from_wire, claim_to_wire},
    error::WireError,
    follow_message::{follow_answer_from_wire, follow_answer_to_wire},
    limits::FRAME_MAX_BYTES,
    member_message::{sync_from_wire, sync_to_wire},
    raft_message::{raft_from_wire, raft_to_wire},
    share_message::{grant_from_wire, grant_to_wire, want_from_wire, want_to_wire},
};
