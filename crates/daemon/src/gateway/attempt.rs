//! Sends a client's request to one upstream, reads the answer and classifies how the attempt ended.

use crate::{
    clock::Clock,
    gateway::{
        bodies::{Bodies, StoredBody},
        body_pacer::RequestBodies,
        metrics::GatewayMetrics,
        stream::StreamedBody,
    },
    http::{
        AnswerBody, Body, Connection, Pool, Put, RequestBody, SendError, Take, connect,
        strip_hop_by_hop_headers,
    },
};
use bytes::{Bytes, BytesMut};
use gate::{Ending, Load, Notices, Target};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Body as _,
    header::{CONTENT_LENGTH, HeaderValue},
};
use kameo::actor::ActorRef;
use platform::{
    AnswerHeaders, decode_answer_headers, decode_request_headers, set_attempt_headers,
    strip_not_run,
};
use std::time::Duration;
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, timeout_at},
};

/// Time for a connection to open; after it, the upstream counts as unreachable. It allows for one
/// lost packet on the longest path between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// How much of an answer is buffered before any of it goes to the client. An answer that breaks off
/// earlier can still be replaced by a retry; a larger one is streamed.
const BUFFER_MAX_BYTES: usize = 256 * 1024;

/// How much of an answer is buffered without room for it: as much as the head of a request may take.
const BUFFER_FREE_BYTES: usize = 16 * 1024;

/// How long an idle connection may be reused when the upstream advertises no idle timeout, and for a
/// request that may run only once in any case: an upstream may forget a connection earlier than it says.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long an idle connection may be reused at most, whatever the upstream advertises. A gateway of a
/// large fleet sends to one upstream every few seconds.
const ADVERTISED_IDLE_MAX: Duration = Duration::from_secs(15);

/// How long before the idle timeout that the upstream advertises a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// A client's request in memory, so that it can be retried.
#[derive(Debug)]
pub struct Call {
    /// Method of the client's request.
    pub method: Method,
    /// Path and query (origin form), forwarded unchanged.
    pub uri: Uri,
    /// The client's headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: StoredBody,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct Outcome {
    /// How the attempt ended, as the core counts it.
    pub ending: Ending,
    /// The status of the upstream's answer, also of one that is not usable.
    pub status: Option<StatusCode>,
    /// Load that the upstream reported, if any.
    pub load: Option<Load>,
    /// What the upstream asked for.
    pub notices: Notices,
    /// The upstream's answer, when a usable one came.
    pub response: Option<UpstreamAnswer>,
}

/// An upstream's answer.
#[derive(Debug)]
pub enum UpstreamAnswer {
    /// The whole answer.
    Whole(Response<Body>),
    /// The beginning of an answer that is too large to be buffered; its rest has yet to come.
    Streamed(Box<Response<StreamedBody>>),
}

impl Outcome {
    const fn without_answer(ending: Ending) -> Self {
        Self {
            ending,
            status: None,
            load: None,
            notices: Notices {
                is_leaving: false,
                backoff_ms: None,
            },
            response: None,
        }
    }
}

/// Runs attempts over pooled connections.
#[derive(Clone, Debug)]
pub struct AttemptRunner {
    /// The actor that owns the idle connections.
    pub pool: ActorRef<Pool>,
    /// The room for buffered answers.
    pub bodies: Bodies,
    /// Makes the bodies of requests to upstreams.
    pub request_bodies: RequestBodies,
    /// The clock of the core, for deadlines.
    pub clock: Clock,
    /// Metrics of the gateway.
    pub metrics: std::sync::Arc<GatewayMetrics>,
}

impl AttemptRunner {
    /// Sends the request to `target` and reads its answer, until the deadline of `target`. An answer
    /// that may not belong to the attempt counts as broken.
    pub async fn run(&self, call: &Call, target: &Target) -> Outcome {
        let deadline = self.clock.instant(target.deadline_us);
        let attempt = decode_request_headers(&call.headers).attempt;
        // Without an ID, a copy of an earlier answer on the connection could not be told from the answer.
        let connection = match attempt {
            Some(_) => self.connection(target, deadline).await,
            None => self.new_connection(target, deadline).await,
        };
        let Some(mut connection) = connection else {
            return Outcome::without_answer(Ending::NotSent);
        };
        let Some(request) = self.build_request(call, target) else {
            return Outcome::without_answer(Ending::NotSent);
        };
        let sent = timeout_at(deadline, connection.send(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => return Outcome::without_answer(Ending::NotSent),
            Ok(Err(SendError::Broken)) => return Outcome::without_answer(Ending::Broken),
            Err(_) => return Outcome::without_answer(Ending::TimedOut),
        };
        let (status, headers) = (response.status(), response.headers());
        let answer = decode_answer_headers(status, headers, attempt, &target.upstream);
        let ending = answer.head.ending();
        let status = Some(status);
        if ending == Ending::Broken {
            return Outcome {
                status,
                ..Outcome::without_answer(ending)
            };
        }
        let read = timeout_at(deadline, read_response(response, deadline, &self.bodies)).await;
        let notices = answer.notices;
        let without_body = |ending| Outcome {
            status,
            notices,
            ..Outcome::without_answer(ending)
        };
        let response = match read {
            Ok(Some(response)) => response,
            Ok(None) => return without_body(Ending::Broken),
            Err(_) => return without_body(Ending::TimedOut),
        };
        let response = match response {
            UpstreamAnswer::Whole(_) => {
                if !answer.closes_connection {
                    self.return_connection(target, connection, &answer).await;
                }
                response
            }
            UpstreamAnswer::Streamed(response) => UpstreamAnswer::Streamed(Box::new(
                response.map(|body| body.with_connection(connection)),
            )),
        };
        Outcome {
            ending,
            status,
            load: answer.load,
            notices,
            response: Some(response),
        }
    }

    /// An idle connection, or else a new one.
    async fn connection(&self, target: &Target, deadline: Instant) -> Option<Connection> {
        let address = target.address;
        let fresh = !target.idempotent;
        let idle = self.pool.ask(Take { address, fresh }).await;
        let idle = idle.ok().flatten();
        match idle {
            Some(connection) => Some(connection),
            None => self.new_connection(target, deadline).await,
        }
    }

    async fn new_connection(&self, target: &Target, deadline: Instant) -> Option<Connection> {
        self.metrics.connections.inc();
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        connect(target.address, deadline).await.ok()
    }

    fn build_request(&self, call: &Call, target: &Target) -> Option<Request<RequestBody>> {
        let mut request = Request::new(self.request_bodies.body(&call.body.bytes));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        // A body in chunks has no length of its own, and the client may have sent none.
        if !call.body.bytes.is_empty() {
            let length = HeaderValue::from(call.body.bytes.len());
            request.headers_mut().insert(CONTENT_LENGTH, length);
        }
        let left_ms = target.deadline_us.since_us(self.clock.now_us()) / 1_000;
        set_attempt_headers(
            request.headers_mut(),
            &target.upstream,
            left_ms,
            &target.caller,
        )
        .ok()?;
        Some(request)
    }

    async fn return_connection(
        &self,
        target: &Target,
        connection: Connection,
        answer: &AnswerHeaders,
    ) {
        let advertised = answer.keep_alive_ms.map(Duration::from_millis);
        let advertised = advertised.map(|idle| idle.saturating_sub(IDLE_MARGIN));
        let idle = advertised.unwrap_or(IDLE_TIMEOUT).min(ADVERTISED_IDLE_MAX);
        let now = Instant::now();
        let put = Put {
            address: target.address,
            connection,
            fresh_until: now + IDLE_TIMEOUT,
            expires: now + idle,
        };
        // When the pool has ended, the connection is dropped and closes.
        let _ = self.pool.tell(put).await;
    }
}

/// A buffered answer, with the room that it takes until the client has taken it.
struct BufferedAnswer {
    bytes: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for BufferedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the answer up to [`BUFFER_MAX_BYTES`], or as far as there is room; the rest of a larger one is
/// streamed until the deadline. `None` when the body broke off.
async fn read_response(
    response: Response<AnswerBody>,
    deadline: Instant,
    bodies: &Bodies,
) -> Option<UpstreamAnswer> {
    let (mut head, mut body) = response.into_parts();
    strip_hop_by_hop_headers(&mut head.headers);
    strip_not_run(&mut head.headers);
    let expected_bytes = body.size_hint().exact();
    let expected_bytes = expected_bytes.and_then(|it| usize::try_from(it).ok());
    let needed_bytes = expected_bytes.map_or(BUFFER_MAX_BYTES, |it| it.min(BUFFER_MAX_BYTES));
    let mut buffered = BytesMut::new();
    let mut room = None;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > BUFFER_FREE_BYTES && room.is_none() {
            room = bodies.answer_room(needed_bytes);
            // Growing by steps would take up to twice as much.
            let capacity_bytes = room.as_ref().map_or(0, |_| needed_bytes);
            buffered.reserve(capacity_bytes.saturating_sub(buffered.len()));
        }
        let is_within_room = room.is_some() || buffered.len() <= BUFFER_FREE_BYTES;
        if buffered.len() > BUFFER_MAX_BYTES || !is_within_room {
            let prefix = with_room(buffered, room);
            let streamed = StreamedBody::new(prefix, body, deadline);
            let response = Response::from_parts(head, streamed);
            return Some(UpstreamAnswer::Streamed(Box::new(response)));
        }
    }
    let whole = Full::new(with_room(buffered, room)).map_err(|never| match never {});
    let response = Response::from_parts(head, whole.boxed());
    Some(UpstreamAnswer::Whole(response))
}

fn with_room(buffered: BytesMut, room: Option<OwnedSemaphorePermit>) -> Bytes {
    let bytes = buffered.freeze();
    match room {
        Some(_) => Bytes::from_owner(BufferedAnswer { bytes, _room: room }),
        None => bytes,
    }
}
