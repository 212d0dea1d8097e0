//! A small HTTP client: one connection to one address.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::Value;
use std::{io, net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{error::Elapsed, timeout},
};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a request got no whole answer.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection could not be opened.
    #[error("could not connect")]
    Connect(#[source] io::Error),
    /// The connection closed before any byte of the request left.
    #[error("the request was not sent")]
    NotSent(#[source] hyper::Error),
    /// The connection broke after a byte of the request may have left.
    #[error("the connection broke")]
    Broken(#[from] hyper::Error),
    /// No answer came in time.
    #[error("no answer in time")]
    TimedOut(#[from] Elapsed),
    /// The request could not be built.
    #[error("invalid request")]
    Invalid(#[from] hyper::http::Error),
    /// The body is no JSON.
    #[error("the body is no JSON")]
    Json(#[from] serde_json::Error),
}

impl HttpError {
    /// Whether no byte of the request left.
    #[must_use]
    pub const fn not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_) | Self::Invalid(_))
    }
}

/// A connection that opens when it is needed and is kept while it lasts.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Connection {
    /// A connection to `address`, not opened yet.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// [`HttpError`] when there is no answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let mut sender = match self.take_open().await {
            Some(sender) => sender,
            None => open(self.address).await?,
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.sender = Some(sender);
                Ok(response)
            }
            Err(mut failed) => {
                let unsent = failed.take_message().is_some();
                let error = failed.into_error();
                if unsent {
                    return Err(HttpError::NotSent(error));
                }
                Err(HttpError::Broken(error))
            }
        }
    }

    async fn take_open(&mut self) -> Option<SendRequest<Full<Bytes>>> {
        let mut sender = self.sender.take()?;
        sender.ready().await.ok()?;
        Some(sender)
    }

    /// Sends a request with a JSON body, or none, and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// [`HttpError`] when there is no whole answer in time.
    pub async fn json<B: Serialize + Sync>(
        &mut self,
        method: Method,
        path: &str,
        body: Option<&B>,
        limit: Duration,
    ) -> Result<(StatusCode, Value), HttpError> {
        let bytes = match body {
            Some(body) => Bytes::from(serde_json::to_vec(body)?),
            None => Bytes::new(),
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(bytes))?;
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            let bytes = response.into_body().collect().await?.to_bytes();
            Ok::<_, HttpError>((status, serde_json::from_slice(&bytes)?))
        };
        timeout(limit, exchange).await?
    }
}

/// Gets a JSON answer over a connection of its own.
///
/// # Errors
///
/// [`HttpError`] when there is no whole answer in time.
pub async fn get(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(StatusCode, Value), HttpError> {
    Connection::new(address)
        .json::<()>(Method::GET, path, None, limit)
        .await
}

async fn open(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, HttpError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(HttpError::Connect)?;
    stream.set_nodelay(true).map_err(HttpError::Connect)?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(HttpError::NotSent)?;
    tokio::spawn(connection);
    Ok(sender)
}
