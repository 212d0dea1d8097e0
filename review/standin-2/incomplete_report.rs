//! Orders while a report of another writer, which lacks fields, names an upstream of another service.

use crate::{
    Verdict,
    clients::send_orders,
    deployment::{Deployment, Record},
    worker::{Behaviour, Reply, Runs, Worker, unix_ms},
};
use std::{
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Upstreams of each service.
const WORKERS: u8 = 4;

/// How long clients send orders after the report.
const ORDERS: Duration = Duration::from_secs(6);

/// Clients that send orders.
const CLIENTS: usize = 8;

/// The interval between two heartbeats of an upstream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let deployment = Arc::new(Deployment::start(record.clone())?);
    deployment.declare_manifest()?;
    let runs = Runs::default();
    let mut workers = Vec::new();
    for (first_host, service) in [(100, "orders"), (120, "stockroom")] {
        for number in 0..WORKERS {
            let address = deployment.standin_address(first_host + number);
            let id = format!("i-{service}-{number}");
            let behaviour: Behaviour = Arc::new(|_| Reply::Success);
            let worker = Worker::start(&id, service, address, behaviour, &runs, &record)?;
            worker.send_heartbeat(&deployment, "ready")?;
            workers.push(worker);
        }
    }
    deployment.wait_for_upstreams(workers.len())?;
    let has_ended = Arc::new(AtomicBool::new(false));
    let heartbeats = {
        let (deployment, has_ended) = (Arc::clone(&deployment), Arc::clone(&has_ended));
        thread::spawn(move || {
            while !has_ended.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT_INTERVAL);
                for worker in &workers {
                    // One that isn't confirmed is followed by the next.
                    let _ = worker.send_heartbeat(&deployment, "ready");
                }
            }
        })
    };
    if has_trouble {
        send_report(&deployment)?;
    }
    let orders = send_orders(&deployment, CLIENTS, ORDERS);
    has_ended.store(true, Ordering::Relaxed);
    heartbeats.join().map_err(|_| io::Error::other("the heartbeats failed"))?;
    let orders = orders?;
    let is_order = |attempt: &str| orders.iter().any(|order| order.attempt == attempt);
    let runs = runs.lock().expect("no holder panics");
    let at_stockroom = runs.iter().filter(|run| run.worker.contains("stockroom"));
    let broken: Vec<_> = at_stockroom.filter(|run| is_order(&run.attempt)).collect();
    for run in &broken {
        let (worker, attempt) = (&run.worker, &run.attempt);
        record.line(&format!("BROKEN {worker}, of the service stockroom, ran the order {attempt}"));
    }
    record.line(&format!("{} orders run by another service", broken.len()));
    Ok(Verdict::of(broken.is_empty()))
}

/// Sends the report of another writer: `version` and `cold_remaining_s` are missing.
fn send_report(deployment: &Deployment) -> io::Result<()> {
    let address = deployment.standin_address(120);
    let body = format!(
        r#"{{"service":"orders","address":"{address}","zone":"jhb-a","slots":3,"state":"ready","sequence":1,"born":{}}}"#,
        unix_ms()?,
    );
    deployment.record.line(&format!("another writer reports {body}"));
    deployment.call("call=instances.heartbeat&of=i-stockroom-0", None, &body)?;
    Ok(())
}
