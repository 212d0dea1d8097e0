//! The daemon: sockets, files and timers round the cores of an entry, a gateway and a control
//! replica.

mod clock;
mod control;
mod entry;
mod feed;
mod gateway;
mod http;
mod log;
mod options;
mod replicas;
mod run;

pub use crate::run::main;
