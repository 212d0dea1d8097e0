//! One attempt to run a client's request at an upstream.

use crate::{
    clock::Clock,
    gateway::{metrics::GatewayMetrics, stream::RestOfBody},
    http::{Body, Connection, Pool, Put, Take, connect, strip_hop_by_hop_headers},
};
use bytes::{Bytes, BytesMut};
use gate::{Ending, Load, Target};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming};
use kameo::actor::ActorRef;
use platform::{AnswerTerms, NotRun, address_attempt, answer_terms, request_terms};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A connection that takes longer to open counts as an upstream that can't be reached; it allows
/// for a lost packet on the longest way between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// So much of an answer is read before any of it goes to the client, so that one that breaks off
/// may still be replaced.
const HELD_MAX_BYTES: usize = 256 * 1024;

/// An idle connection is used again within this time where the upstream names none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// An idle connection is left alone for so long before the upstream may close it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// A client's request, kept so that it can be tried again.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How an attempt went.
#[derive(Debug)]
pub struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// What the upstream said of its load.
    pub load: Option<Load>,
    /// The upstream's answer, when one came.
    pub response: Option<Response<Body>>,
}

impl Outcome {
    const fn without_answer(ending: Ending) -> Self {
        Self {
            ending,
            load: None,
            response: None,
        }
    }
}

/// Makes attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// Owns the idle connections.
    pub pool: ActorRef<Pool>,
    /// The clock.
    pub clock: Clock,
    /// The counters.
    pub metrics: std::sync::Arc<GatewayMetrics>,
}

impl Attempts {
    /// Sends the request and reads the answer.
    pub async fn make(&self, call: &Call, target: &Target) -> Outcome {
        let deadline = self.clock.instant(target.deadline_us);
        let Some(mut connection) = self.connection(target, deadline).await else {
            return Outcome::without_answer(Ending::NotSent);
        };
        let Some(request) = self.outgoing(call, target) else {
            return Outcome::without_answer(Ending::NotSent);
        };
        let sent = timeout_at(deadline, connection.try_send_request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                let ending = match error.take_message() {
                    Some(_) => Ending::NotSent,
                    None => Ending::Broken,
                };
                return Outcome::without_answer(ending);
            }
            Err(_) => return Outcome::without_answer(Ending::TimedOut),
        };
        let attempt = request_terms(&call.headers).attempt;
        let terms = answer_terms(response.status(), response.headers(), attempt);
        let is_foreign =
            terms.names_other_attempt || (response.status().is_success() && !terms.is_signed);
        if is_foreign {
            return Outcome::without_answer(Ending::Broken);
        }
        let read = timeout_at(deadline, read(response)).await;
        let (response, is_whole) = match read {
            Ok(Some(read)) => read,
            Ok(None) => return Outcome::without_answer(Ending::Broken),
            Err(_) => return Outcome::without_answer(Ending::TimedOut),
        };
        if is_whole && !terms.closes {
            self.keep(target, connection, &terms).await;
        }
        Outcome {
            ending: ending(response.status(), &terms),
            load: terms.load,
            response: Some(response),
        }
    }

    async fn connection(&self, target: &Target, deadline: Instant) -> Option<Connection> {
        let address = target.address;
        let idle = self.pool.ask(Take { address }).await.ok().flatten();
        if idle.is_some() {
            return idle;
        }
        self.metrics.connections.inc();
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        connect(address, deadline).await.ok()
    }

    fn outgoing(&self, call: &Call, target: &Target) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        let left_ms = target.deadline_us.since_us(self.clock.now_us()) / 1_000;
        address_attempt(request.headers_mut(), &target.upstream, left_ms).ok()?;
        Some(request)
    }

    async fn keep(&self, target: &Target, connection: Connection, terms: &AnswerTerms) {
        let told = terms.keeps_idle_ms.map(Duration::from_millis);
        let told = told.map(|idle| idle.saturating_sub(IDLE_MARGIN));
        let idle = told.unwrap_or(IDLE_TIMEOUT).min(IDLE_TIMEOUT);
        let put = Put {
            address: target.address,
            connection,
            expires: Instant::now() + idle,
        };
        // A pool that has ended keeps no connection; this one closes.
        let _ = self.pool.tell(put).await;
    }
}

fn ending(status: StatusCode, terms: &AnswerTerms) -> Ending {
    match terms.not_run {
        Some(NotRun::OtherInstance) => Ending::Misdirected,
        Some(NotRun::Refused) => Ending::Full,
        None if status.is_server_error() => Ending::Failed,
        None => Ending::Answered,
    }
}

/// The answer with a body that is whole, or that goes on where it is too large to be held; none
/// when it broke off.
async fn read(response: Response<Incoming>) -> Option<(Response<Body>, bool)> {
    let (mut head, mut body) = response.into_parts();
    strip_hop_by_hop_headers(&mut head.headers);
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            held.extend_from_slice(&data);
        }
        if held.len() > HELD_MAX_BYTES {
            let rest = RestOfBody::new(held.freeze(), body).boxed();
            return Some((Response::from_parts(head, rest), false));
        }
    }
    let whole = Full::new(held.freeze()).map_err(|never| match never {});
    Some((Response::from_parts(head, whole.boxed()), true))
}
