//! The decisions of a control replica: the replicated log over the declared resources.
//!
//! [`Control`] owns the log and the state, answers operators' requests and entries' polls, and
//! follows how far the entries have come. The shell holds the sockets, the files and the timer.

mod answers;
mod api;
mod clock;
mod core;
mod dump;
mod entries;
mod gateways;
mod heartbeats;
mod pending;
mod shares;
mod steer;
mod watches;

pub use crate::{
    api::{
        Answer, ControlConfig, ControlError, Follow, FollowAnswer, Input, Output, PlanInForce,
        Poll, PollAnswer, PollRejection, Replicas, Request,
    },
    core::Control,
    dump::ControlDump,
    entries::{CONFIG_LEASE_MARGIN_MS, EntryDump},
    gateways::{GatewayReport, follow_interval_ms},
};
