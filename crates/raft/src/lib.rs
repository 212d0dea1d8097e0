//! A Raft replica: elections, log replication, snapshots and membership, without input or output.
//!
//! The shell is the code that owns the sockets, the disk and the clock. It passes each [`Input`] to
//! [`Raft::step`] with the time of its clock, and carries out every [`Output`] in order. A message
//! that promises durability is only sent after the shell has answered with [`Input::Persisted`].

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
