//! A stand-in upstream: it runs requests and records each run.

use crate::{
    deployment::{Deployment, Record},
    http::{Connection, Message},
};
use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// How long a run takes.
const WORK: Duration = Duration::from_millis(50);

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// What an upstream answers to a request that it has run.
pub enum Reply {
    /// A whole success.
    Success,
    /// A failure with this status, without `X-Not-Executed` since the request has run.
    Failure(u16),
    /// These bytes, which belong to no request, and then a whole success.
    Preceded(&'static str),
}

/// Decides on the answer to a request.
pub type Behaviour = Arc<dyn Fn(&Request<'_>) -> Reply + Send + Sync>;

/// A request that an upstream has run.
pub struct Request<'a> {
    /// The value of `X-Attempt-Id`.
    pub attempt: &'a str,
    /// Its position on its connection, from 0.
    pub position: u64,
}

/// The runs of all upstreams, in their order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A run of a request.
pub struct Run {
    /// The upstream.
    pub worker: String,
    /// The value of `X-Attempt-Id`.
    pub attempt: String,
}

/// An upstream.
#[derive(Clone)]
pub struct Worker {
    id: String,
    service: &'static str,
    address: SocketAddr,
    slots: u32,
    born_ms: u128,
    sequence: Arc<AtomicU64>,
}

impl Worker {
    /// Starts to serve at an address.
    pub fn start(
        id: &str,
        service: &'static str,
        address: SocketAddr,
        behaviour: Behaviour,
        runs: &Runs,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let (name, runs, record) = (id.to_owned(), Arc::clone(runs), record.clone());
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (name, behaviour) = (name.clone(), Arc::clone(&behaviour));
                let (runs, record) = (Arc::clone(&runs), record.clone());
                thread::spawn(move || serve(&name, stream, &behaviour, &runs, &record));
            }
        });
        Ok(Self {
            id: id.to_owned(),
            service,
            address,
            slots: 3,
            born_ms: unix_ms()?,
            sequence: Arc::new(AtomicU64::new(1)),
        })
    }

    /// The same upstream with so many slots.
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sends the next heartbeat.
    pub fn send_heartbeat(&self, deployment: &Deployment, state: &str) -> io::Result<Message> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"jhb-a","version":"v1","slots":{},"state":"{state}","cold_remaining_s":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.slots, self.born_ms,
        );
        let query = format!("call=instances.heartbeat&of={}", self.id);
        deployment.call(&query, None, &body)
    }
}

/// The time of day in Unix milliseconds.
pub fn unix_ms() -> io::Result<u128> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Ok(now.map_err(io::Error::other)?.as_millis())
}

/// Serves a connection until either side ends it.
fn serve(name: &str, stream: TcpStream, behaviour: &Behaviour, runs: &Runs, record: &Record) {
    if stream.set_read_timeout(Some(IDLE_TIMEOUT)).is_err() {
        return;
    }
    let mut connection = Connection::new(stream);
    for position in 0.. {
        let Ok(head) = connection.read() else {
            return;
        };
        let attempt = head.field("x-attempt-id").unwrap_or_default().to_owned();
        if head.field("x-expect-instance").is_some_and(|it| it != name) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-attempt-id: {attempt}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        record.line(&format!("{name} runs {attempt}: {}", head.line));
        let run = Run {
            worker: name.to_owned(),
            attempt: attempt.clone(),
        };
        runs.lock().expect("no holder panics").push(run);
        thread::sleep(WORK);
        let reply = behaviour(&Request {
            attempt: &attempt,
            position,
        });
        let answer = |status: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nx-attempt-id: {attempt}\r\nx-response-signature: s.{attempt}\r\nx-server-load: 0,0,3\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let success = answer("200 OK", &format!("done {attempt}"));
        let bytes = match reply {
            Reply::Success => success,
            Reply::Failure(status) => {
                record.line(&format!("{name} fails {attempt} after its run with {status}"));
                answer(&format!("{status} Failed"), "failed")
            }
            Reply::Preceded(extra) => {
                record.line(&format!("{name} sends bytes of no request before {attempt}"));
                extra.to_owned() + &success
            }
        };
        if connection.send(bytes.as_bytes()).is_err() {
            return;
        }
    }
}
