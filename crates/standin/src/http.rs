//! A small HTTP/1 client with one connection to one address. Its errors tell whether any byte of a
//! request can have left.

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

/// The timeout of a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a request got no complete answer.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection could not be opened.
    #[error("could not connect")]
    Connect(#[source] io::Error),
    /// The handshake failed, or the connection closed before any byte of the request was sent.
    #[error("the request was not sent")]
    NotSent(#[source] hyper::Error),
    /// The connection broke after a byte of the request may have been sent.
    #[error("the connection broke")]
    Broken(#[from] hyper::Error),
    /// The complete answer did not come in time.
    #[error("no answer in time")]
    TimedOut(#[from] Elapsed),
    /// The request could not be built.
    #[error("could not build the request")]
    Invalid(#[from] hyper::http::Error),
    /// The body of the request could not be encoded, or the answer's body is not valid JSON.
    #[error("invalid JSON in a body")]
    Json(#[from] serde_json::Error),
}

impl HttpError {
    /// Whether certainly no byte of the request was sent.
    #[must_use]
    pub const fn not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NotSent(_) | Self::Invalid(_))
    }
}

/// A connection to one address. It is opened on the first request, and again after it has closed.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Connection {
    /// Prepares a connection to `address` without opening it.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Sends a request and returns the answer once its head has arrived. Only opening a connection
    /// has a timeout.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no answer, with [`HttpError::NotSent`] if nothing was sent.
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

    /// Sends a request with a JSON body, or none, and parses the JSON answer, of any status.
    ///
    /// # Errors
    ///
    /// [`HttpError`] when there is no complete JSON answer within the timeout.
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

/// Sends a GET request over a new connection and parses the JSON answer, of any status.
///
/// # Errors
///
/// [`HttpError`] when there is no complete JSON answer within the timeout.
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
