//! The replicated log: elections, replication, snapshots and membership, without input or output.
//!
//! The shell feeds [`Input`] with the time of its clock and carries out each [`Output`] in order.
//! Nothing that promises durability is sent before the shell has answered [`Input::Persisted`].

mod api;
mod message;

pub use crate::{
    api::{Input, Output, Persist, ProposeError, RaftConfig, Restored, Role, Status},
    message::{Entry, HardState, Membership, Message, Payload, ReplicaId, Snapshot},
};
