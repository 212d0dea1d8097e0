//! A planned stop of a gateway while clients that sent requests ahead read their answers slowly.

use crate::deployment::{Deployment, GATEWAY, Record, Result, Worker, has_trouble};
use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Clients that send [`AHEAD`] requests without waiting, and clients that send one; all read slowly.
const CLIENTS: usize = 12;
const AHEAD: usize = 3;

/// The pause of a client between two requests that it sends ahead.
const GAP: Duration = Duration::from_millis(20);

/// A client takes this much of an answer in each [`READ_EVERY`]: 200 kB/s, less than the link of the
/// gateway carries.
const READ_BYTES: usize = 2_048;
const READ_EVERY: Duration = Duration::from_millis(10);

/// The receive buffer of a client, in bytes.
const WINDOW_BYTES: i32 = 4_096;

/// The work and the largest answer of `live-frame-read`, and its time budget.
const WORK: Duration = Duration::from_millis(370);
const ANSWER_BYTES: usize = 30_000;
const BUDGET: Duration = Duration::from_secs(2);

/// When SIGTERM comes, after the clients began to send: their first requests are at workers then.
const STOP_AFTER: Duration = Duration::from_millis(200);

const MANIFEST: &str = r#"{"version":"r1","routes":{"r-1":{"host":"belt.example","path_prefix":"/live/","kind":"safe","timeout_s":2,"target_latency_s":0.3,"priority":1,"service":"belt-view","max_attempts":2,"sticky":false,"home_regions":[]}},"services":{"belt-view":{"health_check":"/health","max_connections":2260,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":16.0}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

// The standard library can't set the receive buffer before it connects.
unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddressV4, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// `struct sockaddr_in`; port and address in network byte order.
#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

/// A connection with a small receive buffer, as of a client that reads slowly.
fn connect_with_window(address: SocketAddr, window_bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let target = SocketAddressV4 {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is owned by the stream from its creation on, and the pointers are to values
    // that live through the calls, with their lengths.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window_bytes, 4) != 0
            || connect(descriptor, &target, size_of::<SocketAddressV4>() as u32) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// How the answers on a client's connection ended.
#[derive(Clone, Debug, Default)]
struct Received {
    complete: usize,
    /// Bytes of an answer that began and did not end.
    rest_bytes: usize,
    end: String,
}

pub fn run(record: &Record) -> Result<bool> {
    let values = [("limits.memory_mb", "112"), ("limits.link_mbps", "2.6")];
    let mut deployment = Deployment::start(record, &values)?;
    deployment.call("/rpc?call=config.put", Some("0"), MANIFEST)?;
    let ip = deployment.network.ip(21);
    let workers = (0..24)
        .map(|index| {
            let worker = Worker::start(record, &format!("i-{index}"), &ip, 6, WORK)?;
            Ok(worker.with_answers_of(ANSWER_BYTES))
        })
        .collect::<Result<Vec<_>>>()?;
    let heartbeats = || -> Result<()> {
        for worker in &workers {
            let target = format!("/rpc?call=instances.heartbeat&of={}", worker.id);
            let body = worker.heartbeat("belt-view", "jhb-a", 6, "ready");
            deployment.call(&target, None, &body)?;
        }
        Ok(())
    };
    heartbeats()?;
    deployment.wait_ready(GATEWAY)?;
    // Calm for longer than the stable window of 4 s.
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(1_200));
        heartbeats()?;
    }
    let front = deployment.network.front(GATEWAY);
    let received: Arc<Mutex<BTreeMap<String, Received>>> = Arc::default();
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|client| {
            let requests = if client < CLIENTS { AHEAD } else { 1 };
            let (record, received) = (record.clone(), Arc::clone(&received));
            thread::spawn(move || {
                let ended = ask(&record, front, client, requests);
                let ended = ended.unwrap_or_else(|error| Received {
                    end: error.to_string(),
                    ..Received::default()
                });
                record.line(format!(
                    "client {client}: {} complete answers, {} bytes of one more, then {}",
                    ended.complete, ended.rest_bytes, ended.end
                ));
                let mut received = received.lock().expect("no holder panics");
                received.insert(format!("c{client}"), ended);
            })
        })
        .collect();
    thread::sleep(STOP_AFTER);
    if has_trouble() {
        deployment.signal(GATEWAY, "TERM")?;
    }
    for client in clients {
        let _ = client.join();
    }
    let received = received.lock().expect("no holder panics").clone();
    let mut lost = 0;
    for run in workers.iter().flat_map(Worker::runs) {
        let (client, position) = run.attempt.split_once('-').unwrap_or_default();
        let position: usize = position.parse().unwrap_or(0);
        let answered = received.get(client).map_or(0, |it| it.complete);
        if position >= answered {
            record.line(format!(
                "{} was passed on to a worker, and its client has no complete answer",
                run.attempt
            ));
            lost += 1;
        }
    }
    record.line(format!("{lost} requests were passed on and cut"));
    Ok(lost == 0)
}

/// Sends requests without waiting, and reads the answers slowly until there are as many, the time
/// budget is over or the connection ends.
fn ask(record: &Record, front: SocketAddr, client: usize, requests: usize) -> io::Result<Received> {
    let mut stream = connect_with_window(front, WINDOW_BYTES)?;
    stream.set_nodelay(true)?;
    let started = Instant::now();
    for request in 0..requests {
        let attempt = format!("c{client}-{request}");
        record.line(format!("client {client} sends {attempt}"));
        let text = format!(
            "GET /live/{request} HTTP/1.1\r\nHost: belt.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: {}\r\n\r\n",
            BUDGET.as_millis()
        );
        stream.write_all(text.as_bytes())?;
        thread::sleep(GAP);
    }
    stream.set_read_timeout(Some(BUDGET))?;
    let mut bytes = Vec::new();
    let mut received = Received {
        end: "nothing more is due".to_owned(),
        ..Received::default()
    };
    let mut part = [0; READ_BYTES];
    while received.complete < requests {
        if started.elapsed() > BUDGET * 2 {
            received.end = "the time budget is over".to_owned();
            break;
        }
        match stream.read(&mut part) {
            Ok(0) => {
                received.end = "the connection closes".to_owned();
                break;
            }
            Ok(length) => bytes.extend_from_slice(&part[..length]),
            Err(error) => {
                received.end = error.to_string();
                break;
            }
        }
        while let Some(length) = complete_answer(&bytes) {
            bytes.drain(..length);
            received.complete += 1;
        }
        thread::sleep(READ_EVERY);
    }
    received.rest_bytes = bytes.len();
    Ok(received)
}

/// The length of the answer at the beginning of `bytes`, if all of it is there.
fn complete_answer(bytes: &[u8]) -> Option<usize> {
    let head = bytes.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
    let length = text.split("content-length:").nth(1)?;
    let length: usize = length.split("\r\n").next()?.trim().parse().ok()?;
    (bytes.len() >= head + length).then_some(head + length)
}
