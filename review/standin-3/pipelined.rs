//! Clients that sent safe requests ahead close their connections before the first is answered.

use crate::deployment::{Deployment, GATEWAY, Record, Result, Worker, has_trouble, read_answer};
use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Clients at once, and how many of them leave: three in ten.
const CLIENTS: usize = 40;
const LEAVING: usize = 12;

/// Requests that each client sends on its connection without waiting.
const REQUESTS: usize = 3;

/// How long a client that leaves waits: half of the latency target of 600 ms.
const PATIENCE: Duration = Duration::from_millis(300);

/// The work of a request of `catalogue-browse`.
const WORK: Duration = Duration::from_millis(880);

const MANIFEST: &str = r#"{"version":"r1","routes":{"r-1":{"host":"shop.example","path_prefix":"/browse/","kind":"safe","timeout_s":4,"target_latency_s":0.6,"priority":2,"service":"catalogue","max_attempts":2,"sticky":false,"home_regions":[]}},"services":{"catalogue":{"health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":2.9}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

pub fn run(record: &Record) -> Result<bool> {
    let deployment = Deployment::start(record, &[])?;
    deployment.call("/rpc?call=config.put", Some("0"), MANIFEST)?;
    let ip = deployment.network.ip(21);
    let workers = (0..16)
        .map(|index| Worker::start(record, &format!("i-{index}"), &ip, 3, WORK))
        .collect::<Result<Vec<_>>>()?;
    let heartbeats = || -> Result<()> {
        for worker in &workers {
            let target = format!("/rpc?call=instances.heartbeat&of={}", worker.id);
            let body = worker.heartbeat("catalogue", "jhb-a", 3, "ready");
            deployment.call(&target, None, &body)?;
        }
        Ok(())
    };
    heartbeats()?;
    deployment.wait_ready(GATEWAY)?;
    // The gateway is in touch after the stable window of 3 s.
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(1_200));
        heartbeats()?;
    }
    let front = deployment.network.front(GATEWAY);
    let closed: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, closed) = (record.clone(), Arc::clone(&closed));
            let leaves = has_trouble() && client < LEAVING;
            thread::spawn(move || -> std::io::Result<()> {
                let mut stream = TcpStream::connect(front)?;
                stream.set_nodelay(true)?;
                for request in 0..REQUESTS {
                    let attempt = format!("c{client}-{request}");
                    record.line(format!("client {client} sends {attempt}"));
                    let text = format!(
                        "GET /browse/{request} HTTP/1.1\r\nHost: shop.example\r\n\
                         X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 4000\r\n\r\n"
                    );
                    stream.write_all(text.as_bytes())?;
                }
                if leaves {
                    thread::sleep(PATIENCE);
                    drop(stream);
                    let now_s = record.now_s();
                    record.line(format!("client {client} closes its connection"));
                    let mut closed = closed.lock().expect("no holder panics");
                    closed.extend((0..REQUESTS).map(|it| (format!("c{client}-{it}"), now_s)));
                    return Ok(());
                }
                stream.set_read_timeout(Some(Duration::from_secs(6)))?;
                for request in 0..REQUESTS {
                    let answer = read_answer(&mut stream)?;
                    record.line(format!(
                        "client {client}: c{client}-{request} {}",
                        answer.status
                    ));
                }
                Ok(())
            })
        })
        .collect();
    for client in clients {
        if let Ok(Err(error)) = client.join() {
            record.line(format!("a client's connection failed: {error}"));
        }
    }
    thread::sleep(WORK * 4);
    let closed = closed.lock().expect("no holder panics").clone();
    Ok(judge(record, &workers, &closed))
}

/// Requests that reach a worker over half a second after their client's close: a few (three) are
/// allowed. Requests at which a worker is still at work half a second after it: a quarter is allowed of
/// those that would have lasted so long.
fn judge(record: &Record, workers: &[Worker], closed: &[(String, f64)]) -> bool {
    const LATE_S: f64 = 0.5;
    let (mut late, mut lasting, mut at_work) = (0, 0, 0);
    for run in workers.iter().flat_map(Worker::runs) {
        let Some((_, closed_s)) = closed.iter().find(|(attempt, _)| *attempt == run.attempt) else {
            continue;
        };
        if run.arrived_s > closed_s + LATE_S {
            late += 1;
            continue;
        }
        if run.arrived_s + WORK.as_secs_f64() > closed_s + LATE_S {
            lasting += 1;
            at_work += usize::from(
                run.ended_s
                    .is_none_or(|ended_s| ended_s > closed_s + LATE_S),
            );
        }
    }
    record.line(format!(
        "{late} requests reached a worker over 0.5 s after their client's close; workers were still at \
         work 0.5 s after it on {at_work} of {lasting} that would have lasted so long"
    ));
    late <= 3 && at_work * 4 <= lasting
}
