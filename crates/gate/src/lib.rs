//! The decisions of a gateway, without input or output.
//!
//! A gateway follows the control replicas for the plan, the instances and the evacuations, and
//! forwards each request of a client to an upstream. [`Gate`] is the core that its one task owns.

mod api;
mod bucket;
mod config;
mod follow;
mod gate;
mod rank;
mod regions;
mod requests;
mod service;
mod slack;
mod split;
mod times;
mod upstream;

pub use crate::{
    api::{Arrival, Belief, Busy, Decision, Ending, Failure, Load, Next, Refusal, Target},
    config::{GateBounds, GateConfig},
    gate::Gate,
};
