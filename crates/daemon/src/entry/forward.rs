//! One attempt to run a request at an upstream.

use crate::{
    clock::Clock,
    http::{Connection, Pool, Put, Take, connect, strip_hop_by_hop_headers},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{self, HeaderName, HeaderValue},
};
use kameo::actor::ActorRef;
use route::Ending;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout_at};
use types::TimeUs;

/// A connection that takes longer to open counts as an upstream that can't be reached.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An idle connection to an upstream is used again within this time.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The header by which an upstream states that it did not run a request.
const DID_NOT_RUN: HeaderName = HeaderName::from_static("ow-did-not-run");

/// The header that tells the upstream how long the caller still waits.
const DEADLINE_MS: HeaderName = HeaderName::from_static("ow-deadline-ms");

/// The header that names the attempt.
const REQUEST: HeaderName = HeaderName::from_static("ow-request");

/// A caller's request, kept so that it can be tried again.
#[derive(Debug)]
pub struct Call {
    /// Names the request to the upstream, unique over entries.
    pub name: String,
    /// The method.
    pub method: Method,
    /// The path and query that the upstream sees.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the answer is kept for resends.
    pub keeps_answer: bool,
}

/// How an attempt went on.
#[derive(Debug)]
pub enum Attempt {
    /// The upstream answers.
    Answer {
        /// The answer; its body is still to come.
        response: Response<Incoming>,
        /// The connection, to be given back once the body is whole.
        connection: Connection,
    },
    /// It ended without an answer.
    Failed(Ending),
}

/// Where and until when an attempt is made.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The upstream's address.
    pub address: SocketAddr,
    /// When the attempt must have ended.
    pub deadline_us: TimeUs,
    /// Counts the attempts of the request.
    pub attempt: u32,
}

/// Sends the request and waits for the head of the answer.
pub async fn attempt(pool: &ActorRef<Pool>, clock: Clock, call: &Call, target: Target) -> Attempt {
    let deadline = clock.instant(target.deadline_us);
    let idle = pool
        .ask(Take {
            address: target.address,
        })
        .await
        .ok()
        .flatten();
    let mut connection = match idle {
        Some(connection) => connection,
        None => match connect(
            target.address,
            deadline.min(Instant::now() + CONNECT_TIMEOUT),
        )
        .await
        {
            Ok(connection) => connection,
            Err(_) => return Attempt::Failed(Ending::NotSent),
        },
    };
    let Some(request) = outgoing(call, target, clock) else {
        return Attempt::Failed(Ending::NotSent);
    };
    match timeout_at(deadline, connection.try_send_request(request)).await {
        Ok(Ok(response)) if refuses(&response) => {
            refused(pool, target.address, response, connection, deadline).await;
            Attempt::Failed(Ending::Refused)
        }
        Ok(Ok(response)) => Attempt::Answer {
            response,
            connection,
        },
        Ok(Err(mut error)) => match error.take_message() {
            Some(_) => Attempt::Failed(Ending::NotSent),
            None => Attempt::Failed(Ending::Broken),
        },
        Err(_) => Attempt::Failed(Ending::Broken),
    }
}

fn outgoing(call: &Call, target: Target, clock: Clock) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let headers = request.headers_mut();
    strip_hop_by_hop_headers(headers);
    let left_ms = target.deadline_us.since_us(clock.now_us()) / 1_000;
    let name = format!("{}.{}", call.name, target.attempt);
    headers.insert(
        header::HOST,
        HeaderValue::from_str(&target.address.to_string()).ok()?,
    );
    headers.insert(REQUEST, HeaderValue::from_str(&name).ok()?);
    headers.insert(DEADLINE_MS, HeaderValue::from(left_ms));
    Some(request)
}

fn refuses(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(DID_NOT_RUN)
            .is_some_and(|value| value == "true")
}

/// Reads a refusal to its end, so that the connection can be used again.
async fn refused(
    pool: &ActorRef<Pool>,
    address: SocketAddr,
    response: Response<Incoming>,
    connection: Connection,
    deadline: Instant,
) {
    if let Ok(Ok(_)) = timeout_at(deadline, response.into_body().collect()).await {
        let _ = pool
            .tell(Put {
                address,
                connection,
                expires: Instant::now() + IDLE_TIMEOUT,
            })
            .await;
    }
}
