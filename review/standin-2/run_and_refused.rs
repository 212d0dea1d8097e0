//! Orders at a service of which one upstream fails a part of them after it has run them, with a status
//! that promises something to clients.

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

/// Upstreams of the service; one of them is in trouble, an eighth.
const WORKERS: u8 = 8;

/// How long the trouble lasts.
const TROUBLE: Duration = Duration::from_millis(6_500);

/// The statuses with which the upstream in trouble fails, in turn.
const STATUSES: [u16; 2] = [503, 429];

/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Clients that send orders one after the other.
const CLIENTS: usize = 4;

/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [503, 429, 408, 421];

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let deployment = Deployment::start(record.clone())?;
    deployment.declare_manifest()?;
    let runs = Runs::default();
    let failing = Arc::new(AtomicU64::new(0));
    let in_trouble: Behaviour = {
        let (count, failing) = (AtomicU64::new(0), Arc::clone(&failing));
        Arc::new(move |_| {
            if failing.load(Ordering::Relaxed) == 0 {
                return Reply::Success;
            }
            // Nine of twenty: 45 in 100.
            let number = count.fetch_add(1, Ordering::Relaxed);
            match number * 9 % 20 < 9 {
                true => Reply::Failure(STATUSES[number as usize % STATUSES.len()]),
                false => Reply::Success,
            }
        })
    };
    for number in 0..WORKERS {
        let behaviour: Behaviour = match number {
            0 => Arc::clone(&in_trouble),
            _ => Arc::new(|_| Reply::Success),
        };
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
    let runs = runs.lock().expect("no holder panics");
    let has_run = |attempt: &String| runs.contains(attempt);
    let mut broken = answers.iter();
    let broken = broken.by_ref().filter(|(attempt, status)| {
        PROMISES.contains(status) && has_run(attempt)
    });
    let broken: Vec<_> = broken.collect();
    for (attempt, status) in &broken {
        record.line(&format!("BROKEN {attempt} has run and was answered {status}"));
    }
    record.line(&format!(
        "{} orders, {served} served, {} run and refused",
        answers.len(),
        broken.len()
    ));
    Ok(match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
