//! Workers reject long bodies before they have read them, keep the connections and read on later.

use crate::deployment::{
    Deployment, GATEWAY, Reader, Record, Result, has_trouble, read_answer, unix_ms,
};
use std::{
    fs,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `memory_mb` of the gateways' machines.
const MEMORY_MB: u64 = 260;

/// The gateways, and how often a process may end by itself before the day counts 0.
const GATEWAYS: [u8; 2] = [GATEWAY, GATEWAY + 1];
const ENDS_MAX: u64 = 3;

/// The services, and the workers of each.
const SERVICES: [(&str, usize); 4] = [
    ("weaver-pay", 12),
    ("orders", 12),
    ("catalogue", 16),
    ("stockroom", 12),
];

/// The body of a request: a fifth of the manifest's `max_body_bytes` of 67,108,864.
const BODY_BYTES: usize = 14_000_000;

/// Clients at each gateway; each has one request at a time.
const CLIENTS: usize = 9;

/// The time budget and the work of a request.
const BUDGET_MS: u64 = 6_000;
const WORK: Duration = Duration::from_millis(1_160);

/// When a worker reads on that has rejected a long body.
const READS_ON_AFTER: Duration = Duration::from_secs(20);

/// Workers shed so many of 20 requests, for so long; then comes a pause.
const SHED_OF_20: u64 = 11;
const SHED_FOR: Duration = Duration::from_millis(8_500);
const PAUSE: Duration = Duration::from_millis(1_000);

/// How long clients send.
const SPAN: Duration = Duration::from_secs(90);

const MANIFEST: &str = r#"{"version":"r1","routes":{"r-1":{"host":"umvelo.example","path_prefix":"/claim/","kind":"unsafe","timeout_s":6,"target_latency_s":0.8,"priority":1,"service":"weaver-pay","max_attempts":2,"sticky":true,"home_regions":[]},"r-2":{"host":"umvelo.example","path_prefix":"/order/","kind":"unsafe","timeout_s":6,"target_latency_s":0.8,"priority":1,"service":"orders","max_attempts":2,"sticky":true,"home_regions":[]},"r-3":{"host":"umvelo.example","path_prefix":"/basket/","kind":"unsafe","timeout_s":6,"target_latency_s":0.8,"priority":1,"service":"catalogue","max_attempts":2,"sticky":true,"home_regions":[]},"r-4":{"host":"umvelo.example","path_prefix":"/piece/","kind":"unsafe","timeout_s":6,"target_latency_s":0.8,"priority":1,"service":"stockroom","max_attempts":2,"sticky":true,"home_regions":[]}},"services":{"weaver-pay":{"health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":2.9},"orders":{"health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":2.9},"catalogue":{"health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":2.9},"stockroom":{"health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":2.9}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;

pub fn run(record: &Record) -> Result<bool> {
    let mut deployment = Deployment::start(record, &[])?;
    deployment.start_process(GATEWAYS[1], true)?;
    deployment.call("/rpc?call=config.put", Some("0"), MANIFEST)?;
    let ip = deployment.network.ip(21);
    let sheds = Arc::new(AtomicBool::new(false));
    // The service of each worker.
    let services: Vec<&str> = SERVICES
        .iter()
        .flat_map(|(service, count)| vec![*service; *count])
        .collect();
    let workers = (0..services.len())
        .map(|index| start_worker(record, &format!("i-{index}"), &ip, &sheds))
        .collect::<Result<Vec<_>>>()?;
    let born = unix_ms();
    let mut sequence = 0;
    let mut heartbeats = |deployment: &Deployment| -> Result<()> {
        sequence += 1;
        for (index, address) in workers.iter().enumerate() {
            let service = services[index];
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"jhb-a\",\
                 \"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_remaining_s\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            );
            let target = format!("/rpc?call=instances.heartbeat&of=i-{index}");
            deployment.call(&target, None, &body)?;
        }
        Ok(())
    };
    heartbeats(&deployment)?;
    for gateway in GATEWAYS {
        deployment.wait_ready(gateway)?;
    }
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(1_200));
        heartbeats(&deployment)?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = GATEWAYS
        .iter()
        .flat_map(|gateway| [*gateway; CLIENTS])
        .map(|gateway| {
            let front = deployment.network.front(gateway);
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            thread::spawn(move || submit_until(&record, front, &stop))
        })
        .collect();
    let (mut ends, mut most_kb) = ([0; 2], [0; 2]);
    let started = Instant::now();
    let end = started + SPAN;
    let mut next_heartbeat = started;
    while Instant::now() < end && ends.iter().any(|it| *it < ENDS_MAX) {
        let in_period_ms = started.elapsed().as_millis() % (SHED_FOR + PAUSE).as_millis();
        let sheds_now = has_trouble() && in_period_ms < SHED_FOR.as_millis();
        if sheds.swap(sheds_now, Ordering::Relaxed) != sheds_now {
            record.line(format!("workers shed requests: {sheds_now}"));
        }
        for (index, gateway) in GATEWAYS.into_iter().enumerate() {
            let memory_kb = deployment.process_id(gateway).map_or(0, resident_kb);
            most_kb[index] = most_kb[index].max(memory_kb);
            // The platform kills a process that uses more than its memory, and starts it again.
            if memory_kb > MEMORY_MB * 1_024 {
                record.line(format!("the gateway of host {gateway} uses {memory_kb} kB"));
                deployment.kill(gateway);
                ends[index] += 1;
                thread::sleep(Duration::from_millis(300));
                deployment.start_process(gateway, false)?;
            }
        }
        if next_heartbeat <= Instant::now() {
            next_heartbeat = Instant::now() + Duration::from_millis(1_500);
            heartbeats(&deployment)?;
        }
        thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for (index, gateway) in GATEWAYS.into_iter().enumerate() {
        record.line(format!(
            "the gateway of host {gateway} used {} kB at most and ended {} times for it",
            most_kb[index], ends[index]
        ));
    }
    Ok(ends.iter().any(|it| *it < ENDS_MAX))
}

/// The memory of a process, without what the system holds for its sockets.
fn resident_kb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Sends requests with a long body one after another, each for another object and on a connection of
/// its own. After a refusal it comes back when it was told to.
fn submit_until(record: &Record, front: SocketAddr, stop: &AtomicBool) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let body = vec![b'c'; BODY_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let send = || -> io::Result<(u16, f64)> {
            let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(7)))?;
            let path = ["claim", "order", "basket", "piece"][number as usize % 4];
            let head = format!(
                "POST /{path}/1 HTTP/1.1\r\nHost: umvelo.example\r\nX-Attempt-Id: c-{number}\r\n\
                 Cookie: X-Affinity-Key={number}\r\nX-Deadline-Ms: {BUDGET_MS}\r\n\
                 Content-Length: {BODY_BYTES}\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(&body)?;
            let answer = read_answer(&mut stream)?;
            let wait_s = answer.header("retry-after").and_then(|it| it.parse().ok());
            Ok((answer.status, wait_s.unwrap_or(0.1)))
        };
        match send() {
            Ok((status, wait_s)) => {
                record.line(format!("client: c-{number} is answered {status}"));
                thread::sleep(Duration::from_secs_f64(wait_s.clamp(0.1, 1.0)));
            }
            Err(error) => {
                record.line(format!("client: c-{number} {error}"));
                thread::sleep(Duration::from_millis(300));
            }
        }
    }
}

fn start_worker(
    record: &Record,
    id: &str,
    ip: &str,
    sheds: &Arc<AtomicBool>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(format!("{ip}:0")).map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let worker = Worker {
        record: record.clone(),
        id: id.to_owned(),
        sheds: Arc::clone(sheds),
        requests: Arc::default(),
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let worker = worker.clone();
            thread::spawn(move || {
                let _ = worker.serve(stream);
            });
        }
    });
    Ok(address)
}

#[derive(Clone)]
struct Worker {
    record: Record,
    id: String,
    sheds: Arc<AtomicBool>,
    requests: Arc<AtomicU64>,
}

impl Worker {
    /// Answers requests on a connection. A request that is shed is rejected before its body is read, which
    /// is read on later; of any other the body is read first.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let Self { record, id, .. } = self;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(&mut stream);
        while let Some((_, headers)) = reader.head()? {
            let header = |name: &str| {
                let found = headers.iter().find(|(it, _)| it == name);
                found.map(|(_, value)| value.clone()).unwrap_or_default()
            };
            let attempt = header("x-attempt-id");
            let length = header("content-length").parse().unwrap_or(0);
            let request = self.requests.fetch_add(1, Ordering::Relaxed);
            // Spread evenly over any 20 requests in a row.
            let is_shed = (request * SHED_OF_20) % 20 < SHED_OF_20;
            if is_shed && self.sheds.load(Ordering::Relaxed) {
                record.line(format!(
                    "worker {id} rejects {attempt} before it has read the body"
                ));
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(answer.as_bytes())?;
                thread::sleep(READS_ON_AFTER);
                reader.skip(length)?;
            } else {
                reader.skip(length)?;
                record.line(format!("worker {id} runs {attempt}"));
                thread::sleep(WORK);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: signed\r\n\
                 Content-Length: 4\r\n\r\ndone"
                );
                writer.write_all(answer.as_bytes())?;
            }
        }
        Ok(())
    }
}
