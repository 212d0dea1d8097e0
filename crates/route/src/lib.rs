//! Admission and the choice of an upstream for each request.

mod api;
mod attempt;
mod budget;
mod choose;
mod config;
mod deadline;
mod declare;
mod demand;
mod evidence;
mod homes;
mod observe;
mod queue;
mod request;
mod room;
mod router;
mod service;
mod shift;
mod snapshot;
mod table;
mod upstream;

pub use crate::{
    api::{Ending, Input, Output, RequestId, Settled},
    config::{Fallback, Limits, Policy, RouterConfig},
    router::Router,
    shift::{Cap, Mover, ShiftProgress},
    snapshot::{Counters, RegionSnapshot, ServiceSnapshot, Snapshot, UpstreamSnapshot},
};
pub use types::{ShiftReason, ShiftState};
