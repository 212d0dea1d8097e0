//! Reads a daemon's settings from an INI file and checks them.

mod error;
mod gateway;
mod limits;
mod model;
mod overrides;
mod parse;
mod read;
mod section;

pub use crate::{
    error::{Expected, Problem, SettingsError},
    model::{
        AnnounceToken, BoundSettings, ControlSettings, DeploymentSettings, DiscoverySettings,
        EntrySettings, GatewaySettings, Interface, LimitSettings, LogFormat, LogLevel, LogSettings,
        NodeSettings, ReplicaSettings, Role, Settings,
    },
    overrides::{Override, OverrideError},
    read::KEY_MIN_BYTES,
};
