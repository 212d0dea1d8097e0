//! Admission and the choice of an upstream for each request.

mod api;
mod attempt;
mod choose;
mod config;
mod declare;
mod queue;
mod request;
mod room;
mod router;
mod snapshot;
mod table;
mod upstream;

pub use crate::{
    api::{Ending, Input, Output, RequestId, Settled},
    config::{Fallback, Limits, Policy, RouterConfig},
    router::Router,
    snapshot::{Counters, RegionSnapshot, ServiceSnapshot, Snapshot, UpstreamSnapshot},
};
