//! A crowd of clients inside the plan's limits, beside large bodies, at a gateway whose memory the platform
//! watches.

use crate::{
    Verdict,
    deployment::{Deployment, GATEWAY, MEMORY_MB, Record},
    http::Connection,
    worker::{Behaviour, Reply, Runs, Worker},
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Barrier, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Clients that send an order at the same moment.
const CROWD: usize = 1_200;

/// As many without the crowd.
const FEW: usize = 100;

/// Upstreams of the service, with `SLOTS` slots each: room for the whole crowd.
const WORKERS: u8 = 134;

/// The slots of an upstream.
const SLOTS: u32 = 9;

/// How long an order runs.
const ORDER_WORK: Duration = Duration::from_millis(640);

/// Large bodies that are on their way at the same time.
const UPLOADS: usize = 2;

/// The size of each, inside `max_body_bytes`.
const UPLOAD_BYTES: usize = 62_000_000;

/// The fields that the head of an order has beside the usual ones, 154 bytes each: with them it has less
/// than 15,000 of the 16,384 bytes that the plan allows.
const FIELDS: usize = 95;

/// How long a client waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(4);

/// How long the crowd's orders are watched.
const WATCHED: Duration = Duration::from_secs(5);

/// How often the platform looks at the memory.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

/// More requests than this may not be lost.
const LOST_MAX: usize = 3;

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    let mut deployment = Deployment::start(record.clone())?;
    deployment.declare_manifest()?;
    let runs = Runs::default();
    let behaviour: Behaviour = Arc::new(|request| {
        if request.attempt.starts_with("order") {
            thread::sleep(ORDER_WORK);
        }
        Reply::Success
    });
    for number in 0..WORKERS {
        let (id, address) = (format!("i-{number}"), deployment.standin_address(100 + number));
        let worker = Worker::start(&id, "orders", address, Arc::clone(&behaviour), &runs, &record)?;
        worker.with_slots(SLOTS).send_heartbeat(&deployment, "ready")?;
    }
    deployment.wait_for_upstreams(usize::from(WORKERS))?;
    let gateway = deployment.client_address(GATEWAY);
    for number in 0..UPLOADS {
        thread::spawn(move || upload(gateway, number));
    }
    let clients = if has_trouble { CROWD } else { FEW };
    let (gate, unanswered) = (Arc::new(Barrier::new(clients + 1)), Arc::new(Mutex::new(Vec::new())));
    for number in 0..clients {
        let (gate, unanswered) = (Arc::clone(&gate), Arc::clone(&unanswered));
        thread::Builder::new().stack_size(128 * 1_024).spawn(move || {
            if !order(gateway, number, &gate) {
                unanswered.lock().expect("no holder panics").push(number);
            }
        })?;
    }
    gate.wait();
    record.line(&format!("{clients} clients send an order each, {UPLOADS} bodies are on their way"));
    let end = Instant::now() + WATCHED;
    let mut peak_kib = 0;
    while Instant::now() < end {
        let resident_kib = deployment.resident_kib(GATEWAY);
        peak_kib = peak_kib.max(resident_kib);
        if resident_kib > MEMORY_MB * 1_024 {
            record.line(&format!("the gateway uses {resident_kib} KiB and is killed"));
            deployment.kill(GATEWAY);
        }
        thread::sleep(WATCH_INTERVAL);
    }
    let unanswered = unanswered.lock().expect("no holder panics");
    let runs = runs.lock().expect("no holder panics");
    let has_run = |number: &&usize| runs.iter().any(|run| run.attempt == order_id(**number));
    let lost = unanswered.iter().filter(has_run).count();
    record.line(&format!(
        "peak {peak_kib} KiB of {} KiB; {} orders without an answer, {lost} of them were passed on to a worker",
        MEMORY_MB * 1_024,
        unanswered.len(),
    ));
    Ok(Verdict::of(lost <= LOST_MAX))
}

fn order_id(number: usize) -> String {
    format!("order{number}")
}

/// Sends a small request and then, on the kept connection, an order. Returns whether it was answered.
fn order(gateway: SocketAddr, number: usize, gate: &Barrier) -> bool {
    let small = request(&format!("small{number}"), "", 0);
    let kept = Connection::open(gateway, TIMEOUT).and_then(|mut connection| {
        connection.send(small.as_bytes())?;
        connection.read()?;
        Ok(connection)
    });
    gate.wait();
    let fields = (0..FIELDS).map(|field| format!("x-field-{field:03}: {}\r\n", "v".repeat(139)));
    let order = request(&order_id(number), &fields.collect::<String>(), 0);
    let answered = kept.and_then(|mut connection| {
        connection.send(order.as_bytes())?;
        connection.read()
    });
    answered.is_ok()
}

/// Sends a large body; what becomes of it doesn't count.
fn upload(gateway: SocketAddr, number: usize) -> io::Result<()> {
    let mut connection = Connection::open(gateway, TIMEOUT)?;
    connection.send(request(&format!("upload{number}"), "", UPLOAD_BYTES).as_bytes())?;
    connection.send(&vec![b'y'; UPLOAD_BYTES])?;
    connection.read().map(drop)
}

fn request(attempt: &str, fields: &str, body_bytes: usize) -> String {
    format!(
        "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: {attempt}\r\nx-deadline-ms: 3000\r\n{fields}content-length: {body_bytes}\r\n\r\n"
    )
}
