//! The core of a control replica: a replicated log and the state that its commands build up.
//!
//! [`Control`] owns the log and the state. It answers requests of operators, polls of entries and
//! gateways and heartbeats of instances, and tracks which revision each entry runs. It does no
//! input or output: its caller owns the sockets, files and timers, passes in each [`Input`] and
//! carries out each [`Output`].

mod answers;
mod api;
mod clock;
mod core;
mod doubts;
mod dump;
mod entries;
mod gateways;
mod heartbeats;
mod large_answers;
mod membership;
mod pending;
mod shares;
mod snapshots;
mod steer;
mod watches;

pub use crate::{
    api::{
        Answer, ControlConfig, ControlError, GatewayPoll, GatewayPollAnswer, Input, Output,
        PlanInForce, Poll, PollAnswer, PollRejection, Replicas, Request,
    },
    core::Control,
    dump::ControlDump,
    entries::{CONFIG_LEASE_MARGIN_MS, EntryDump},
    gateways::{GatewayReport, gateway_poll_interval_ms},
    snapshots::LogSizes,
};
