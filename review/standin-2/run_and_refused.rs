//! Orders at a service of which one upstream fails a part of them after it has run them, with a status
//! that promises something to clients.

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

/// Upstreams of the service; one of them is in trouble, an eighth.
const WORKERS: u8 = 8;

/// How long the trouble lasts.
const TROUBLE: Duration = Duration::from_millis(6_500);

/// The statuses with which the upstream in trouble fails, in turn.
const STATUSES: [u16; 2] = [503, 429];

/// Clients that send orders.
const CLIENTS: usize = 4;

/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [503, 429, 408, 421];

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let deployment = Deployment::start(record.clone())?;
    deployment.declare_manifest()?;
    let runs = Runs::default();
    let fails = Arc::new(AtomicBool::new(false));
    let in_trouble: Behaviour = {
        let (count, fails) = (AtomicU64::new(0), Arc::clone(&fails));
        Arc::new(move |_| {
            if !fails.load(Ordering::Relaxed) {
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
        let address = deployment.standin_address(100 + number);
        let id = format!("i-{number}");
        let worker = Worker::start(&id, "orders", address, behaviour, &runs, &record)?;
        worker.send_heartbeat(&deployment, "ready")?;
    }
    deployment.wait_for_upstreams(usize::from(WORKERS))?;
    fails.store(has_trouble, Ordering::Relaxed);
    let orders = send_orders(&deployment, CLIENTS, TROUBLE)?;
    let runs = runs.lock().expect("no holder panics");
    let has_run = |attempt: &str| runs.iter().any(|run| run.attempt == attempt);
    let refused = orders.iter().filter(|order| PROMISES.contains(&order.status));
    let broken: Vec<_> = refused.filter(|order| has_run(&order.attempt)).collect();
    for order in &broken {
        let (attempt, status) = (&order.attempt, order.status);
        record.line(&format!("BROKEN {attempt} has run and was answered {status}"));
    }
    record.line(&format!("{} orders run and refused", broken.len()));
    Ok(Verdict::of(broken.is_empty()))
}
