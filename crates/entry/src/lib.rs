//! The decisions of an entry: configuration lease, membership and routing.
//!
//! [`EntryCore`] joins the cores of an entry. The shell hands in the time with each [`Input`] and
//! carries out each [`Output`]; questions that change nothing are plain methods.

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
