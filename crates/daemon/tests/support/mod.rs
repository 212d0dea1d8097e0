//! A daemon with an entry and a control replica, run as a process, and simulated callers and
//! upstreams that read and write raw HTTP.

use std::{
    fs,
    io::{self, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;

/// Time limit of each wait and each read.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a condition is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon with one region and two services, `browse` (idempotent) and `payout`. It is
/// killed when dropped.
pub struct Daemon {
    _folder: TempDir,
    child: Child,
    pub entry: SocketAddr,
    pub control: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Creates the data folder, starts the daemon, declares the resources, and waits until the
    /// entry is ready.
    pub fn start() -> Self {
        let folder = tempfile::tempdir().expect("scratch folder");
        let ports = unused_addresses();
        fs::create_dir(folder.path().join("data")).expect("data folder");
        fs::write(folder.path().join("key"), "k".repeat(32)).expect("key file");
        let path = folder.path().join("vm.ini");
        fs::write(&path, settings(folder.path(), &ports)).expect("settings");
        let binary = env!("CARGO_BIN_EXE_oleanderwelld");
        let created = Command::new(binary)
            .arg("--settings")
            .arg(&path)
            .arg("--found")
            .status();
        assert!(created.expect("the daemon ran").success());
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let daemon = Self {
            _folder: folder,
            child,
            entry: ports[0],
            control: ports[2],
        };
        daemon.declare(ports[0], ports[1]);
        wait("the entry accepts requests", || {
            exchange(daemon.entry, &get("/ready")).is_ok_and(|answer| status(&answer) == 200)
        });
        daemon
    }

    fn declare(&self, entry: SocketAddr, peer: SocketAddr) {
        let body = declarations(entry, peer);
        let request = with_body("POST", "/v1/apply", "", &body);
        wait("the declarations are accepted", || {
            exchange(self.control, &request).is_ok_and(|answer| status(&answer) == 200)
        });
    }

    /// Announces an upstream of `service` every 300 ms until the returned value is dropped.
    pub fn announce(&self, service: &str, upstream: SocketAddr) -> Announcing {
        let body = format!(
            r#"{{"service":"{service}","address":"{upstream}","region":"r","failure_domain":"d",
            "slots":1,"connections":9,"load":0,"state":"ready","epoch_ms":1,"sequence":SEQUENCE}}"#
        );
        let path = format!("/v1/upstreams/{service}-1");
        let (stop, stopped) = std::sync::mpsc::channel::<()>();
        let entry = self.entry;
        let announce = move || {
            for sequence in 1.. {
                let body = body.replace("SEQUENCE", &sequence.to_string());
                let _ = exchange(entry, &with_body("PUT", &path, "", &body));
                if stopped.recv_timeout(Duration::from_millis(300))
                    != Err(std::sync::mpsc::RecvTimeoutError::Timeout)
                {
                    return;
                }
            }
        };
        Announcing {
            _stop: stop,
            _thread: thread::spawn(announce),
        }
    }

    /// The state of the entry's core, as an HTTP response.
    pub fn dump(&self) -> String {
        let answer = exchange(self.entry, &get("/dump")).expect("a dump");
        String::from_utf8_lossy(&answer).into_owned()
    }
}

/// Repeats an announcement until it is dropped.
pub struct Announcing {
    _stop: std::sync::mpsc::Sender<()>,
    _thread: thread::JoinHandle<()>,
}

/// Waits until a condition holds; fails with `what` after [`WAIT_TIMEOUT`].
pub fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a request on a new connection and reads until the connection ends.
pub fn exchange(address: SocketAddr, request: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Ok(_) => Ok(answer),
        // A caller sees the bytes that arrived before the connection broke.
        Err(_) if !answer.is_empty() => Ok(answer),
        Err(error) => Err(error),
    }
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
}

pub fn with_body(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn status(answer: &[u8]) -> u16 {
    let line = answer.get(9..12).unwrap_or_default();
    std::str::from_utf8(line)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// The value of a header of an answer; empty when there is none.
pub fn header(answer: &[u8], name: &str) -> String {
    let text = String::from_utf8_lossy(answer).into_owned();
    let head = text.split("\r\n\r\n").next().unwrap_or_default().to_owned();
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.to_owned()).unwrap_or_default()
}

/// The body of an answer; `None` when it is incomplete by its `content-length` or chunks.
pub fn whole_body(answer: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(answer).into_owned();
    let (_, body) = text.split_once("\r\n\r\n")?;
    if header(answer, "transfer-encoding") == "chunked" {
        let (chunks, _) = body.split_once("\r\n0\r\n\r\n")?;
        return Some(chunks.lines().skip(1).step_by(2).collect());
    }
    let length: usize = header(answer, "content-length").parse().ok()?;
    (body.len() == length).then(|| body.to_owned())
}

/// A listener in place of an upstream; the test reads requests and writes answers itself.
pub struct Upstream {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl Upstream {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        Self { listener, address }
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a timeout");
        stream
    }

    /// Whether another connection was opened; accepts it.
    pub fn has_connection(&self) -> bool {
        self.listener.set_nonblocking(true).expect("non-blocking");
        let accepted = self.listener.accept().is_ok();
        self.listener.set_nonblocking(false).expect("blocking");
        accepted
    }
}

/// Reads the head of a request; `None` when the connection ends before its end.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            Ok(_) | Err(_) => return None,
        }
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Writes a complete answer of status 200.
pub fn answer(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    stream
        .write_all(answer.as_bytes())
        .expect("the answer is written");
}

/// Four addresses for one test: the loopback IP address depends on the process ID and on a number
/// per test. Their ports lie below those that outgoing connections take.
fn unused_addresses() -> [SocketAddr; 4] {
    static NEXT_TEST: AtomicU8 = AtomicU8::new(0);
    let process = 70 + u8::try_from(std::process::id() % 100).unwrap_or(0);
    let test = NEXT_TEST.fetch_add(1, Ordering::Relaxed);
    let ip = IpAddr::from([127, process, test, 1]);
    [8_080, 7_080, 8_090, 7_090].map(|port| SocketAddr::new(ip, port))
}

fn settings(folder: &std::path::Path, ports: &[SocketAddr]) -> String {
    let [listen, peer, control, control_peer] = ports else {
        panic!("four addresses");
    };
    let folder = folder.display();
    format!(
        "[node]\nname = vm-1\nrole = both\nregion = r\nfailure_domain = d\n\
         [deployment]\nname = test\nfailure_domains = d\nkey_file = {folder}/key\n\
         [entry]\nlisten = {listen}\npeer_listen = {peer}\nlookup_lifetime_ms = 1000\n\
         [control]\nlisten = {control}\npeer_listen = {control_peer}\ndata = {folder}/data\n\
         [replicas]\nvm-1 = {control_peer} {control}\n"
    )
}

fn declarations(entry: SocketAddr, peer: SocketAddr) -> String {
    let service = |name: &str, idempotent: bool| {
        format!(
            r#"{{"kind":"service","name":"{name}","spec":{{"regions":["r"],
            "idempotent":{idempotent},"priority":"critical","deadline_ms":1500,
            "answer_bytes":100}}}}"#
        )
    };
    format!(
        r#"{{"request_id":"declare","prune":false,"dry_run":false,"changes":[
        {{"kind":"region","name":"r","spec":{{"capacity_slots":9,"failure_domains":["d"]}}}},
        {{"kind":"entry","name":"vm-1","spec":{{"region":"r","failure_domain":"d",
        "address":"{entry}","peer_address":"{peer}"}}}},
        {},{}]}}"#,
        service("browse", true),
        service("payout", false),
    )
}
