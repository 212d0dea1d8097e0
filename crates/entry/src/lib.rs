//! The decisions of an entry, without input or output: configuration lease, table of upstreams,
//! look-ups, claims, shares and routing.
//!
//! [`EntryCore`] combines the cores of an entry. The shell, which owns sockets and clock, passes
//! each [`Input`] together with the time and carries out each [`Output`]. Queries that change
//! nothing are plain methods.

mod api;
mod claims;
mod config;
mod core;
mod lease;
mod lookup;
mod peers;
mod polls;
mod progress;
mod shares;

pub use crate::{
    api::{Arrival, ConfigChange, EntryConfig, Input, Output, PeerAddress, ReplicaAnswer},
    core::{EntryCore, EntryDump},
    lease::Lease,
};
