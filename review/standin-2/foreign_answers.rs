//! Orders over connections that are used again, to an upstream that writes bytes beyond a complete answer,
//! late, where the next answer is expected.

use crate::{
    Verdict,
    clients::send_orders,
    deployment::{Deployment, Record},
    worker::{Behaviour, Reply, Runs, Worker},
};
use std::{
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Upstreams of the service.
const WORKERS: u8 = 5;

/// Upstreams in trouble: 60 in 100.
const IN_TROUBLE: u8 = 3;

/// How long the trouble lasts.
const TROUBLE: Duration = Duration::from_secs(5);

/// Of so many answers of an upstream in trouble, one is followed by bytes of no request: 2.5 in 100.
const TROUBLE_EVERY: u64 = 40;

/// Clients that send orders.
const CLIENTS: usize = 6;

/// The bytes beyond a complete answer. They name no request.
const EXTRA: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let deployment = Deployment::start(record.clone())?;
    deployment.declare_manifest()?;
    let runs = Runs::default();
    let fails = Arc::new(AtomicBool::new(false));
    for number in 0..WORKERS {
        let (count, fails) = (AtomicU64::new(0), Arc::clone(&fails));
        let behaviour: Behaviour = Arc::new(move |request| {
            let is_in_trouble = fails.load(Ordering::Relaxed) && number < IN_TROUBLE;
            // The bytes follow the answer before on this connection.
            if !is_in_trouble || request.position == 0 {
                return Reply::Success;
            }
            match count.fetch_add(1, Ordering::Relaxed) % TROUBLE_EVERY {
                0 => Reply::Preceded(EXTRA),
                _ => Reply::Success,
            }
        });
        let address = deployment.standin_address(100 + number);
        let id = format!("i-{number}");
        let worker = Worker::start(&id, "orders", address, behaviour, &runs, &record)?;
        worker.send_heartbeat(&deployment, "ready")?;
    }
    deployment.wait_for_upstreams(usize::from(WORKERS))?;
    fails.store(has_trouble, Ordering::Relaxed);
    let orders = send_orders(&deployment, CLIENTS, TROUBLE)?;
    // No upstream and no gateway gives this answer to any of the orders: the route is there, and each
    // upstream answers an order that it has run with a success.
    let runs = runs.lock().expect("no holder panics");
    let has_run = |attempt: &str| runs.iter().any(|run| run.attempt == attempt);
    let not_found = orders.iter().filter(|order| order.status == 404);
    let foreign: Vec<_> = not_found.filter(|order| has_run(&order.attempt)).collect();
    for order in &foreign {
        let attempt = &order.attempt;
        record.line(&format!("BROKEN {attempt} got 404, which its upstream did not answer"));
    }
    record.line(&format!("{} orders got an answer of no request", foreign.len()));
    Ok(Verdict::of(foreign.is_empty()))
}
