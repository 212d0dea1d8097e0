//! The cases. Each returns what broke the rule, or `None` when the rule held.

pub mod dead_voters;
pub mod large_bodies;
pub mod log_growth;
pub mod misleading_load;
pub mod other_writer;

use crate::{
    deployment::{Deployment, GATEWAYS, Result, manifest, wait_for},
    http::Connection,
    record::Record,
    worker::{Runs, Worker},
};
use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(12);

/// The head of a client's request, without the body's length.
fn request_head(method: &str, service: &str, attempt: &str) -> String {
    format!(
        "{method} /{service}/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 10000\r\n"
    )
}

/// Sends one request on a connection of its own; returns the status of a whole answer.
fn request_once(
    gateway: SocketAddr,
    method: &str,
    service: &str,
    attempt: &str,
) -> io::Result<u16> {
    let mut connection = Connection::open(gateway, CLIENT_TIMEOUT)?;
    let answer = connection.exchange(&request_head(method, service, attempt), b"")?;
    Ok(answer.status())
}

/// The kinds of requests; each has a service of this name. The first one's route is in the first
/// manifest, the second one's is added by the second manifest.
const KINDS: [&str; 2] = ["status", "claims"];

/// Workers of each service.
const WORKERS: u8 = 6;

/// Clients of each kind at each gateway.
const CLIENTS: usize = 8;

/// The pause of each of the clients between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// How long a request runs at a worker.
const RUN_TIME: Duration = Duration::from_millis(60);

/// Served and all requests of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    served: u64,
    all: u64,
}

impl Served {
    fn share(self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

/// A deployment in which every gateway serves two kinds of requests.
struct TwoKinds {
    deployment: Deployment,
    /// The workers of the first kind.
    others: Vec<Worker>,
    /// The workers of the second kind.
    workers: Vec<Worker>,
}

impl TwoKinds {
    fn start(record: &Record) -> Result<Self> {
        let deployment = Deployment::start()?;
        let runs = Runs::default();
        let routes = KINDS.map(|kind| (kind, "safe"));
        deployment.declare("0", &manifest(1, &routes[..1]))?;
        deployment.declare("r1", &manifest(2, &routes))?;
        let start = |kind: &str, host| {
            let id = format!("i-{kind}-{host}");
            Worker::start(&deployment, host, &id, kind, RUN_TIME, &runs, record)
        };
        let workers = (51..51 + WORKERS).map(|host| start(KINDS[1], host));
        let workers = workers.collect::<io::Result<Vec<_>>>()?;
        let others = (61..61 + WORKERS).map(|host| start(KINDS[0], host));
        let others = others.collect::<io::Result<Vec<_>>>()?;
        for host in GATEWAYS {
            let gateway = deployment.client_address(host);
            for kind in KINDS {
                wait_for("the gateway to serve", || {
                    request_once(gateway, "GET", kind, "setup").is_ok_and(|status| status == 200)
                })?;
            }
        }
        Ok(Self {
            deployment,
            workers,
            others,
        })
    }

    /// Sends requests of each kind to each gateway for this long; returns how each kind was served.
    fn send(&self, record: &Record, span: Duration) -> [Served; KINDS.len()] {
        let end = Instant::now() + span;
        let clients: Vec<_> = GATEWAYS
            .into_iter()
            .flat_map(|host| KINDS.map(|kind| (host, kind)))
            .flat_map(|client| std::iter::repeat_n(client, CLIENTS))
            .enumerate()
            .map(|(n, (host, kind))| {
                let gateway = self.deployment.client_address(host);
                let record = record.clone();
                thread::spawn(move || {
                    send_until(end, gateway, &format!("{kind}-{host}-{n}"), kind, &record)
                })
            })
            .collect();
        let mut counts = [Served::default(); KINDS.len()];
        for (n, client) in clients.into_iter().enumerate() {
            let seen = client.join().unwrap_or_default();
            let count = &mut counts[n / CLIENTS % KINDS.len()];
            count.served += seen.served;
            count.all += seen.all;
        }
        record.note(&format!("served of {KINDS:?}: {counts:?}"));
        counts
    }

    fn end(&self) {
        self.workers
            .iter()
            .chain(&self.others)
            .for_each(Worker::end);
    }
}

/// Sends requests of a kind to a gateway, one after the other.
fn send_until(
    end: Instant,
    gateway: SocketAddr,
    client: &str,
    kind: &str,
    record: &Record,
) -> Served {
    let mut count = Served::default();
    while Instant::now() < end {
        let attempt = format!("{client}-{:.4}", record.now_s());
        record.note(&format!("{attempt} is sent"));
        let answer = request_once(gateway, "GET", kind, &attempt);
        record.note(&format!("{attempt} is answered {answer:?}"));
        count.all += 1;
        count.served += u64::from(answer.is_ok_and(|status| status == 200));
        thread::sleep(PAUSE);
    }
    count
}

/// The fewest requests on later routes that the rule is about.
const LATER_MIN: u64 = 20;

/// Whether the route that was added later is served less than a quarter as often as the first one.
fn starved([first, later]: [Served; KINDS.len()]) -> Option<String> {
    let is_broken = later.all >= LATER_MIN && later.share() < first.share() / 4.0;
    is_broken.then(|| {
        format!(
            "CONFIG: {} of {} requests on the route that was added later were served, and {} of {} on the first route, while the {WORKERS} workers of each were up and reported",
            later.served, later.all, first.served, first.all
        )
    })
}
