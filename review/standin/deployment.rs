//! The project's programs as separate processes, with the settings of a small deployment, and the
//! calls of the platform to them.

use crate::http::{Connection, Message};
use std::{
    collections::{BTreeMap, BTreeSet},
    error::Error,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// The hosts that run a control replica, where a case doesn't say otherwise.
pub const REPLICAS: [u8; 3] = [1, 2, 3];

/// Hosts up to this number run a control replica, the others a gateway.
const REPLICA_MAX: u8 = 9;

/// The hosts that run a gateway.
pub const GATEWAYS: [u8; 2] = [11, 12];

const CONTROL_PORT: u16 = 8649;
const LOOKUP_PORT: u16 = 8644;
const CLIENT_PORT: u16 = 8641;
const STATUS_PORT: u16 = 8640;
const PEER_PORT: u16 = 7620;

/// The longest wait for a step of the set-up.
const SETUP_TIMEOUT: Duration = Duration::from_secs(20);

/// The control replicas, as workers and operators call them.
#[derive(Clone)]
pub struct ControlCalls {
    addresses: Vec<SocketAddr>,
}

impl ControlCalls {
    /// Makes a call, at one replica after the other until one gives a clear answer, as the pages
    /// say. Returns the status.
    pub fn call(&self, call: &str, if_match: Option<&str>, body: &str) -> Option<u16> {
        let answers = self
            .addresses
            .iter()
            .map(|it| self.call_at(*it, call, if_match, body));
        let mut clear = answers.flatten().map(|answer| answer.status());
        clear.find(|status| *status != 307 && *status < 500)
    }

    /// Reads the manifest, at one replica after the other until one answers 200.
    pub fn read_manifest(&self) -> Option<String> {
        let answers = self
            .addresses
            .iter()
            .filter_map(|it| self.call_at(*it, "config.get", None, ""));
        let answer = answers.into_iter().find(|answer| answer.status() == 200)?;
        String::from_utf8(answer.body).ok()
    }

    /// Makes a call at one replica and follows 307 twice.
    fn call_at(
        &self,
        mut address: SocketAddr,
        call: &str,
        if_match: Option<&str>,
        body: &str,
    ) -> Option<Message> {
        let if_match = if_match.map_or(String::new(), |it| format!("If-Match: {it}\r\n"));
        for _ in 0..3 {
            let head = format!(
                "POST /rpc?call={call} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n{if_match}Connection: close\r\n"
            );
            let mut connection = Connection::open(address, Duration::from_secs(1)).ok()?;
            let answer = connection.exchange(&head, body.as_bytes()).ok()?;
            if answer.status() != 307 {
                return Some(answer);
            }
            let location = answer.header("location")?.strip_prefix("http://")?;
            address = location.split('/').next()?.parse().ok()?;
        }
        None
    }
}

/// Control replicas and gateways.
pub struct Deployment {
    network: u8,
    folder: PathBuf,
    /// The hosts that the operator's list of control replicas has.
    replicas: Vec<u8>,
    processes: BTreeMap<u8, Child>,
}

impl Deployment {
    /// Starts three control replicas and two gateways.
    pub fn start() -> Result<Self> {
        Self::start_hosts(&REPLICAS, &GATEWAYS)
    }

    /// Starts all processes for the first time, in a temporary folder and on free loopback
    /// addresses. The seeds are the first three control replicas.
    pub fn start_hosts(replicas: &[u8], gateways: &[u8]) -> Result<Self> {
        let network = free_network()?;
        let folder = std::env::temp_dir().join(format!(
            "oleanderwell-review-{}-{network}",
            std::process::id()
        ));
        fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            network,
            folder,
            replicas: replicas.to_vec(),
            processes: BTreeMap::new(),
        };
        for host in replicas.iter().chain(gateways) {
            deployment.write_settings(*host, true, &REPLICAS)?;
            deployment.start_process(*host)?;
        }
        Ok(deployment)
    }

    pub const fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 7, host)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }

    pub fn client_address(&self, host: u8) -> SocketAddr {
        self.address(host, CLIENT_PORT)
    }

    pub fn control(&self) -> ControlCalls {
        ControlCalls {
            addresses: self
                .replicas
                .iter()
                .map(|host| self.address(*host, CONTROL_PORT))
                .collect(),
        }
    }

    /// The hosts that run a control replica.
    pub fn replicas(&self) -> Vec<u8> {
        self.replicas.clone()
    }

    /// Starts a control replica on a host with an empty disk in place of another one, which is gone
    /// for good.
    pub fn replace_replica(&mut self, gone: u8, host: u8) -> Result<()> {
        self.replicas.retain(|it| *it != gone);
        self.replicas.push(host);
        self.restart(host)
    }

    /// Starts a process after the first start of the deployment.
    pub fn restart(&mut self, host: u8) -> Result<()> {
        let seeds: Vec<u8> = self.replicas.iter().copied().take(REPLICAS.len()).collect();
        self.write_settings(host, false, &seeds)?;
        self.start_process(host)
    }

    /// Empties the disk of a host whose process has ended.
    pub fn empty_disk(&self, host: u8) -> Result<()> {
        Ok(fs::remove_dir_all(self.data(host))?)
    }

    fn data(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Declares a manifest on top of a version; sends it again until it is accepted.
    pub fn declare(&self, based_on: &str, manifest: &str) -> Result<()> {
        let control = self.control();
        let declared = || control.call("config.put", Some(based_on), manifest) == Some(200);
        wait_for("the manifest to be accepted", declared)
    }

    /// Writes the settings of a host by the template of `deploy/`, as the platform does it.
    pub fn write_settings(&self, host: u8, is_first: bool, seeds: &[u8]) -> Result<()> {
        let template = match host <= REPLICA_MAX {
            true => "deploy/control.ini",
            false => "deploy/gateway.ini",
        };
        let mut text = fs::read_to_string(template)?;
        let seeds = seeds
            .iter()
            .map(|it| self.address(*it, CONTROL_PORT).to_string());
        let data = self.data(host);
        let fields = [
            (
                "{{#zones}}\n{{@}} = {{.}}\n{{/zones}}",
                "east-a = east\neast-b = east".to_owned(),
            ),
            ("{{#zones}}{{@}}{{,}}{{/zones}}", "east-a,east-b".to_owned()),
            (
                "{{#seeds}}{{.}}{{,}}{{/seeds}}",
                seeds.collect::<Vec<_>>().join(","),
            ),
            ("{{ip}}", self.ip(host).to_string()),
            ("{{region}}", "east".to_owned()),
            ("{{zone}}", "east-a".to_owned()),
            (
                "{{listen.control}}",
                self.address(host, CONTROL_PORT).to_string(),
            ),
            (
                "{{listen.directory}}",
                self.address(host, LOOKUP_PORT).to_string(),
            ),
            (
                "{{listen.front}}",
                self.address(host, CLIENT_PORT).to_string(),
            ),
            (
                "{{listen.ready}}",
                self.address(host, STATUS_PORT).to_string(),
            ),
            ("{{internal_port_range.0}}", PEER_PORT.to_string()),
            ("{{data_dir}}", data.display().to_string()),
            ("{{bootstrap}}", is_first.to_string()),
            ("{{limits.max_fds}}", "4100".to_owned()),
            ("{{heartbeat_s}}", "1.5".to_owned()),
            ("{{bounds.grace_s}}", "6".to_owned()),
            ("{{bounds.ttl_max_s}}", "5".to_owned()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
            ("{{bounds.retry_budget_slack}}", "60".to_owned()),
            ("{{bounds.max_region_shift}}", "0.15".to_owned()),
        ];
        for (placeholder, value) in fields {
            text = text.replace(placeholder, &value);
        }
        if text.contains("{{") {
            return Err(format!("{template} has a placeholder that is not known here").into());
        }
        let new = self.folder.join(format!("{host}.new"));
        fs::write(&new, text)?;
        Ok(fs::rename(new, self.settings(host))?)
    }

    fn settings(&self, host: u8) -> PathBuf {
        self.folder.join(format!("{host}.ini"))
    }

    /// Starts the program of a host with the command of the deploy file.
    pub fn start_process(&mut self, host: u8) -> Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{host}.log")))?;
        let process = Command::new("target/release/oleanderwelld")
            .arg("--settings")
            .arg(self.settings(host))
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.processes.insert(host, process);
        Ok(())
    }

    /// The resident memory of a process, in KiB; 0 when it has ended.
    pub fn resident_kib(&self, host: u8) -> u64 {
        let id = self.processes.get(&host).map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, host: u8) {
        if let Some(process) = self.processes.get_mut(&host) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A network of loopback addresses on which no replica listens.
fn free_network() -> Result<u8> {
    let first = std::process::id() % 200;
    for step in 0..200 {
        let network = 20 + u8::try_from((first + step) % 200)?;
        let hosts = (1..=REPLICA_MAX).chain(GATEWAYS);
        let is_free = |host: u8| {
            let ports = [
                CONTROL_PORT,
                LOOKUP_PORT,
                CLIENT_PORT,
                STATUS_PORT,
                PEER_PORT,
            ];
            let ip = Ipv4Addr::new(127, network, 7, host);
            ports
                .into_iter()
                .all(|port| TcpListener::bind((ip, port)).is_ok())
        };
        if hosts.into_iter().all(is_free) {
            return Ok(network);
        }
    }
    Err("no network of loopback addresses is free".into())
}

/// Waits until a condition of the set-up holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let end = Instant::now() + SETUP_TIMEOUT;
    while !holds() {
        if Instant::now() > end {
            return Err(format!("waited too long for {what}").into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// A manifest of this version with one route for each service: `/SERVICE/`, of this kind.
pub fn manifest(version: u32, routes: &[(&str, &str)]) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|(service, kind)| (*service, *service, *kind))
        .collect();
    manifest_of(version, &routes)
}

/// A manifest of this version with routes `(name, service, kind)`: `/NAME/` to the service.
pub fn manifest_of(version: u32, routes: &[(&str, &str, &str)]) -> String {
    let route = |(name, service, kind): &(&str, &str, &str)| {
        format!(
            r#""r-{name}":{{"host":"shop.example","path_prefix":"/{name}/","kind":"{kind}","timeout_s":10,"target_latency_s":2,"priority":1,"service":"{service}","max_attempts":2,"sticky":false,"home_regions":[]}}"#
        )
    };
    let service = |service: &&str| {
        format!(
            r#""{service}":{{"health_check":"/health","max_connections":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":16.0}}"#
        )
    };
    let routes_json: Vec<String> = routes.iter().map(route).collect();
    let services: BTreeSet<&str> = routes.iter().map(|(_, service, _)| *service).collect();
    let services_json: Vec<String> = services.iter().map(service).collect();
    format!(
        r#"{{"version":"r{version}","routes":{{{}}},"services":{{{}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}"#,
        routes_json.join(","),
        services_json.join(",")
    )
}
