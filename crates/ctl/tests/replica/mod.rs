//! A control replica of one, behind HTTP, that loses answers when told to.

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

/// What happens to a request.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The request is carried out, but the connection breaks before the answer.
    LoseAnswer,
    /// The request is answered with this error.
    Refuse(ApiError),
}

type Question = (Request, oneshot::Sender<Result<Answer, ApiError>>);

/// The replica's address and the faults that come next.
#[derive(Clone)]
pub struct Replica {
    pub address: String,
    pub faults: Arc<Mutex<VecDeque<Fault>>>,
    pub bodies: Arc<Mutex<Vec<Bytes>>>,
    questions: mpsc::UnboundedSender<Question>,
}

/// Starts a replica on a free port of the loopback address.
pub async fn start() -> Replica {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let (questions, inbox) = mpsc::unbounded_channel();
    tokio::spawn(run_control(inbox));
    let replica = Replica {
        address: listener.local_addr().expect("an address").to_string(),
        faults: Arc::default(),
        bodies: Arc::default(),
        questions,
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
            (_, Ok(request)) => self.ask(request).await,
        };
        if matches!(fault, Some(Fault::LoseAnswer)) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let encoded = encode(&answer);
        let mut response = Response::new(Full::new(Bytes::from(encoded.body)));
        *response.status_mut() = encoded.status_code.try_into().map_err(io::Error::other)?;
        Ok(response)
    }

    async fn ask(&self, request: Request) -> Result<Answer, ApiError> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.questions.send((request, sender));
        receiver.await.unwrap_or(Err(ApiError::Unavailable))
    }
}

fn founded() -> Control {
    let id = ReplicaId {
        name: "control-1".to_owned(),
        incarnation: 1,
    };
    let founders = Membership {
        voters: [id.clone()].into(),
        ..Membership::default()
    };
    let raft = RaftConfig {
        id,
        heartbeat_us: 5_000,
        election_us: 10_000,
        append_max_bytes: 65_536,
        snapshot_part_bytes: 65_536,
        seed: 1,
    };
    let config = ControlConfig {
        raft,
        http_addresses: BTreeMap::new(),
        snapshot_entries: 1_000,
        request_timeout_us: 1_000_000,
        http_port: None,
        learns_members: false,
        instance_silence_us: 10_000_000,
    };
    let restored = Restored {
        founders: Some(founders),
        ..Restored::default()
    };
    Control::new(config, restored, TimeUs(0))
}

async fn run_control(mut inbox: mpsc::UnboundedReceiver<Question>) -> Result<(), Infallible> {
    let mut control = founded();
    let mut askers = BTreeMap::new();
    let mut ticks = interval(Duration::from_millis(5));
    let started = Instant::now();
    for request in 1.. {
        let input = tokio::select! {
            question = inbox.recv() => {
                let Some((body, asker)) = question else { break };
                askers.insert(request, asker);
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
                        if let Some(asker) = askers.remove(&request) {
                            let _ = asker.send(answer);
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    Ok(())
}
