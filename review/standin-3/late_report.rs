//! A worker that has just started leaves; its first liveness report arrives after its leave was
//! confirmed.

use crate::deployment::{
    Deployment, GATEWAY, REPLICAS, Record, Result, Worker, exchange, has_trouble,
};
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `drain_s` of the site.
const DRAIN_S: f64 = 2.0;

/// How late the report arrives.
const LATE: Duration = Duration::from_secs(4);

/// When the worker leaves, after its start: before it would report to the next daemon.
const LEAVE_AFTER: Duration = Duration::from_millis(800);

/// How long it goes on to serve once its leave is confirmed: `drain_s` and many seconds.
const SERVE_AFTER: Duration = Duration::from_secs(12);

const WORK: Duration = Duration::from_millis(600);

const MANIFEST: &str = r#"{"version":"r1","routes":{"r-1":{"host":"shop.example","path_prefix":"/order/","kind":"unsafe","timeout_s":3,"target_latency_s":0.4,"priority":0,"service":"orders","max_attempts":2,"sticky":false,"home_regions":[]}},"services":{"orders":{"health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":2.9}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

pub fn run(record: &Record) -> Result<bool> {
    let deployment = Deployment::start(record, &[])?;
    deployment.call("/rpc?call=config.put", Some("0"), MANIFEST)?;
    let ip = deployment.network.ip(21);
    let others = (0..3)
        .map(|index| Worker::start(record, &format!("i-{index}"), &ip, 3, WORK))
        .collect::<Result<Vec<_>>>()?;
    let heartbeats = || -> Result<()> {
        for worker in &others {
            let target = format!("/rpc?call=instances.heartbeat&of={}", worker.id);
            let body = worker.heartbeat("orders", "jhb-a", 3, "ready");
            deployment.call(&target, None, &body)?;
        }
        Ok(())
    };
    heartbeats()?;
    deployment.wait_ready(GATEWAY)?;
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(1_200));
        heartbeats()?;
    }
    let front = deployment.network.front(GATEWAY);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            thread::spawn(move || order_until(&record, front, client, &stop))
        })
        .collect();
    let leaving = Worker::start(record, "i-leaving", &ip, 3, WORK)?;
    let report = leaving.heartbeat("orders", "jhb-a", 3, "ready");
    let leader = leader_of(&deployment, &others[0])?;
    record.line(format!("i-leaving sends its first report to {leader}"));
    let held_up = send_report(
        record,
        leader,
        &report,
        if has_trouble() { LATE } else { Duration::ZERO },
    )?;
    thread::sleep(LEAVE_AFTER);
    let answer = deployment.call("/rpc?call=instances.leave&of=i-leaving", None, "")?;
    let confirmed_s = record.now_s();
    record.line(format!(
        "the leave of i-leaving is answered {}",
        answer.status
    ));
    if answer.status != 200 {
        return Err("the leave isn't confirmed".to_owned());
    }
    let end = Instant::now() + SERVE_AFTER;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(1_200));
        heartbeats()?;
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = held_up.join();
    let late = leaving
        .runs()
        .into_iter()
        .filter(|run| run.arrived_s > confirmed_s + DRAIN_S);
    let late = late.count();
    record.line(format!(
        "{late} requests reached i-leaving later than {DRAIN_S} s after its leave was confirmed"
    ));
    Ok(late == 0)
}

/// The daemon that takes liveness reports: the one to which the others redirect a worker's report.
fn leader_of(deployment: &Deployment, worker: &Worker) -> Result<SocketAddr> {
    let target = format!("/rpc?call=instances.heartbeat&of={}", worker.id);
    for host in REPLICAS {
        let address = deployment.network.control(host);
        let report = worker.heartbeat("orders", "jhb-a", 3, "ready");
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{report}",
            report.len()
        );
        let answer = exchange(address, text.as_bytes(), Duration::from_secs(1));
        let answer = answer.map_err(|error| error.to_string())?;
        if answer.status == 200 {
            return Ok(address);
        }
        let location = answer
            .header("location")
            .and_then(|it| it.strip_prefix("http://"));
        let leader = location.and_then(|it| it.split('/').next()?.parse().ok());
        if let Some(leader) = leader {
            return Ok(leader);
        }
    }
    Err("no daemon takes reports".to_owned())
}

/// Sends a report to the leader over a proxy that holds its bytes up for `delay`. The sender closes its
/// connection after a second without a response; the proxy passes that on behind the bytes.
fn send_report(
    record: &Record,
    leader: SocketAddr,
    report: &str,
    delay: Duration,
) -> Result<thread::JoinHandle<()>> {
    let proxy = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = proxy.local_addr().map_err(|error| error.to_string())?;
    let proxied = record.clone();
    let forwards = thread::spawn(move || {
        let Ok((mut sender, _)) = proxy.accept() else {
            return;
        };
        let mut bytes = Vec::new();
        if delay.is_zero() {
            let mut part = [0; 4_096];
            let length = sender.read(&mut part).unwrap_or(0);
            bytes.extend_from_slice(&part[..length]);
        } else {
            thread::sleep(delay);
            let _ = sender.read_to_end(&mut bytes);
        }
        proxied.line("the report of i-leaving arrives");
        let Ok(mut stream) = TcpStream::connect(leader) else {
            return;
        };
        let _ = stream.write_all(&bytes);
        if !delay.is_zero() {
            let _ = stream.shutdown(Shutdown::Write);
        }
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut answer = [0; 4_096];
        let length = stream.read(&mut answer).unwrap_or(0);
        let _ = sender.write_all(&answer[..length]);
    });
    let text = format!(
        "POST /rpc?call=instances.heartbeat&of=i-leaving HTTP/1.1\r\nHost: {leader}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{report}",
        report.len()
    );
    let record = record.clone();
    thread::spawn(
        move || match exchange(address, text.as_bytes(), Duration::from_secs(1)) {
            Ok(answer) => record.line(format!(
                "the report of i-leaving is answered {}",
                answer.status
            )),
            Err(_) => record.line("the report of i-leaving has no answer within a second"),
        },
    );
    Ok(forwards)
}

/// Sends orders one after another, each on a connection of its own.
fn order_until(record: &Record, front: SocketAddr, client: usize, stop: &AtomicBool) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    while !stop.load(Ordering::Relaxed) {
        let attempt = format!("o{client}-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let text = format!(
            "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 6\r\n\r\nbasket"
        );
        match exchange(front, text.as_bytes(), Duration::from_secs(4)) {
            Ok(answer) => record.line(format!("client {client}: {attempt} {}", answer.status)),
            Err(error) => record.line(format!("client {client}: {attempt} {error}")),
        }
    }
}
