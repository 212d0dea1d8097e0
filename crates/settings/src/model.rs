//! The checked settings as the daemon uses them, with a type for each section.

use locate::ClientBlocks;
use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, sync::Arc};
use strum::{Display, EnumString};
use types::{DomainName, RegionName, ReplicaName, ServiceName};

/// Everything that one settings file declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What this process runs, and where.
    pub node: NodeSettings,
    /// What all processes of the deployment share.
    pub deployment: DeploymentSettings,
    /// The entry, when the role has one.
    pub entry: Option<EntrySettings>,
    /// The control replica, when the role has one.
    pub control: Option<ControlSettings>,
    /// The gateway, when the role has one.
    pub gateway: Option<GatewaySettings>,
    /// Every control replica, in the order of the file; empty for a gateway or a
    /// control replica that has `discovery`.
    pub replicas: Vec<ReplicaSettings>,
    /// How control replicas are found when the file doesn't list them.
    pub discovery: Option<DiscoverySettings>,
    /// The limits for gateways and their control replicas; always present with either `gateway` or
    /// `discovery`.
    pub bounds: Option<BoundSettings>,
    /// The region of each failure domain, for gateways; empty without `[regions]`.
    pub regions: BTreeMap<DomainName, RegionName>,
    /// Limits on the connections of clients.
    pub limits: LimitSettings,
    /// What is logged, and how.
    pub log: LogSettings,
}

/// What a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Only an entry.
    Entry,
    /// Only a control replica.
    Control,
    /// An entry and a control replica in one process.
    Both,
    /// Only a gateway.
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

/// `[node]`: what this process runs, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Its name, valid as an entry's and a replica's name.
    pub name: String,
    /// What it runs.
    pub role: Role,
    /// The region of its VM.
    pub region: RegionName,
    /// The failure domain of its VM, one of the declared ones.
    pub failure_domain: DomainName,
    /// Whether one thread runs everything except writes to the disk.
    pub single_threaded: bool,
}

/// `[deployment]`: what all processes share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentSettings {
    /// The deployment's name; processes of other deployments are refused.
    pub name: String,
    /// The declared failure domains.
    pub failure_domains: Vec<DomainName>,
    /// The file of the link keys, one a line.
    pub key_file: PathBuf,
    /// The link keys: this process authenticates with the first and accepts all of them. Empty
    /// until [`Settings::read`] has read the file.
    pub keys: Vec<Vec<u8>>,
}

/// `[entry]`: the addresses, tokens and client blocks of the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Address for callers and upstreams.
    pub listen: SocketAddr,
    /// Address for the system's own processes.
    pub peer_listen: SocketAddr,
    /// The file of the announcement tokens; `None` when announcements need no token.
    pub announce_tokens_file: Option<PathBuf>,
    /// The announcement tokens. Empty until [`Settings::read`] has read the file.
    pub announce_tokens: Vec<AnnounceToken>,
    /// For how long a look-up answer may be used: from 1 to 3 600 000, by default 5 000.
    pub lookup_lifetime_ms: u64,
    /// The file of the client blocks, when they are declared.
    pub client_blocks_file: Option<PathBuf>,
    /// The client blocks. `None` until [`Settings::read`] has read the file.
    pub client_blocks: Option<Arc<ClientBlocks>>,
}

/// A line of the file of announcement tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnounceToken {
    /// The token, without whitespace.
    pub token: String,
    /// The services that it may announce.
    pub services: Vec<ServiceName>,
}

/// `[control]`: the addresses, data and tokens of the control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Address for operators.
    pub listen: SocketAddr,
    /// Address for the system's own processes.
    pub peer_listen: SocketAddr,
    /// The HTTP interface at `listen`.
    pub interface: Interface,
    /// A separate address for clients that look up gateways.
    pub lookup_listen: Option<SocketAddr>,
    /// The folder of the replica's stored data.
    pub data: PathBuf,
    /// The file of the operators' tokens, one a line; `None` when changes need no token.
    pub operator_tokens_file: Option<PathBuf>,
    /// The operators' tokens. Empty until [`Settings::read`] has read the file.
    pub operator_tokens: Vec<String>,
}

/// The HTTP interface that a process offers to callers, upstreams and operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Interface {
    /// The product's own (docs/API.md).
    #[default]
    Native,
    /// The platform's (docs/PLATFORM.md).
    Platform,
}

/// `[gateway]`: the addresses and limits of the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for readiness, metrics and the dump.
    pub status_listen: SocketAddr,
    /// File descriptors that the process may use.
    pub descriptors_max: u64,
    /// Memory that the process may use, of which bodies of requests get a part.
    pub memory_bytes: usize,
    /// The rate of the VM's link, if known: large bodies of requests are sent at a part of it.
    pub link_kbps: Option<u64>,
}

/// `[discovery]`: how control replicas are found that the settings don't list.
///
/// A replica's name is its IP address; all replicas use the same ports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoverySettings {
    /// Addresses for operators at some of the replicas.
    pub seeds: Vec<SocketAddr>,
    /// The port at which every replica accepts links.
    pub peer_port: u16,
    /// Whether the deployment starts for the first time, so that the seeds form the group's initial
    /// membership.
    pub is_first_start: bool,
    /// How many control replicas may lose their disks at the same time, from 1 to 9, by default 2.
    pub replica_losses: u8,
}

/// `[bounds]`: limits for gateways and their control replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundSettings {
    /// The period of instances' heartbeats.
    pub heartbeat_ms: u64,
    /// How long a process may take to stop.
    pub grace_ms: u64,
    /// The longest lifetime of a look-up answer.
    pub lookup_lifetime_ms: u64,
    /// Retries of a service that each of its requests allows, in thousandths, over all gateways;
    /// 200 is one retry for five requests.
    pub retry_ratio_milli: u64,
    /// The window over which retries are counted; each one allows `retry_slack_milli`.
    pub retry_window_ms: u64,
    /// Retries of a service that each window allows on top of the ratio, in thousandths, over all
    /// gateways.
    pub retry_slack_milli: u64,
    /// The largest fraction of a region's requests that may change region within two seconds, in
    /// thousandths.
    pub region_shift_max_milli: u64,
    /// How long after its withdrawal was confirmed a key may still work, in milliseconds, also at a
    /// gateway that is cut off; none when revocation isn't strict.
    pub revoke_ms: Option<u64>,
    /// The window over which a tenant's requests are counted.
    pub quota_window_ms: u64,
    /// By how much the requests of a tenant in a window may exceed its rate and burst, in thousandths,
    /// over all gateways.
    pub quota_overage_milli: u64,
    /// How many requests more than that may run in a window, in thousandths, over all gateways.
    pub quota_slack_milli: u64,
}

/// `[limits]`: limits on the connections of clients, for each listener that takes HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The least buffer of a connection for the head of a request, in bytes.
    pub head_buffer_bytes: usize,
    /// The most fields of a head.
    pub head_fields_max: usize,
    /// How long a head may take, where no plan declares it, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a client may take nothing of an answer, in milliseconds.
    pub stall_timeout_ms: u64,
    /// Memory for the connections of all listeners of a role, in bytes.
    pub connections_memory_bytes: usize,
    /// The part of a listener's connections that one address may hold, in hundredths.
    pub address_percent: u8,
}

/// A line of `[replicas]`: one control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Its name, the key of the line.
    pub name: ReplicaName,
    /// Its address for the system's own processes.
    pub peer_address: SocketAddr,
    /// Its address for operators.
    pub http_address: SocketAddr,
}

/// `[log]`: what is logged, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// The format of each line.
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
    /// Something that an operator should look into.
    Warning,
    /// A change of state.
    Info,
    /// Details for a developer.
    Debug,
    /// The most detailed level.
    Trace,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object a line.
    Json,
}
