//! A sound worker: it runs requests, answers them whole, and reports that it is alive.

use crate::{deployment::Deployment, http::read_message, record::Record};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// How often a worker reports that it is alive: `heartbeat_s` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The load of a worker whose count of running requests has gone below 0.
const MISLEADING_LOAD: &str = "4294967295,0,8";

/// How often each attempt ran, by its id.
pub type Runs = Arc<Mutex<BTreeMap<String, u64>>>;

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    run_time: Duration,
    runs: Runs,
    record: Record,
    sequence: Arc<AtomicU64>,
    born_ms: u64,
    has_ended: Arc<AtomicBool>,
    misleads: Arc<AtomicBool>,
    run_count: Arc<AtomicU64>,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

/// The body of a liveness report.
pub fn report(service: &str, address: SocketAddr, sequence: u64, born_ms: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"east-a","version":"v1","slots":8,"state":"ready","cold_remaining_s":0,"sequence":{sequence},"born":{born_ms}}}"#
    )
}

impl Worker {
    /// Starts a worker on a free port of `host`, and its liveness reports.
    pub fn start(
        deployment: &Deployment,
        host: u8,
        id: &str,
        service: &str,
        run_time: Duration,
        runs: &Runs,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((deployment.ip(host), 0))?;
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            run_time,
            runs: Arc::clone(runs),
            record: record.clone(),
            sequence: Arc::default(),
            born_ms: unix_ms(),
            has_ended: Arc::default(),
            misleads: Arc::default(),
            run_count: Arc::default(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let (reporting, control) = (worker.clone(), deployment.control());
        thread::spawn(move || {
            while !reporting.has_ended.load(Ordering::Relaxed) {
                let sequence = reporting.sequence.fetch_add(1, Ordering::Relaxed) + 1;
                let body = report(
                    &reporting.service,
                    reporting.address,
                    sequence,
                    reporting.born_ms,
                );
                let call = format!("instances.heartbeat&of={}", reporting.id);
                let status = control.call(&call, None, &body);
                if status != Some(200) {
                    let line = format!("report {sequence} of {}: {status:?}", reporting.id);
                    reporting.record.note(&line);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    /// How many liveness reports it has sent.
    pub fn reports(&self) -> u64 {
        self.sequence.load(Ordering::Relaxed)
    }

    /// How many requests it has run.
    pub fn run_count(&self) -> u64 {
        self.run_count.load(Ordering::Relaxed)
    }

    /// Whether its answers state a load that is not its own from now on.
    pub fn mislead(&self, misleads: bool) {
        self.misleads.store(misleads, Ordering::Relaxed);
    }

    fn load(&self) -> &'static str {
        match self.misleads.load(Ordering::Relaxed) {
            true => MISLEADING_LOAD,
            false => "1,0,8",
        }
    }

    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let attempt = request
                .header("x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let expected = request.header("x-expect-instance").unwrap_or(&self.id);
            let load = self.load();
            let echo = format!("X-Attempt-Id: {attempt}\r\nX-Server-Load: {load}\r\n");
            let answer = if expected == self.id {
                self.record.note(&format!("{} runs {attempt}", self.id));
                self.run_count.fetch_add(1, Ordering::Relaxed);
                let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
                *runs.entry(attempt.clone()).or_default() += 1;
                drop(runs);
                thread::sleep(self.run_time);
                let signature = format!("X-Response-Signature: {}.{attempt}\r\n", self.id);
                let body = format!("done {attempt}");
                let length = body.len();
                format!(
                    "HTTP/1.1 200 OK\r\n{echo}{signature}Content-Length: {length}\r\n\r\n{body}"
                )
            } else {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\n{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
