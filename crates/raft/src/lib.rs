//! The replicated log: elections, replication, snapshots and membership, without input or output.
//!
//! The shell feeds [`Input`] with the time of its clock and carries out each [`Output`] in order.
//! Nothing that promises durability is sent before the shell has answered [`Input::Persisted`].

mod api;
mod durability;
mod log;
mod message;
mod progress;
mod random;
mod replica;

pub use crate::{
    api::{Input, Output, Persist, ProposeError, RaftConfig, Restored, Role, Status},
    message::{Entry, HardState, Membership, Message, Payload, ReplicaId, Snapshot},
    replica::Raft,
};
