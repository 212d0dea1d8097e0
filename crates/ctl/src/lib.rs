//! The operators' command line.

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
    call::{Caller, request_id},
    client::{Client, ClientError},
    commands::run,
    declarations::{DeclarationsError, parse_declarations, read_declarations},
    diff::{Difference, differences},
    error::{CtlError, ExitCode},
    explain::{NoSuchRequest, Record, Story, explain, tell},
    help::HELP,
    table::Table,
    watch::{Progress, progress},
};
