//! A control replica that is alone in its group and serves HTTP. On demand it executes a request
//! but closes the connection without an answer, or refuses the request.

use api::{HttpRequest, encode, parse};
use bytes::Bytes;
use control::{Answer, Control, ControlConfig, Input, Output, Request};
use http_body_util::{BodyExt, Full};
use hyper::{Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use raft::{Membership, RaftConfig, ReplicaId, Restored};
use std::{
    collections::{BTreeMap, VecDeque},
    convert::Infallible,
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::interval,
};
use types::{ApiError, TimeUs};

/// A fault that the replica applies to one request.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The request is executed, but the connection is closed before the answer.
    LoseAnswer,
    /// The request is not executed and is answered with this error.
    Refuse(ApiError),
}

type PendingRequest = (Request, oneshot::Sender<Result<Answer, ApiError>>);

/// A running replica.
#[derive(Clone)]
pub struct Replica {
    /// Its HTTP address, as `IP:PORT`.
    pub address: String,
    /// The faults of the next requests, one each.
    pub faults: Arc<Mutex<VecDeque<Fault>>>,
    /// The body of every request so far.
    pub bodies: Arc<Mutex<Vec<Bytes>>>,
    requests: mpsc::UnboundedSender<PendingRequest>,
}

/// Starts a replica on a free port of the loopback address.
pub async fn start() -> Replica {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let (requests, inbox) = mpsc::unbounded_channel();
    tokio::spawn(run_control(inbox));
    let replica = Replica {
        address: listener.local_addr().expect("an address").to_string(),
        faults: Arc::default(),
        bodies: Arc::default(),
        requests,
    };
    tokio::spawn(accept(listener, replica.clone()));
    replica
}

async fn accept(listener: TcpListener, replica: Replica) {
    while let Ok((stream, _)) = listener.accept().await {
        let replica = replica.clone();
        let service = service_fn(move |request| {
            let replica = replica.clone();
            async move { replica.answer(request).await }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

impl Replica {
    async fn answer(
        &self,
        request: hyper::Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        self.bodies.lock().expect("not poisoned").push(body.clone());
        let fault = self.faults.lock().expect("not poisoned").pop_front();
        let parsed = parse(&HttpRequest {
            method: head.method.as_str(),
            path: head.uri.path(),
            query: head.uri.query(),
            body: &body,
        });
        let answer = match (fault.clone(), parsed) {
            (Some(Fault::Refuse(error)), _) | (_, Err(error)) => Err(error),
            (_, Ok(request)) => self.submit(request).await,
        };
        if matches!(fault, Some(Fault::LoseAnswer)) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let encoded = encode(&answer);
        let mut response = Response::new(Full::new(Bytes::from(encoded.body)));
        *response.status_mut() = encoded.status_code.try_into().map_err(io::Error::other)?;
        Ok(response)
    }

    async fn submit(&self, request: Request) -> Result<Answer, ApiError> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.requests.send((request, sender));
        receiver.await.unwrap_or(Err(ApiError::Unavailable))
    }
}

fn new_control() -> Control {
    let id = ReplicaId {
        name: "control-1".to_owned(),
        incarnation: 1,
    };
    let membership = Membership {
        voters: [id.clone()].into(),
        ..Membership::default()
    };
    let raft = RaftConfig {
        id,
        heartbeat_interval_us: 5_000,
        election_timeout_min_us: 10_000,
        append_max_bytes: 65_536,
        snapshot_chunk_bytes: 65_536,
        seed: 1,
    };
    let config = ControlConfig {
        raft,
        http_addresses: BTreeMap::new(),
        snapshot_entries: 1_000,
        snapshot_log_bytes: 4 * 1024 * 1024,
        request_timeout_us: 1_000_000,
        http_port: None,
        open_membership: false,
        replica_losses: 2,
        instance_timeout_us: 10_000_000,
        quota_terms: share::QuotaTerms::default(),
    };
    let restored = Restored {
        initial_membership: Some(membership),
        ..Restored::default()
    };
    Control::new(config, restored, TimeUs(0))
}

/// Runs the core of the replica. Nothing is stored: each write is confirmed at once.
async fn run_control(mut inbox: mpsc::UnboundedReceiver<PendingRequest>) -> Result<(), Infallible> {
    let mut control = new_control();
    let mut repliers = BTreeMap::new();
    let mut ticks = interval(Duration::from_millis(5));
    let started = Instant::now();
    for request in 1.. {
        let input = tokio::select! {
            pending = inbox.recv() => {
                let Some((body, replier)) = pending else { break };
                repliers.insert(request, replier);
                Input::Request { request, body }
            }
            _ = ticks.tick() => Input::Tick,
        };
        let now_us = TimeUs(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX));
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut outputs = Vec::new();
            control.step(now_us, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Persist(persist) => inputs.push_back(Input::Persisted {
                        ticket: persist.ticket,
                    }),
                    Output::Answer { request, answer } => {
                        if let Some(replier) = repliers.remove(&request) {
                            let _ = replier.send(answer);
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    Ok(())
}
