//! Sends one HTTP/1 request to one server, on a connection of its own.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request,
    client::conn::http1,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use std::{io, time::Duration};
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Why a request got no complete answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection could not be opened.
    #[error("can't connect: {0}")]
    Connect(io::Error),
    /// The connection did not open within 1 s.
    #[error("can't connect in time")]
    ConnectTimeout,
    /// The answer was not complete within the limit of the request.
    #[error("no answer in time")]
    AnswerTimeout,
    /// The server's address, the path or the token can't be written into an HTTP request.
    #[error("the request is invalid: {0}")]
    Request(hyper::http::Error),
    /// The connection failed before the head of the answer was read.
    #[error("the connection failed: {0}")]
    Connection(hyper::Error),
    /// The body is larger than 64 MiB, or the connection failed within it.
    #[error("the answer is too large or incomplete")]
    Body,
}

/// An answer with any status code.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// The HTTP status code.
    pub status_code: u16,
    /// The whole body.
    pub body: Bytes,
}

/// An HTTP client that opens a connection for each request.
#[derive(Clone, Debug, Default)]
pub struct Client {
    token: Option<String>,
}

impl Client {
    /// A client that sends no token.
    #[must_use]
    pub const fn new() -> Self {
        Self { token: None }
    }

    /// Sets the token that requests carry as `Authorization: Bearer`.
    #[must_use]
    pub fn with_token(mut self, token: &str) -> Self {
        self.token = Some(token.to_owned());
        self
    }

    /// Sends a request to `server` (`IP:PORT`) and waits for the whole answer, at most
    /// `answer_timeout` after the connection has opened.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when there is no complete answer in time. An answer with an error status is
    /// returned as [`ClientAnswer`].
    pub async fn send(
        &self,
        server: &str,
        method: Method,
        path: &str,
        body: Bytes,
        answer_timeout: Duration,
    ) -> Result<ClientAnswer, ClientError> {
        let request = self.request(server, method, path, body)?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(server))
            .await
            .map_err(|_| ClientError::ConnectTimeout)?
            .map_err(ClientError::Connect)?;
        timeout(answer_timeout, exchange(stream, request))
            .await
            .map_err(|_| ClientError::AnswerTimeout)?
    }

    fn request(
        &self,
        server: &str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, server)
            .header(CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        request.body(Full::new(body)).map_err(ClientError::Request)
    }
}

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<ClientAnswer, ClientError> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(ClientError::Connection)?;
    let connection = tokio::spawn(connection);
    let answer = sender
        .send_request(request)
        .await
        .map_err(ClientError::Connection)?;
    let status_code = answer.status().as_u16();
    let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES)
        .collect()
        .await
        .map_err(|_| ClientError::Body)?
        .to_bytes();
    connection.abort();
    Ok(ClientAnswer { status_code, body })
}
