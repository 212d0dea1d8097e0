//! The library behind `oleanderctl`, the operators' command line: it parses arguments, sends
//! requests to the control replicas over HTTP and prints the answers.

mod args;
mod call;
mod client;
mod commands;
mod declarations;
mod diff;
mod error;
mod explain;
mod help;
mod replicas;
mod steering;
mod table;
mod watch;

pub use crate::{
    args::{Args, ArgsError, Command, DrainKind, Parsed, parse},
    call::{ControlClient, random_request_id},
    client::{Client, ClientError},
    commands::run,
    declarations::{DeclarationsError, parse_declarations, read_declarations},
    diff::{Difference, differences},
    error::{CtlError, ExitCode},
    explain::{Explanation, Record, RequestNotFound, explain, to_text},
    help::HELP,
    table::Table,
    watch::{InForceCount, count_in_force},
};
