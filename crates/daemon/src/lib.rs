//! The daemon: sockets, files and timers round the cores of an entry and a control replica.

mod clock;
mod control;
mod entry;
mod feed;
mod http;
mod log;
mod options;
mod run;

pub use crate::run::main;
