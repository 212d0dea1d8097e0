//! A small deployment of the project's own programs, started with the commands of the deploy file.

use crate::http::{self, Message};
use std::{
    fs::{self, File},
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The longest wait for a condition.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// How long a call of an operator or upstream waits for its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

const CONTROL_PORT: u16 = 8649;
const LOOKUP_PORT: u16 = 8644;
const PEER_PORT: u16 = 7620;
const CLIENT_PORT: u16 = 8641;
const STATUS_PORT: u16 = 8640;

/// The host numbers of the control replicas.
pub const REPLICAS: [u8; 3] = [1, 2, 3];

/// The host number of the first gateway.
pub const GATEWAY: u8 = 11;

/// `memory_mb` of a gateway's machine.
pub const MEMORY_MB: u64 = 260;

/// What was sent, answered and run: written to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let elapsed_s = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        writeln!(file, "{elapsed_s:8.3} {text}").expect("the record can be written");
    }
}

/// Three control replicas and one gateway on a network of loopback addresses.
pub struct Deployment {
    network: [u8; 2],
    folder: PathBuf,
    daemons: Vec<(u8, Child)>,
    pub record: Record,
    /// What the settings give as `bounds.grace_s`.
    pub grace_s: u64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, daemon) in &mut self.daemons {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts the processes.
    pub fn start(record: Record) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            network: free_network()?,
            folder,
            daemons: Vec::new(),
            record,
            grace_s: 6,
        };
        for host in REPLICAS {
            deployment.start_daemon(host)?;
        }
        deployment.start_daemon(GATEWAY)?;
        Ok(deployment)
    }

    fn ip(&self, host: u8) -> IpAddr {
        let [second, third] = self.network;
        IpAddr::V4(Ipv4Addr::new(127, second, third, host))
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    /// Where a gateway takes clients' requests.
    pub fn client_address(&self, host: u8) -> SocketAddr {
        self.address(host, CLIENT_PORT)
    }

    /// An address for a stand-in.
    pub fn standin_address(&self, host: u8) -> SocketAddr {
        self.address(host, 8080)
    }

    /// Starts the program of a host, as the deploy file says.
    pub fn start_daemon(&mut self, host: u8) -> io::Result<()> {
        let is_replica = REPLICAS.contains(&host);
        let settings = self.write_settings(host, is_replica)?;
        let memory = format!("gateway.memory_mb={MEMORY_MB}");
        let own: &[&str] = match is_replica {
            true => &["--set", "discovery.replica_losses=1"],
            false => &["--set", &memory, "--set", "gateway.link_mbps=1000.0"],
        };
        let log = File::create(self.folder.join(format!("{host}.log")))?;
        let daemon = Command::new("target/release/oleanderwelld")
            .arg("--settings")
            .arg(settings)
            .args(own)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("host {host} started, process {}", daemon.id()));
        self.daemons.push((host, daemon));
        Ok(())
    }

    /// The log of a host's program.
    fn log(&self, host: u8) -> String {
        fs::read_to_string(self.folder.join(format!("{host}.log"))).unwrap_or_default()
    }

    /// The resident memory of a host's program, in KiB; 0 when it has ended.
    pub fn resident_kib(&self, host: u8) -> u64 {
        let daemon = self.daemons.iter().find(|(known, _)| *known == host);
        let process = daemon.map_or(0, |(_, daemon)| daemon.id());
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Kills the program of a host and waits for its end.
    pub fn kill(&mut self, host: u8) {
        for (_, daemon) in self.daemons.iter_mut().filter(|(known, _)| *known == host) {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
    }

    /// Fills in the template of a role's settings.
    fn write_settings(&self, host: u8, is_replica: bool) -> io::Result<PathBuf> {
        let template = match is_replica {
            true => "deploy/control.ini",
            false => "deploy/gateway.ini",
        };
        let seeds = REPLICAS.map(|it| self.address(it, CONTROL_PORT).to_string());
        let data = self.folder.join(format!("data-{host}"));
        let fields = [
            ("{{ip}}", self.ip(host).to_string()),
            ("{{region}}", "gauteng".to_owned()),
            ("{{zone}}", "jhb-a".to_owned()),
            ("{{#zones}}{{@}}{{,}}{{/zones}}", "jhb-a,jhb-b".to_owned()),
            (
                "{{#zones}}\n{{@}} = {{.}}\n{{/zones}}",
                "jhb-a = gauteng\njhb-b = gauteng".to_owned(),
            ),
            ("{{#seeds}}{{.}}{{,}}{{/seeds}}", seeds.join(",")),
            (
                "{{listen.control}}",
                self.address(host, CONTROL_PORT).to_string(),
            ),
            (
                "{{listen.directory}}",
                self.address(host, LOOKUP_PORT).to_string(),
            ),
            ("{{listen.front}}", self.client_address(host).to_string()),
            (
                "{{listen.ready}}",
                self.address(host, STATUS_PORT).to_string(),
            ),
            ("{{internal_port_range.0}}", PEER_PORT.to_string()),
            ("{{limits.max_fds}}", "4100".to_owned()),
            ("{{data_dir}}", data.display().to_string()),
            ("{{bootstrap}}", "true".to_owned()),
            ("{{heartbeat_s}}", "1.5".to_owned()),
            ("{{bounds.grace_s}}", self.grace_s.to_string()),
            ("{{bounds.ttl_max_s}}", "5".to_owned()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
            ("{{bounds.retry_budget_slack}}", "60".to_owned()),
            ("{{bounds.max_region_shift}}", "0.15".to_owned()),
        ];
        let mut text = fs::read_to_string(template)?;
        for (placeholder, value) in fields {
            text = text.replace(placeholder, &value);
        }
        // The fields that this deployment lacks have no value.
        while let Some((before, rest)) = text.split_once("{{") {
            let (_, after) = rest.split_once("}}").unwrap_or_default();
            text = format!("{before}{after}");
        }
        let path = self.folder.join(format!("{host}.ini"));
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Waits until the gateway knows so many upstreams.
    pub fn wait_for_upstreams(&self, count: usize) -> io::Result<()> {
        wait_for("the gateway to know its upstreams", || {
            let known = self.log(GATEWAY).matches("upstream changed").count();
            (known >= count).then_some(())
        })
    }

    /// Makes a call as operators and upstreams do: the next replica is tried after no answer or a 5xx,
    /// and redirections are followed twice.
    pub fn call(&self, query: &str, if_match: Option<&str>, body: &str) -> io::Result<Message> {
        let started = Instant::now();
        loop {
            for host in REPLICAS {
                let address = self.address(host, CONTROL_PORT);
                match call_at(address, query, if_match, body) {
                    Ok(answer) if answer.status() < 500 => {
                        let status = answer.status();
                        self.record.line(&format!("call {query} answered {status}"));
                        return Ok(answer);
                    }
                    _ => thread::sleep(Duration::from_millis(50)),
                }
            }
            if started.elapsed() > WAIT_MAX {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }

    /// Declares a manifest with the route `/order/` (unsafe) to the service `orders` and the route `/stock/`
    /// (safe) to the service `stockroom`.
    pub fn declare_manifest(&self) -> io::Result<()> {
        let route = |prefix: &str, kind: &str, service: &str| {
            format!(
                r#"{{"host":"shop.example","path_prefix":"{prefix}","kind":"{kind}","timeout_s":3,"target_latency_s":1,"priority":0,"service":"{service}","max_attempts":2,"sticky":false,"home_regions":[]}}"#
            )
        };
        let terms = r#"{"health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":2.9}"#;
        let body = format!(
            r#"{{"version":"r3","routes":{{"order":{},"stock":{}}},"services":{{"orders":{terms},"stockroom":{terms}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}"#,
            route("/order/", "unsafe", "orders"),
            route("/stock/", "safe", "stockroom"),
        );
        let answer = self.call("call=config.put", Some("0"), &body)?;
        match answer.status() {
            200 => Ok(()),
            status => Err(io::Error::other(format!("the manifest got {status}"))),
        }
    }
}

fn call_at(
    address: SocketAddr,
    query: &str,
    if_match: Option<&str>,
    body: &str,
) -> io::Result<Message> {
    let mut address = address;
    let if_match = if_match.map_or_else(String::new, |it| format!("if-match: {it}\r\n"));
    for _ in 0..3 {
        let request = format!(
            "POST /rpc?{query} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n{if_match}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = http::exchange(address, request.as_bytes(), CALL_TIMEOUT)?;
        if answer.status() != 307 {
            return Ok(answer);
        }
        let location = answer.field("location").unwrap_or_default();
        let authority = location.trim_start_matches("http://").split('/').next();
        address = authority
            .and_then(|it| it.parse().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
    }
    Err(io::ErrorKind::NotConnected.into())
}

/// The second and third part of loopback addresses that no other deployment uses.
fn free_network() -> io::Result<[u8; 2]> {
    let start = std::process::id();
    for offset in 0..2_000 {
        let number = (start + offset) % 40_000;
        let network = [(60 + number / 200) as u8, (number % 200) as u8];
        let ip = Ipv4Addr::new(127, network[0], network[1], REPLICAS[0]);
        if TcpListener::bind((ip, CONTROL_PORT)).is_ok() {
            return Ok(network);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Waits until `condition` returns a value.
fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        if let Some(found) = condition() {
            return Ok(found);
        }
        if started.elapsed() > WAIT_MAX {
            return Err(io::Error::other(format!("timed out waiting for {what}")));
        }
        thread::sleep(Duration::from_millis(20));
    }
}
