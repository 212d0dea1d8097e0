//! The decisions of a gateway, without input or output.
//!
//! A gateway polls the control replicas for the plan, the registered instances and the evacuated
//! failure domains, and forwards each client request to an upstream. [`Gate`] holds the state of
//! one gateway; a single task owns it, reads the clock for it and does the network input and
//! output.

mod admission;
mod answer;
mod api;
mod bucket;
mod candidates;
mod config;
mod gate;
mod identity;
mod key_lease;
mod link_schedule;
mod mean_load;
mod pace;
mod poll_schedule;
mod quota;
mod rank;
mod regions;
mod requests;
mod service;
mod slack;
mod slowness;
mod split;
mod stopping;
mod times;
mod upstream;
mod withheld;

pub use crate::{
    answer::{AnswerHead, NotRun},
    api::{
        Arrival, BusyUpstream, Caller, Decision, Ending, Failure, Load, NextStep, Notices,
        PaceCause, PaceChange, Refusal, StateChange, Target,
    },
    config::{GateBounds, GateConfig},
    gate::Gate,
    link_schedule::LinkSchedule,
    stopping::STOP_ANSWER_FRACTION,
};
