//! The HTTP interface of a gateway towards clients.

use crate::{
    clock::Clock,
    gateway::{
        actor::{Arrive, Decided, Ended, Follows, GatewayActor, Left, Look},
        attempt::{Attempts, Call},
        metrics::GatewayMetrics,
    },
    http::{Body, json, metrics, read_body, strip_hop_by_hop_headers, with_body},
};
use gate::{Busy, Decision, Ending, Failure, Load, Next, Refusal, Target};
use hyper::{
    Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use kameo::actor::ActorRef;
use plan::Limits;
use platform::request_terms;
use prometheus_client::registry::Registry;
use serde_json::json;
use slog::{Logger, info};
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use tokio::sync::watch;
use types::{ApiError, TimeUs};

/// The largest body of a client's request, whatever the plan says.
const REQUEST_MAX_BYTES: usize = 64 * 1024 * 1024;

/// When a client of a gateway whose core has ended may come back, in milliseconds.
const STOPPED_RETRY_MS: u64 = 100;

/// What the handlers of clients' requests need.
#[derive(Clone, Debug)]
pub struct GatewayHttp {
    /// The task that owns the core.
    pub actor: ActorRef<GatewayActor>,
    /// Makes attempts.
    pub attempts: Attempts,
    /// The clock.
    pub clock: Clock,
    /// The counters.
    pub metrics: Arc<GatewayMetrics>,
    /// What clients may send; unknown before the first plan.
    pub limits: watch::Receiver<Option<Limits>>,
    /// The number of the next request.
    pub next_request: Arc<AtomicU64>,
    /// Whether the gateway stops, so that connections are not kept.
    pub stopping: watch::Receiver<bool>,
    /// The log.
    pub log: Logger,
}

/// A client's request from before the core knows it until it is settled; ends it when the client
/// leaves.
struct InFlight {
    actor: ActorRef<GatewayActor>,
    request: u64,
    is_open: bool,
}

impl InFlight {
    /// Offers the request to the core; what becomes of it.
    async fn arrive(&mut self, arrive: Arrive) -> Option<Decision> {
        let Decided(decision) = self.actor.ask(arrive).await.ok()?;
        self.is_open = matches!(decision, Decision::Forward(_));
        Some(decision)
    }

    /// Ends the attempt; what follows.
    async fn end(&mut self, ending: Ending, load: Option<Load>) -> Next {
        let ended = Ended {
            request: self.request,
            ending,
            load,
        };
        let next = match self.actor.ask(ended).await {
            Ok(Follows(next)) => next,
            Err(_) => Next::GiveUp(Failure::Unknown),
        };
        self.is_open = matches!(next, Next::Retry(_));
        next
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.is_open {
            let request = self.request;
            // An actor that has ended has no state left to correct.
            let _ = self.actor.tell(Left { request }).try_send();
        }
    }
}

impl GatewayHttp {
    /// Answers a client's request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        self.metrics.requests.inc();
        let came_us = self.clock.now_us();
        let mut response = self.serve(request, came_us).await;
        if *self.stopping.borrow() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn serve(&self, request: Request<Incoming>, came_us: TimeUs) -> Response<Body> {
        let (mut head, body) = request.into_parts();
        let limits = *self.limits.borrow();
        if limits.is_some_and(|limits| head_bytes(&head) > limits.header_max_bytes) {
            return status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        let body_max_bytes = limits
            .and_then(|limits| usize::try_from(limits.body_max_bytes).ok())
            .map_or(REQUEST_MAX_BYTES, |limit| limit.min(REQUEST_MAX_BYTES));
        let body = match read_body(body, body_max_bytes).await {
            Ok(body) => body,
            Err(ApiError::BodyTooLarge { .. }) => return status(StatusCode::PAYLOAD_TOO_LARGE),
            Err(_) => return status(StatusCode::REQUEST_TIMEOUT),
        };
        let mut in_flight = InFlight {
            actor: self.actor.clone(),
            request: self.next_request.fetch_add(1, Ordering::Relaxed),
            is_open: true,
        };
        let arrive = arrive(in_flight.request, &head.headers, &head.uri);
        let Some(decision) = in_flight.arrive(arrive).await else {
            return refused(STOPPED_RETRY_MS);
        };
        let target = match decision {
            Decision::NoRoute => return status(StatusCode::NOT_FOUND),
            Decision::Refuse {
                refusal,
                retry_after_ms,
                best,
            } => {
                self.log_refusal(&head.headers, refusal, retry_after_ms, best.as_ref());
                return refused(retry_after_ms);
            }
            Decision::Forward(target) => target,
        };
        strip_hop_by_hop_headers(&mut head.headers);
        let call = Call {
            method: head.method,
            uri: origin_form(&head.uri),
            headers: head.headers,
            body,
        };
        self.run(&call, target, in_flight, came_us).await
    }

    /// Makes attempts until one is delivered or none is left.
    async fn run(
        &self,
        call: &Call,
        mut target: Target,
        mut in_flight: InFlight,
        came_us: TimeUs,
    ) -> Response<Body> {
        let mut failed = false;
        let response = loop {
            let outcome = self.attempts.make(call, &target).await;
            let next = in_flight.end(outcome.ending, outcome.load).await;
            if outcome.ending != Ending::Answered {
                failed = true;
                self.log_attempt(call, &target, outcome.ending, came_us);
            }
            match (next, outcome.response) {
                (Next::Deliver, Some(response)) => break response,
                (Next::Retry(again), _) => {
                    self.metrics.repeats.inc();
                    target = again;
                }
                (Next::GiveUp(Failure::NotRun { retry_after_ms }), _) => {
                    break refused(retry_after_ms);
                }
                (Next::GiveUp(Failure::TimedOut), _) => break status(StatusCode::GATEWAY_TIMEOUT),
                (Next::GiveUp(Failure::Unknown) | Next::Deliver, _) => {
                    break status(StatusCode::BAD_GATEWAY);
                }
            }
        };
        let taken_us = self.clock.now_us().since_us(came_us);
        if response.status().is_success() {
            self.metrics.note_answered(&target, taken_us);
        }
        if failed {
            info!(self.log, "request ended";
                "request" => request_name(&call.headers),
                "status" => response.status().as_u16(),
                "attempts" => target.attempt,
                "elapsed_ms" => taken_us / 1_000);
        }
        response
    }

    fn log_refusal(
        &self,
        headers: &hyper::HeaderMap,
        refusal: Refusal,
        retry_after_ms: u64,
        best: Option<&Busy>,
    ) {
        self.metrics.count_refused(refusal);
        info!(self.log, "request refused";
            "request" => request_name(headers),
            "cause" => refusal.as_str(),
            "retry_after_ms" => retry_after_ms,
            "upstream" => best.map(|best| best.upstream.to_string()),
            "wait_ms" => best.map(|best| best.wait_ms),
            "wait_max_ms" => best.map(|best| best.wait_max_ms));
    }

    fn log_attempt(&self, call: &Call, target: &Target, ending: Ending, came_us: TimeUs) {
        info!(self.log, "attempt failed";
            "request" => request_name(&call.headers),
            "ending" => ending.as_str(),
            "upstream" => target.upstream.as_str(),
            "address" => %target.address,
            "attempt" => target.attempt,
            "idempotent" => target.idempotent,
            "expected_wait_ms" => target.expected_wait_ms,
            "expected_run_ms" => target.expected_run_ms,
            "elapsed_ms" => self.clock.now_us().since_us(came_us) / 1_000);
    }
}

/// The interface for readiness and counters.
#[derive(Clone, Debug)]
pub struct StatusHttp {
    /// The task that owns the core.
    pub actor: ActorRef<GatewayActor>,
    /// Every counter of the process.
    pub registry: Arc<Registry>,
}

impl StatusHttp {
    /// Answers a question.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let answer = match request.uri().path() {
            "/metrics" => metrics(&self.registry),
            "/ready" => self.ready().await,
            _ => Err(ApiError::NotFound),
        };
        answer.unwrap_or_else(|failure| crate::http::error(&failure))
    }

    async fn ready(&self) -> Result<Response<Body>, ApiError> {
        let seen = self.actor.ask(Look).await.map_err(|_| ApiError::TooBusy)?;
        let status = match seen.is_ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let body = json!({
            "ready": seen.is_ready,
            "plan_version": seen.plan_version,
            "revision": seen.revision,
            "in_flight": seen.in_flight,
        });
        Ok(json(status, &body))
    }
}

fn arrive(request: u64, headers: &hyper::HeaderMap, uri: &Uri) -> Arrive {
    let terms = request_terms(headers);
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    Arrive {
        request,
        host: host.or(uri.host()).unwrap_or_default().to_owned(),
        path: uri.path().to_owned(),
        wait_ms: terms.wait_ms,
        object: terms.object,
    }
}

/// The size of a request's head as it crossed the wire, without white space that may be left out.
fn head_bytes(head: &Parts) -> u64 {
    const LINE_EXTRA: usize = "HTTP/1.1\r\n  ".len();
    const FIELD_EXTRA: usize = ": \r\n".len();
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_EXTRA);
    let target = head.uri.path_and_query().map_or(0, |it| it.as_str().len());
    let line = head.method.as_str().len() + target + LINE_EXTRA;
    (line + fields.sum::<usize>()) as u64
}

fn request_name(headers: &hyper::HeaderMap) -> String {
    let attempt = request_terms(headers).attempt;
    let name = attempt.and_then(|name| name.to_str().ok());
    name.unwrap_or_default().to_owned()
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

fn status(status: StatusCode) -> Response<Body> {
    with_body(status, "text/plain", Vec::new())
}

/// The answer to a request that did not run and will not.
fn refused(retry_after_ms: u64) -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1e3);
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}
