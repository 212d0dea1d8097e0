//! Parts that the cases of the third review share: a small deployment of the project's programs on
//! loopback addresses, and stand-ins for clients, workers and the operator. Standard library only.

// Each case uses a part of this module.
#![allow(dead_code)]

use std::{
    fs::{self, File},
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const REPLICAS: [u8; 5] = [1, 2, 3, 4, 5];
pub const GATEWAY: u8 = 11;

pub type Result<T> = std::result::Result<T, String>;

/// What was sent, answered and run, with times in seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Result<Self> {
        let file = File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{:9.3} {}", self.now_s(), text.as_ref());
    }
}

/// Ports of a deployment, the same on every host, and its network `127.a.b.0`.
#[derive(Clone, Copy)]
pub struct Network {
    pub a: u8,
    pub b: u8,
    pub port: u16,
}

impl Network {
    /// A network and ports on which nothing listens.
    pub fn find() -> Result<Self> {
        let seed = u64::from(std::process::id()) ^ unix_ms();
        for step in 0..200_u64 {
            let mixed = (seed + step).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20;
            let network = Self {
                a: 40 + (mixed % 180) as u8,
                b: 10 + (mixed / 180 % 200) as u8,
                port: 20_000 + (mixed / 36_000 % 900) as u16 * 10,
            };
            let hosts = REPLICAS.iter().chain(&[GATEWAY, GATEWAY + 1]);
            let is_free = |host: &u8| {
                (0..6).all(|port| TcpListener::bind(network.address(*host, port)).is_ok())
            };
            if hosts.clone().all(is_free) {
                return Ok(network);
            }
        }
        Err("no loopback network with free ports".to_owned())
    }

    pub fn ip(&self, host: u8) -> String {
        format!("127.{}.{}.{host}", self.a, self.b)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let text = format!("{}:{}", self.ip(host), self.port + port);
        text.parse().expect("a valid address")
    }

    pub fn control(&self, host: u8) -> SocketAddr {
        self.address(host, 0)
    }

    pub fn directory(&self, host: u8) -> SocketAddr {
        self.address(host, 1)
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        self.address(host, 2)
    }

    pub fn ready(&self, host: u8) -> SocketAddr {
        self.address(host, 3)
    }
}

/// The project's processes. All are killed when it is dropped.
pub struct Deployment {
    pub network: Network,
    folder: PathBuf,
    record: Record,
    /// Values of placeholders of the settings' templates beyond the usual ones.
    values: Vec<(&'static str, String)>,
    children: Vec<(u8, Child)>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts five control replicas, of which the first three are the seeds, and one gateway.
    pub fn start(record: &Record, values: &[(&'static str, &str)]) -> Result<Self> {
        let network = Network::find()?;
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut deployment = Self {
            network,
            folder,
            record: record.clone(),
            values: values
                .iter()
                .map(|(name, value)| (*name, (*value).to_owned()))
                .collect(),
            children: Vec::new(),
        };
        for host in REPLICAS {
            deployment.start_process(host, true)?;
        }
        deployment.start_process(GATEWAY, true)?;
        Ok(deployment)
    }

    pub fn data_folder(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Starts the process of a host with the command and the template of the deploy file.
    pub fn start_process(&mut self, host: u8, bootstrap: bool) -> Result<()> {
        let is_gateway = host >= GATEWAY;
        let template = match is_gateway {
            true => "deploy/gateway.ini",
            false => "deploy/control.ini",
        };
        let settings = self.folder.join(format!("{host}.ini"));
        let text = fs::read_to_string(template).map_err(|error| format!("{template}: {error}"))?;
        let text = self.fill_in(&text, host, bootstrap);
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{host}.log")))
            .map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/oleanderwelld");
        command.arg("--settings").arg(&settings);
        match is_gateway {
            true => command.args([
                "--set",
                &format!(
                    "gateway.memory_mb={}",
                    self.value("limits.memory_mb", "260")
                ),
                "--set",
                &format!(
                    "gateway.link_mbps={}",
                    self.value("limits.link_mbps", "1000")
                ),
            ]),
            false => command.args(["--set", "discovery.replica_losses=2"]),
        };
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("target/release/oleanderwelld: {error}"))?;
        self.record
            .line(format!("process of host {host} started, id {}", child.id()));
        self.children.push((host, child));
        Ok(())
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&mut self, host: u8, name: &str) -> Result<()> {
        let child = self.children.iter().find(|(it, _)| *it == host);
        let (_, child) = child.ok_or("no such process")?;
        self.record.line(format!("SIG{name} to host {host}"));
        let status = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", child.id())])
            .status()
            .map_err(|error| error.to_string())?;
        status
            .success()
            .then_some(())
            .ok_or(format!("kill -{name} failed"))
    }

    /// The ID of the process of a host.
    pub fn process_id(&self, host: u8) -> Option<u32> {
        let child = self.children.iter().find(|(it, _)| *it == host);
        child.map(|(_, child)| child.id())
    }

    /// Kills the process of a host and waits for its end.
    pub fn kill(&mut self, host: u8) {
        if let Some(index) = self.children.iter().position(|(it, _)| *it == host) {
            let (_, mut child) = self.children.remove(index);
            self.record.line(format!("SIGKILL to host {host}"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn value<'a>(&'a self, name: &str, usual: &'a str) -> &'a str {
        let given = self.values.iter().find(|(it, _)| *it == name);
        given.map_or(usual, |(_, value)| value)
    }

    fn fill_in(&self, template: &str, host: u8, bootstrap: bool) -> String {
        let network = &self.network;
        let seeds: Vec<String> = REPLICAS[..3]
            .iter()
            .map(|seed| network.control(*seed).to_string())
            .collect();
        let data = self.data_folder(host).display().to_string();
        let zones = ["jhb-a", "dbn-a", "cpt-a", "jhb-b", "dbn-b", "cpt-b"];
        let regions = [
            "gauteng",
            "kwazulu-natal",
            "western-cape",
            "gauteng",
            "kwazulu-natal",
            "western-cape",
        ];
        let zone = if host >= GATEWAY {
            0
        } else {
            usize::from(host - 1)
        };
        let table: Vec<String> = zones
            .iter()
            .zip(regions)
            .map(|(zone, region)| format!("{zone} = {region}"))
            .collect();
        let mut text = template.to_owned();
        let mut replace = |from: &str, to: &str| text = text.replace(from, to);
        for (name, value) in &self.values {
            replace(&format!("{{{{{name}}}}}"), value);
        }
        replace("{{#zones}}{{@}}{{,}}{{/zones}}", &zones.join(","));
        replace("{{#zones}}\n{{@}} = {{.}}\n{{/zones}}", &table.join("\n"));
        replace("{{#seeds}}{{.}}{{,}}{{/seeds}}", &seeds.join(","));
        replace("{{ip}}", &network.ip(host));
        replace("{{region}}", regions[zone]);
        replace("{{zone}}", zones[zone]);
        replace("{{listen.control}}", &network.control(host).to_string());
        replace("{{listen.directory}}", &network.directory(host).to_string());
        replace("{{listen.front}}", &network.front(host).to_string());
        replace("{{listen.ready}}", &network.ready(host).to_string());
        replace("{{internal_port_range.0}}", &(network.port + 4).to_string());
        replace("{{limits.max_fds}}", "4100");
        replace("{{data_dir}}", &data);
        replace("{{bootstrap}}", &bootstrap.to_string());
        for (name, value) in [
            ("heartbeat_s", "1.5"),
            ("bounds.grace_s", "6"),
            ("bounds.ttl_max_s", "5"),
            ("bounds.retry_budget_ratio", "0.2"),
            ("bounds.budget_window_s", "10"),
            ("bounds.retry_budget_slack", "60"),
            ("bounds.max_region_shift", "0.15"),
        ] {
            replace(&format!("{{{{{name}}}}}"), value);
        }
        // The platform gives nothing for a placeholder without a value.
        without_placeholders(&text)
    }

    /// Calls the control interface as workers and operators do: follows redirections, and goes on to
    /// another daemon after a failure, a server error or a second without a response.
    pub fn call(&self, target: &str, if_match: Option<&str>, body: &str) -> Result<Answer> {
        let deadline = Instant::now() + Duration::from_secs(15);
        let mut last = "no daemon answered".to_owned();
        while Instant::now() < deadline {
            for host in REPLICAS {
                match self.call_once(self.network.control(host), target, if_match, body) {
                    Ok(answer) if answer.status < 500 => return Ok(answer),
                    Ok(answer) => last = format!("status {}", answer.status),
                    Err(error) => last = error.to_string(),
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{target}: {last}"))
    }

    /// One call to one daemon, with up to two redirections.
    pub fn call_once(
        &self,
        address: SocketAddr,
        target: &str,
        if_match: Option<&str>,
        body: &str,
    ) -> io::Result<Answer> {
        let (mut address, mut target) = (address, target.to_owned());
        for _ in 0..3 {
            let if_match = if_match.map(|it| format!("If-Match: {it}\r\n"));
            let request = format!(
                "POST {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
                 Content-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{body}",
                body.len(),
                if_match.unwrap_or_default()
            );
            let answer = exchange(address, request.as_bytes(), Duration::from_secs(1))?;
            let Some(location) = answer.header("location").filter(|_| answer.status == 307) else {
                return Ok(answer);
            };
            let rest = location.strip_prefix("http://").unwrap_or(location);
            let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
            address = host
                .parse()
                .map_err(|_| io::Error::other("a redirection without an address"))?;
            target = format!("/{path}");
        }
        Err(io::Error::other("too many redirections"))
    }

    /// Waits until a gateway answers `GET /ready` with 200.
    pub fn wait_ready(&self, host: u8) -> Result<()> {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            let answer = exchange(self.network.ready(host), request, Duration::from_secs(1));
            if answer.is_ok_and(|it| it.status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the gateway does not become ready".to_owned())
    }
}

fn without_placeholders(text: &str) -> String {
    let mut rest = text;
    let mut clean = String::new();
    while let Some(start) = rest.find("{{") {
        clean.push_str(&rest[..start]);
        rest = rest[start..]
            .find("}}")
            .map_or("", |end| &rest[start + end + 2..]);
    }
    clean + rest
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a connection of its own and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let answer = read_answer(&mut stream);
    let _ = stream.shutdown(Shutdown::Both);
    answer
}

/// Reads one answer; the body must have a length, come in chunks or end with the connection.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut reader = Reader::new(stream);
    let (line, headers) = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("not an answer"))?;
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
    };
    answer.body = match (
        answer.header("content-length"),
        answer.header("transfer-encoding"),
    ) {
        (Some(length), _) => reader.exact(length.parse().unwrap_or(0))?,
        (None, Some(_)) => reader.chunks()?,
        (None, None) if status == 204 => Vec::new(),
        (None, None) => reader.rest()?,
    };
    Ok(answer)
}

/// Reads HTTP messages from a connection.
pub struct Reader<'a> {
    stream: &'a mut TcpStream,
    buffer: Vec<u8>,
}

pub type Head = (String, Vec<(String, String)>);

impl<'a> Reader<'a> {
    pub fn new(stream: &'a mut TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn more(&mut self) -> io::Result<bool> {
        let mut part = [0; 16_384];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length > 0)
    }

    /// The first line and the headers, with names in lower case; none at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if !self.more()? {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let headers = fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
        Ok(Some((first, headers.collect())))
    }

    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads and throws away as many bytes.
    pub fn skip(&mut self, length: usize) -> io::Result<()> {
        let mut left = length;
        loop {
            let part = left.min(self.buffer.len());
            self.buffer.drain(..part);
            left -= part;
            if left == 0 {
                return Ok(());
            }
            if !self.more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match find(&self.buffer, b"\r\n") {
                    Some(end) => break end,
                    None if !self.more()? => return Err(io::ErrorKind::UnexpectedEof.into()),
                    None => {}
                }
            };
            let size = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(io::Error::other)?;
            self.buffer.drain(..end + 2);
            body.extend(self.exact(size)?);
            self.exact(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn rest(&mut self) -> io::Result<Vec<u8>> {
        while self.more()? {}
        Ok(std::mem::take(&mut self.buffer))
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|it| it == pattern)
}

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub first_line: String,
    pub tenant: Option<String>,
    pub key: Option<String>,
    /// In seconds since the start of the case.
    pub arrived_s: f64,
    /// When the worker stopped working at it, because it was done or its connection closed.
    pub ended_s: Option<f64>,
}

/// A sound worker: it runs each request for a fixed time, at most `slots` at once and the others in a
/// queue, drops a request whose connection closes, and sends heartbeats.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// The length of its answers' bodies, in bytes.
    answer_bytes: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    born: u64,
}

impl Worker {
    pub fn start(record: &Record, id: &str, ip: &str, slots: u64, work: Duration) -> Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let worker = Self {
            id: id.to_owned(),
            address,
            runs: Arc::default(),
            answer_bytes: Arc::new(AtomicU64::new(100)),
            sequence: Arc::new(AtomicU64::new(1)),
            born: unix_ms(),
        };
        let server = Server {
            id: worker.id.clone(),
            slots,
            work,
            running: Arc::default(),
            runs: Arc::clone(&worker.runs),
            answer_bytes: Arc::clone(&worker.answer_bytes),
            record: record.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(worker)
    }

    /// The same worker, whose answers have bodies of this length.
    pub fn with_answers_of(self, bytes: usize) -> Self {
        self.answer_bytes.store(bytes as u64, Ordering::Relaxed);
        self
    }

    pub fn heartbeat(&self, service: &str, zone: &str, slots: u64, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_s\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.address, self.born
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panics").clone()
    }
}

#[derive(Clone)]
struct Server {
    id: String,
    slots: u64,
    work: Duration,
    running: Arc<AtomicU64>,
    runs: Arc<Mutex<Vec<Run>>>,
    answer_bytes: Arc<AtomicU64>,
    record: Record,
}

impl Server {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut watched = stream.try_clone()?;
        let mut reader = Reader::new(&mut stream);
        loop {
            let Some((first_line, headers)) = reader.head()? else {
                return Ok(());
            };
            let header = |name: &str| {
                let found = headers.iter().find(|(it, _)| it == name);
                found.map(|(_, value)| value.clone())
            };
            let length = header("content-length").and_then(|it| it.parse().ok());
            reader.exact(length.unwrap_or(0))?;
            let attempt = header("x-attempt-id").unwrap_or_default();
            if header("x-expect-instance").is_some_and(|it| it != self.id) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n\
                     X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                watched.write_all(head.as_bytes())?;
                continue;
            }
            let run = Run {
                attempt: attempt.clone(),
                first_line,
                tenant: header("x-tenant"),
                key: header("authorization"),
                arrived_s: self.record.now_s(),
                ended_s: None,
            };
            self.record.line(format!(
                "worker {} gets {attempt}: {}",
                self.id, run.first_line
            ));
            let index = {
                let mut runs = self.runs.lock().expect("no holder panics");
                runs.push(run);
                runs.len() - 1
            };
            let is_whole = self.run(&watched);
            let ended_s = self.record.now_s();
            self.runs.lock().expect("no holder panics")[index].ended_s = Some(ended_s);
            if !is_whole {
                self.record.line(format!(
                    "worker {} drops {attempt}: its connection closed",
                    self.id
                ));
                return Ok(());
            }
            self.record
                .line(format!("worker {} has run {attempt}", self.id));
            let running = self.running.load(Ordering::Relaxed).min(self.slots);
            let length = self.answer_bytes.load(Ordering::Relaxed) as usize;
            let body = format!("{} ran {attempt} ", self.id);
            let body = body.clone() + &"x".repeat(length.saturating_sub(body.len()));
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: signed\r\n\
                 X-Server-Load: {running},0,{}\r\nContent-Length: {}\r\n\r\n{body}",
                self.slots,
                body.len()
            );
            watched.write_all(head.as_bytes())?;
        }
    }

    /// Waits for a slot and works. Returns false when the connection closed before the end.
    fn run(&self, stream: &TcpStream) -> bool {
        let step = Duration::from_millis(5);
        while self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            if is_closed(stream) {
                return false;
            }
            thread::sleep(step);
        }
        let end = Instant::now() + self.work;
        let mut is_whole = true;
        while is_whole && Instant::now() < end {
            thread::sleep(step.min(end.saturating_duration_since(Instant::now())));
            is_whole = !is_closed(stream);
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        is_whole
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis() as u64)
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
