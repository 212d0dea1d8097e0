//! The settings of a daemon, read from INI and checked.

mod error;
mod model;
mod parse;
mod read;
mod section;

pub use crate::{
    error::{Expected, Problem, SettingsError},
    model::{
        AnnounceToken, ControlSettings, DeploymentSettings, EntrySettings, LogFormat, LogLevel,
        LogSettings, NodeSettings, ReplicaSettings, Role, Settings,
    },
    read::KEY_MIN_BYTES,
};
