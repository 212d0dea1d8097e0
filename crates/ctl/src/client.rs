//! One HTTP request to one server.

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

/// A request that got no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection did not open.
    #[error("can't connect: {0}")]
    Connect(io::Error),
    /// The connection did not open in time.
    #[error("can't connect in time")]
    ConnectTimeout,
    /// The answer did not come in time.
    #[error("no answer in time")]
    AnswerTimeout,
    /// The request can't be written as HTTP.
    #[error("the request is invalid: {0}")]
    Request(hyper::http::Error),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The answer is too large or broke off.
    #[error("the answer is too large or broke off")]
    Body,
}

/// An answer with any status code.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// The status code.
    pub status_code: u16,
    /// The body.
    pub body: Bytes,
}

/// Opens a connection for each request.
#[derive(Clone, Debug, Default)]
pub struct Client {
    token: Option<String>,
}

impl Client {
    /// A client that shows no token.
    #[must_use]
    pub const fn new() -> Self {
        Self { token: None }
    }

    /// A client that shows a token.
    #[must_use]
    pub fn with_token(mut self, token: &str) -> Self {
        self.token = Some(token.to_owned());
        self
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// [`ClientError`] when there is no whole answer in time.
    pub async fn send(
        &self,
        server: &str,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<ClientAnswer, ClientError> {
        let request = self.request(server, method, path, body)?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(server))
            .await
            .map_err(|_| ClientError::ConnectTimeout)?
            .map_err(ClientError::Connect)?;
        timeout(wait, exchange(stream, request))
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
        .map_err(ClientError::Broken)?;
    let connection = tokio::spawn(connection);
    let answer = sender
        .send_request(request)
        .await
        .map_err(ClientError::Broken)?;
    let status_code = answer.status().as_u16();
    let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES)
        .collect()
        .await
        .map_err(|_| ClientError::Body)?
        .to_bytes();
    connection.abort();
    Ok(ClientAnswer { status_code, body })
}
