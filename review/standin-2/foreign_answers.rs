//! Orders over connections that are used again, to an upstream that writes bytes beyond a complete answer,
//! late, where the next answer is expected.

use crate::{
    Verdict,
    deployment::{Deployment, GATEWAY, Record, wait_for},
    http,
    worker::{Behaviour, Reply, Runs, Worker},
};
use std::{
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Upstreams of the service.
const WORKERS: u8 = 5;

/// Upstreams in trouble: 60 in 100.
const IN_TROUBLE: u8 = 3;

/// How long the trouble lasts.
const TROUBLE: Duration = Duration::from_secs(5);

/// Of so many answers of an upstream in trouble, one is followed by bytes of no request: 2.5 in 100.
const TROUBLE_EVERY: u64 = 40;

/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Clients that send orders one after the other.
const CLIENTS: usize = 6;

/// The bytes beyond a complete answer. They name no request.
const EXTRA: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let deployment = Deployment::start(record.clone())?;
    deployment.declare_manifest()?;
    let runs = Runs::default();
    let failing = Arc::new(AtomicU64::new(0));
    for number in 0..WORKERS {
        let (count, failing) = (AtomicU64::new(0), Arc::clone(&failing));
        let behaviour: Behaviour = Arc::new(move |request| {
            let is_in_trouble = failing.load(Ordering::Relaxed) == 1 && number < IN_TROUBLE;
            // The bytes follow the answer before on this connection.
            if !is_in_trouble || request.position == 0 {
                return Reply::Success;
            }
            match count.fetch_add(1, Ordering::Relaxed) % TROUBLE_EVERY {
                0 => Reply::Preceded(EXTRA.to_owned()),
                _ => Reply::Success,
            }
        });
        let id = format!("i-{number}");
        let address = deployment.standin_address(100 + number);
        let worker = Worker::start(&id, address, behaviour, &runs, &record)?;
        worker.send_heartbeat(&deployment, "ready")?;
    }
    let gateway = deployment.client_address(GATEWAY);
    wait_for("the gateway to know its upstreams", || {
        let log = deployment.log(GATEWAY);
        let known = log.matches("upstream changed").count();
        (known >= usize::from(WORKERS)).then_some(())
    })?;
    failing.store(u64::from(has_trouble), Ordering::Relaxed);
    let end = Instant::now() + TROUBLE;
    let clients = (0..CLIENTS).map(|client| {
        let record = record.clone();
        thread::spawn(move || {
            let mut answers = Vec::new();
            while Instant::now() < end {
                let attempt = format!("{client:02x}{:06x}", answers.len());
                let request = format!(
                    "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: {attempt}\r\nx-deadline-ms: 3000\r\ncontent-length: 5\r\n\r\norder"
                );
                let answer = http::exchange(gateway, request.as_bytes(), CLIENT_TIMEOUT);
                let status = answer.as_ref().map_or(0, http::Message::status);
                record.line(&format!("client {client} sent {attempt}, answered {status}"));
                answers.push((attempt, status));
            }
            answers
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut answers = Vec::new();
    for client in clients {
        let of_client = client.join().map_err(|_| io::Error::other("a client failed"))?;
        answers.extend(of_client);
    }
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    if served < answers.len() / 2 {
        return Err(io::Error::other("less than half of the orders were served"));
    }
    // No upstream and no gateway gives this answer to any of the orders: the route is there, and each
    // upstream answers an order that it has run with a success.
    let runs = runs.lock().expect("no holder panics");
    let foreign = answers.iter().filter(|(attempt, status)| *status == 404 && runs.contains(attempt));
    let foreign: Vec<_> = foreign.collect();
    for (attempt, status) in &foreign {
        record.line(&format!("BROKEN {attempt} got {status}, which its upstream did not answer"));
    }
    record.line(&format!(
        "{} orders, {served} served, {} got an answer of no request",
        answers.len(),
        foreign.len()
    ));
    Ok(match foreign.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
