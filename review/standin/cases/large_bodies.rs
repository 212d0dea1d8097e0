//! Eight clients send a body within the manifest's limit at the same time.

use super::{CLIENT_TIMEOUT, request_head, request_once};
use crate::{
    deployment::{Deployment, GATEWAYS, Result, manifest, wait_for},
    http::Connection,
    record::Record,
    worker::{Runs, Worker},
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `memory_mb` of the settings in DEPLOY.md; the platform kills a process that uses more.
const MEMORY_MAX_KIB: u64 = 260 * 1024;

/// The size of each large body; `max_body_bytes` of the manifest is 67,108,864.
const BODY_BYTES: usize = 60 * 1024 * 1024;

/// Clients that send a large body.
const UPLOADS: usize = 8;

/// Clients that send small requests, one after the other on a connection that they keep.
const CLIENTS: usize = 12;

/// `stable_window_s`, with a margin: processes ran for so long before the disruption.
const STABLE: Duration = Duration::from_secs(5);

/// How long requests are sent after it.
const AFTER: Duration = Duration::from_secs(6);

/// How long a request runs at a worker.
const RUN_TIME: Duration = Duration::from_millis(1_500);

/// The time between the first requests of two clients, so that they don't run in step.
const STAGGER: Duration = Duration::from_millis(125);

/// The rule allows three requests that were passed on and have no answer.
const LOST_MAX: usize = 3;

/// Attempts of kept connections that ended without an answer.
type Lost = Arc<Mutex<Vec<String>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Option<String>> {
    let mut deployment = Deployment::start()?;
    let runs = Runs::default();
    deployment.declare("0", &manifest(1, &[("claims", "unsafe")]))?;
    let start = |host| {
        let id = format!("i-claims-{host}");
        Worker::start(&deployment, host, &id, "claims", RUN_TIME, &runs, record)
    };
    let workers = (51..=56).map(start).collect::<io::Result<Vec<_>>>()?;
    let host = GATEWAYS[0];
    let gateway = deployment.client_address(host);
    wait_for("the gateway to serve", || {
        request_once(gateway, "POST", "claims", "setup").is_ok_and(|status| status == 200)
    })?;

    let has_ended = Arc::new(AtomicBool::new(false));
    let lost = Lost::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (has_ended, lost, record) = (has_ended.clone(), lost.clone(), record.clone());
            thread::spawn(move || send_small(gateway, client, &has_ended, &lost, &record))
        })
        .collect();
    thread::sleep(STABLE);
    let record_of_uploads = record.clone();
    let uploads = thread::spawn(move || upload(gateway, has_trouble, &record_of_uploads));

    let mut peak_kib = 0;
    let mut kills = 0;
    let mut end = Instant::now() + AFTER;
    while Instant::now() < end {
        let used_kib = deployment.resident_kib(host);
        peak_kib = peak_kib.max(used_kib);
        if used_kib > MEMORY_MAX_KIB {
            record.note(&format!(
                "platform kills the gateway: it uses {used_kib} KiB"
            ));
            deployment.kill(host);
            kills += 1;
            thread::sleep(Duration::from_millis(500));
            deployment.restart(host)?;
        }
        if !uploads.is_finished() {
            end = end.max(Instant::now() + Duration::from_secs(2));
        }
        thread::sleep(Duration::from_millis(5));
    }
    has_ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = uploads.join();
    workers.iter().for_each(Worker::end);

    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let lost = lost.lock().unwrap_or_else(PoisonError::into_inner);
    let passed_on: Vec<&String> = lost.iter().filter(|it| runs.contains_key(*it)).collect();
    record.note(&format!(
        "the gateway used {peak_kib} KiB at most and was killed {kills} times; {} requests of kept connections ended without an answer, {} of them ran at a worker: {passed_on:?}",
        lost.len(),
        passed_on.len()
    ));
    let is_broken = passed_on.len() > LOST_MAX;
    Ok(is_broken.then(|| {
        format!(
            "LOST: {} requests were passed on to sound workers, and their kept connections were closed without an answer",
            passed_on.len()
        )
    }))
}

/// Sends small requests until told to end.
fn send_small(
    gateway: SocketAddr,
    client: usize,
    has_ended: &AtomicBool,
    lost: &Lost,
    record: &Record,
) {
    let mut kept: Option<Connection> = None;
    thread::sleep(STAGGER * client as u32);
    for n in 0.. {
        if has_ended.load(Ordering::Relaxed) {
            return;
        }
        let is_kept = kept.is_some();
        let Some(mut connection) = kept
            .take()
            .or_else(|| Connection::open(gateway, CLIENT_TIMEOUT).ok())
        else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let attempt = format!("c{client:02}-{n:04}");
        record.note(&format!("{attempt} is sent"));
        match connection.exchange(&request_head("POST", "claims", &attempt), b"a claim") {
            Ok(answer) => {
                record.note(&format!("{attempt} is answered {}", answer.status()));
                let closes = answer.header("connection").is_some_and(|it| it == "close");
                kept = (!closes).then_some(connection);
            }
            Err(error) => {
                record.note(&format!("{attempt} has no answer: {error}"));
                if is_kept {
                    lost.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(attempt);
                }
            }
        }
    }
}

/// Sends the large bodies, at the same time or, without the disruption, one after the other.
fn upload(gateway: SocketAddr, at_once: bool, record: &Record) {
    let body: Arc<[u8]> = vec![b'x'; BODY_BYTES].into();
    let send = move |n: usize, body: &[u8], record: &Record| {
        let attempt = format!("large-{n}");
        record.note(&format!("{attempt} of {BODY_BYTES} bytes is sent"));
        let answer = Connection::open(gateway, CLIENT_TIMEOUT)
            .and_then(|mut it| it.exchange(&request_head("POST", "claims", &attempt), body));
        let answer = answer.map(|answer| answer.status());
        record.note(&format!("{attempt} ends with {answer:?}"));
    };
    let mut sending = Vec::new();
    for n in 0..UPLOADS {
        let record = record.clone();
        let body = Arc::clone(&body);
        let upload = thread::spawn(move || send(n, &body, &record));
        match at_once {
            true => sending.push(upload),
            false => drop(upload.join()),
        }
    }
    for upload in sending {
        let _ = upload.join();
    }
}
