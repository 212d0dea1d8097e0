//! Request routing for one entry: admission, queueing, and the choice of an upstream for each
//! attempt.
//!
//! The crate is a state machine without input, output or clock. The entry passes every event and
//! the current time to [`Router::step`] and carries out the [`Output`]s that come back.

mod allowance;
mod answer;
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
mod router;
mod service;
mod shift;
mod snapshot;
mod table;
mod upstream;

pub use crate::{
    answer::AnswerHead,
    api::{Ending, Input, Output, RequestId, Settled},
    config::{Fallback, Limits, Policy, RouterConfig},
    router::Router,
    shift::{Cap, ShiftController, ShiftProgress},
    snapshot::{Counters, RegionSnapshot, ServiceSnapshot, Snapshot, UpstreamSnapshot},
};
pub use types::{ShiftReason, ShiftState};
