//! A fake entry that forwards requests to one upstream and has one of several faults.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::json;
use standin::http::Connection;
use std::{convert::Infallible, net::SocketAddr};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
};
use types::{Announcement, UpstreamState};

/// What a fake entry does wrong with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Sends each request to the upstream twice.
    RunsTwice,
    /// Reports that a request did not run after it ran.
    DeniesTheRun,
    /// Returns the answer to another attempt.
    SwapsTheAnswer,
    /// Returns half of the answer.
    TruncatesTheAnswer,
    /// Closes the connection after 300 ms without an answer.
    ClosesTheConnection,
}

/// A running fake entry. Dropping it aborts its tasks.
pub struct FakeEntry {
    pub address: SocketAddr,
    pub announced: mpsc::UnboundedReceiver<Announcement>,
    _tasks: JoinSet<()>,
}

impl FakeEntry {
    pub async fn start(fault: Fault, upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (announce, announced) = mpsc::unbounded_channel();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let fake = Fake {
                    fault,
                    upstream,
                    address,
                    announce: announce.clone(),
                };
                connections.spawn(fake.serve(stream));
            }
        });
        Self {
            address,
            announced,
            _tasks: tasks,
        }
    }

    /// Waits for the next announcement with this state.
    pub async fn wait_for_announcement(&mut self, state: UpstreamState) -> Announcement {
        loop {
            let announcement = self.announced.recv().await.unwrap();
            if announcement.state == state {
                return announcement;
            }
        }
    }
}

#[derive(Clone)]
struct Fake {
    fault: Fault,
    upstream: SocketAddr,
    address: SocketAddr,
    announce: mpsc::UnboundedSender<Announcement>,
}

impl Fake {
    async fn serve(self, stream: TcpStream) {
        let closes = self.fault == Fault::ClosesTheConnection;
        let service = service_fn(move |request: Request<Incoming>| {
            let fake = self.clone();
            async move {
                let path = request.uri().path().to_owned();
                if closes && path.starts_with("/s/") {
                    std::future::pending::<()>().await;
                }
                Ok::<_, Infallible>(fake.answer(&path, request).await)
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let limit = std::time::Duration::from_millis(300);
        if closes {
            let _ = tokio::time::timeout(limit, connection).await;
        } else {
            let _ = connection.await;
        }
    }

    async fn answer(&self, path: &str, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if path.starts_with("/v1/lookup/") {
            let body = json!({"service": path.rsplit('/').next(), "lifetime_ms": 5000, "entries":
                [{"name": "fake", "address": self.address, "weight": 1}]});
            return Response::new(Full::from(body.to_string()));
        }
        if path.starts_with("/v1/upstreams/") {
            let bytes = request.into_body().collect().await.unwrap().to_bytes();
            let _ = self.announce.send(serde_json::from_slice(&bytes).unwrap());
            return Response::new(Full::from(
                r#"{"renew_within_ms": 80, "expires_within_ms": 240}"#,
            ));
        }
        self.forward(request.uri().query().unwrap_or_default())
            .await
    }

    async fn forward(&self, query: &str) -> Response<Full<Bytes>> {
        let query = match self.fault {
            Fault::SwapsTheAnswer => query.replace("attempt=1", "attempt=9"),
            _ => query.to_owned(),
        };
        let mut bytes = self.run(&query).await;
        if self.fault == Fault::RunsTwice {
            bytes = self.run(&query).await;
        }
        if self.fault == Fault::TruncatesTheAnswer {
            bytes.truncate(bytes.len() / 2);
        }
        let outcome = match self.fault {
            Fault::DeniesTheRun => "did-not-run",
            _ => "finished",
        };
        let response = Response::builder().header("ow-outcome", outcome);
        response.body(Full::from(bytes)).unwrap()
    }

    async fn run(&self, query: &str) -> Bytes {
        let request = Request::builder()
            .uri(format!("/run?{query}"))
            .header("host", "upstream")
            .body(Full::default())
            .unwrap();
        let response = Connection::new(self.upstream).send(request).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        response.into_body().collect().await.unwrap().to_bytes()
    }
}
