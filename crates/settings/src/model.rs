//! The settings as the daemon uses them.

use locate::ClientBlocks;
use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, sync::Arc};
use strum::{Display, EnumString};
use types::{DomainName, RegionName, ReplicaName, ServiceName};

/// Everything that one settings file declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This process.
    pub node: NodeSettings,
    /// What all processes of the deployment share.
    pub deployment: DeploymentSettings,
    /// The entry, when the role has one.
    pub entry: Option<EntrySettings>,
    /// The control replica, when the role has one.
    pub control: Option<ControlSettings>,
    /// The gateway, when the role has one.
    pub gateway: Option<GatewaySettings>,
    /// Every control replica, in the order of the file; empty where seeds find them.
    pub replicas: Vec<ReplicaSettings>,
    /// How replicas are found, where they are not declared.
    pub discovery: Option<DiscoverySettings>,
    /// The bounds that gateways and their control replicas keep.
    pub bounds: Option<BoundSettings>,
    /// The region of each failure domain, where gateways need it.
    pub regions: BTreeMap<DomainName, RegionName>,
    /// Logging.
    pub log: LogSettings,
}

/// What a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// An entry.
    Entry,
    /// A control replica.
    Control,
    /// Both in one process.
    Both,
    /// A gateway.
    Gateway,
}

impl Role {
    /// Whether the process runs an entry.
    #[must_use]
    pub const fn has_entry(self) -> bool {
        matches!(self, Self::Entry | Self::Both)
    }

    /// Whether the process runs a control replica.
    #[must_use]
    pub const fn has_control(self) -> bool {
        matches!(self, Self::Control | Self::Both)
    }
}

/// `[node]`: this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Its name, valid as an entry's and a replica's name.
    pub name: String,
    /// What it runs.
    pub role: Role,
    /// The region that its VM stands in.
    pub region: RegionName,
    /// The failure domain that its VM stands in.
    pub failure_domain: DomainName,
    /// Whether one thread runs everything but the disk's writes.
    pub single_threaded: bool,
}

/// `[deployment]`: what all processes share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentSettings {
    /// Processes of another deployment are refused.
    pub name: String,
    /// The declared failure domains.
    pub failure_domains: Vec<DomainName>,
    /// Where the link keys stand.
    pub key_file: PathBuf,
    /// The link keys; the first proves, all are accepted. Empty until [`Settings::read`] read them.
    pub keys: Vec<Vec<u8>>,
}

/// `[entry]`: the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Address for callers and upstreams.
    pub listen: SocketAddr,
    /// Address for the system's own processes.
    pub peer_listen: SocketAddr,
    /// Where the announcement tokens stand, when announcements need one.
    pub announce_tokens_file: Option<PathBuf>,
    /// The announcement tokens. Empty until [`Settings::read`] read them.
    pub announce_tokens: Vec<AnnounceToken>,
    /// Lifetime of look-up answers.
    pub lookup_lifetime_ms: u64,
    /// Where the blocks of clients stand, when they are declared.
    pub client_blocks_file: Option<PathBuf>,
    /// The blocks of clients. None until [`Settings::read`] read them.
    pub client_blocks: Option<Arc<ClientBlocks>>,
}

/// A token and the services that it may announce.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnounceToken {
    /// The token.
    pub token: String,
    /// The services.
    pub services: Vec<ServiceName>,
}

/// `[control]`: the control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Address for operators.
    pub listen: SocketAddr,
    /// Address for the system's own processes.
    pub peer_listen: SocketAddr,
    /// Whose way of speaking `listen` follows.
    pub interface: Interface,
    /// Address for clients that look up gateways, where they have one of their own.
    pub lookup_listen: Option<SocketAddr>,
    /// The data folder.
    pub data: PathBuf,
    /// Where the operators' tokens stand, when changes need one.
    pub operator_tokens_file: Option<PathBuf>,
    /// The operators' tokens. Empty until [`Settings::read`] read them.
    pub operator_tokens: Vec<String>,
}

/// Whose way of speaking a process follows towards callers, upstreams and operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Interface {
    /// The product's own (docs/API.md).
    #[default]
    Native,
    /// The platform's (docs/PLATFORM.md).
    Platform,
}

/// `[gateway]`: the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for readiness, metrics and the dump.
    pub status_listen: SocketAddr,
    /// File descriptors that the process may use.
    pub descriptors_max: u64,
}

/// `[discovery]`: how replicas are found that no settings name.
///
/// A replica is named by its IP address; all use the same ports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoverySettings {
    /// Where operators reach some of the replicas.
    pub seeds: Vec<SocketAddr>,
    /// The port at which replicas take links.
    pub peer_port: u16,
    /// Whether the deployment starts for the first time, so that the seeds found the group.
    pub founds: bool,
}

/// `[bounds]`: what gateways and their control replicas keep to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundSettings {
    /// The period of instances' heartbeats.
    pub heartbeat_ms: u64,
    /// How long a process may take to stop.
    pub grace_ms: u64,
    /// The longest lifetime of a look-up answer.
    pub lookup_lifetime_ms: u64,
    /// Repeats for each request, in thousandths, over all gateways.
    pub retry_ratio_milli: u64,
    /// The span over which repeats are counted.
    pub retry_window_ms: u64,
    /// Repeats that a span allows besides the ratio, in thousandths, over all gateways.
    pub retry_slack_milli: u64,
    /// The largest share of a region's requests that may change region within two seconds, in
    /// thousandths.
    pub region_shift_max_milli: u64,
}

/// A line of `[replicas]`: one control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Its name.
    pub name: ReplicaName,
    /// Where the system's own processes reach it.
    pub peer_address: SocketAddr,
    /// Where operators reach it.
    pub http_address: SocketAddr,
}

/// `[log]`: logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// The form of a line.
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// The process can't go on.
    Critical,
    /// An operation failed.
    Error,
    /// Something needs an operator's look.
    Warning,
    /// A change of state.
    Info,
    /// Details for a developer.
    Debug,
    /// Every step.
    Trace,
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object a line.
    Json,
}
