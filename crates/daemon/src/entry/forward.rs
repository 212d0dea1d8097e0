//! Sends a caller's request to one upstream and waits for the head of its answer.

use crate::{
    clock::Clock,
    http::{
        AnswerBody, Connection, Pool, Put, RequestBody, SendError, Take, connect,
        strip_hop_by_hop_headers,
    },
};
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    header::{self, HeaderName, HeaderValue},
};
use kameo::actor::ActorRef;
use route::{AnswerHead, Ending};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout_at};
use types::{IdMatch, TimeUs};

/// Time for a connection to open; after it, the upstream counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an idle connection to an upstream may be reused.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The header by which an upstream states that it did not run a request.
pub const DID_NOT_RUN: HeaderName = HeaderName::from_static("ow-did-not-run");

/// The header that tells the upstream how long the caller still waits, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("ow-deadline-ms");

/// The header with the ID of the attempt, unique over entries. A refusal repeats it.
const REQUEST: HeaderName = HeaderName::from_static("ow-request");

/// A caller's request in memory, so that it can be retried.
#[derive(Debug)]
pub struct Call {
    /// ID of the request, unique over entries. With the number of the attempt appended, it is the
    /// value of `ow-request`.
    pub id: String,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query for the upstream: those of the caller without `/s/SERVICE`.
    pub uri: Uri,
    /// The caller's headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether the answer is stored for resends: the request has an idempotency key.
    pub keeps_answer: bool,
}

/// The result of an attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The head of an answer arrived.
    Answer {
        /// The answer; its body has not been read.
        response: Response<AnswerBody>,
        /// The connection, which may return to the pool after the whole body.
        connection: Connection,
    },
    /// The attempt ended without an answer for the caller.
    Failed(Ending),
}

/// Destination and deadline of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// When the attempt must have ended.
    pub deadline_us: TimeUs,
    /// Number of the attempt within the request.
    pub attempt: u32,
}

/// Sends the request over a pooled or new connection and waits for the head of the answer.
pub async fn send_attempt(
    pool: &ActorRef<Pool>,
    clock: Clock,
    call: &Call,
    target: Target,
) -> Attempt {
    let deadline = clock.instant(target.deadline_us);
    let idle = pool
        .ask(Take {
            address: target.address,
            fresh: false,
        })
        .await
        .ok()
        .flatten();
    let is_on_used_connection = idle.is_some();
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
    let attempt_id = format!("{}.{}", call.id, target.attempt);
    let Some(request) = build_request(call, target, &attempt_id, clock) else {
        return Attempt::Failed(Ending::NotSent);
    };
    match timeout_at(deadline, connection.send(request)).await {
        Ok(Ok(response)) => {
            let head = AnswerHead {
                states_not_run: states_not_run(&response),
                id_match: IdMatch::of(answered_id(&response), Some(attempt_id.as_bytes())),
                is_on_used_connection,
            };
            let Some(ending) = head.ending() else {
                return Attempt::Answer {
                    response,
                    connection,
                };
            };
            // Otherwise the connection closes, with any copy of the refusal on it.
            if head.id_match == IdMatch::Same {
                finish_refusal(pool, target.address, response, connection, deadline).await;
            }
            Attempt::Failed(ending)
        }
        Ok(Err(SendError::NotSent)) => Attempt::Failed(Ending::NotSent),
        Ok(Err(SendError::Broken)) => Attempt::Failed(Ending::Broken),
        Err(_) => Attempt::Failed(Ending::Broken),
    }
}

fn build_request(
    call: &Call,
    target: Target,
    attempt_id: &str,
    clock: Clock,
) -> Option<Request<RequestBody>> {
    let mut request = Request::new(Either::Left(Full::new(call.body.clone())));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let headers = request.headers_mut();
    strip_hop_by_hop_headers(headers);
    let left_ms = target.deadline_us.since_us(clock.now_us()) / 1_000;
    headers.insert(
        header::HOST,
        HeaderValue::from_str(&target.address.to_string()).ok()?,
    );
    headers.insert(REQUEST, HeaderValue::from_str(attempt_id).ok()?);
    headers.insert(DEADLINE_MS, HeaderValue::from(left_ms));
    Some(request)
}

/// The ID of the attempt that an answer names.
fn answered_id(response: &Response<AnswerBody>) -> Option<&[u8]> {
    response.headers().get(REQUEST).map(HeaderValue::as_bytes)
}

fn states_not_run(response: &Response<AnswerBody>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(DID_NOT_RUN)
            .is_some_and(|value| value == "true")
}

/// Reads the body of a refusal to its end, so that the connection can be reused.
async fn finish_refusal(
    pool: &ActorRef<Pool>,
    address: SocketAddr,
    response: Response<AnswerBody>,
    connection: Connection,
    deadline: Instant,
) {
    if let Ok(Ok(_)) = timeout_at(deadline, response.into_body().collect()).await {
        let expires = Instant::now() + IDLE_TIMEOUT;
        let _ = pool
            .tell(Put {
                address,
                connection,
                fresh_until: expires,
                expires,
            })
            .await;
    }
}
