//! The daemon `oleanderwelld`: one process that runs an entry, a gateway, a control replica, or an
//! entry and a control replica.
//!
//! The decisions are made by core crates without input or output. This crate owns their sockets,
//! files, timers, logs and metrics. Each core is owned by one actor, a task that receives messages.

mod clock;
mod control;
mod entry;
mod feed;
mod gateway;
mod http;
mod log;
mod options;
mod quota;
mod replicas;
mod run;

pub use crate::run::main;
