//! The HTTP interfaces of a gateway: the one that forwards clients' requests, and the status
//! interface for readiness and metrics.

use crate::{
    clock::Clock,
    gateway::{
        actor::{DecisionReply, GatewayActor, QueryStatus, RequestArrived},
        attempt::{AttemptRunner, Call, UpstreamAnswer},
        bodies::{Bodies, ReadError},
        guard::RequestGuard,
        metrics::GatewayMetrics,
        progress::Progress,
        stream::{Delivery, StreamedBody},
    },
    http::{Body, Client, ClientBody, json, metrics, strip_hop_by_hop_headers, with_body},
};
use gate::{BusyUpstream, Decision, Ending, Failure, Load, NextStep, Refusal, Target};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode, Uri,
    header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE},
    http::request::Parts,
};
use kameo::actor::ActorRef;
use plan::Limits;
use platform::decode_request_headers;
use prometheus_client::registry::Registry;
use serde_json::json;
use slog::{Logger, info};
use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};
use types::{ApiError, TimeUs};

/// Largest body of a client's request, also when the plan allows a larger one.
const REQUEST_MAX_BYTES: usize = 64 * 1024 * 1024;

/// `retry-after` for clients of a gateway whose actor has ended, in milliseconds.
const STOPPED_RETRY_MS: u64 = 100;

/// `retry-after` for clients whose request's body found no room, in milliseconds: about the time that
/// large bodies take to be sent on and answered.
const NO_ROOM_RETRY_MS: u64 = 1_000;

/// Handles clients' requests; cloned for each request.
#[derive(Clone, Debug)]
pub struct GatewayHttp {
    /// The actor that owns the core.
    pub actor: ActorRef<GatewayActor>,
    /// Sends requests to upstreams.
    pub attempt_runner: AttemptRunner,
    /// The room for requests' bodies.
    pub bodies: Bodies,
    /// The clock of the core.
    pub clock: Clock,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
    /// The plan's limits on clients' requests; `None` before the first plan.
    pub limits: watch::Receiver<Option<Limits>>,
    /// ID of the next request.
    pub next_request: Arc<AtomicU64>,
    /// Set once the gateway is stopping: when every request must have its answer. Responses then
    /// carry `connection: close`.
    pub answers_until: watch::Receiver<Option<Instant>>,
    /// Logger of the process.
    pub log: Logger,
}

impl GatewayHttp {
    /// Answers a client's request. Never fails: errors become responses without a body.
    pub async fn handle(self, request: Request<ClientBody>, client: Client) -> Response<Body> {
        self.metrics.requests.inc();
        let id = attempt_id(request.headers());
        let mut progress = Progress::new(id, client, self.clock, &self.log);
        let mut response = self.serve(request, &mut progress).await;
        progress.finish();
        if self.answers_until.borrow().is_some() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn serve(&self, request: Request<ClientBody>, progress: &mut Progress) -> Response<Body> {
        let arrived_us = progress.arrived_us();
        let (mut head, body) = request.into_parts();
        let limits = *self.limits.borrow();
        if limits.is_some_and(|limits| head_bytes(&head) > limits.header_max_bytes) {
            return empty(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        let body_max_bytes = limits
            .and_then(|limits| usize::try_from(limits.body_max_bytes).ok())
            .map_or(REQUEST_MAX_BYTES, |limit| limit.min(REQUEST_MAX_BYTES));
        let timeout_ms = decode_request_headers(&head.headers).timeout_ms;
        let client_timeout = timeout_ms.map(Duration::from_millis);
        let read = self.bodies.read(body, body_max_bytes, client_timeout);
        let refuse = |refusal, retry_after_ms| {
            self.log_refusal(&head.headers, refusal, retry_after_ms, None, None);
            not_run_response(retry_after_ms)
        };
        let body = match self.until_stop_ends(read).await {
            Some(Ok(body)) => body,
            Some(Err(ReadError::TooLarge)) => return empty(StatusCode::PAYLOAD_TOO_LARGE),
            Some(Err(ReadError::Incomplete)) => return empty(StatusCode::REQUEST_TIMEOUT),
            Some(Err(ReadError::NoRoom)) => return refuse(Refusal::Memory, NO_ROOM_RETRY_MS),
            None => return refuse(Refusal::Stopping, STOPPED_RETRY_MS),
        };
        self.metrics.record_body_room(self.bodies.free_bytes());
        progress.await_decision();
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let mut guard = RequestGuard::new(self.actor.clone(), request);
        let arrival = arrival(guard.request(), &head.headers, &head.uri);
        let has_key = arrival.key.is_some();
        let Some(DecisionReply { decision, tenant }) = guard.admit(arrival).await else {
            return not_run_response(STOPPED_RETRY_MS);
        };
        let target = match decision {
            Decision::NoRoute => return empty(StatusCode::NOT_FOUND),
            Decision::Unauthorized => {
                self.log_unauthorized(&head.headers, has_key);
                return unauthorized();
            }
            Decision::Refuse {
                refusal,
                retry_after_ms,
                best,
            } => {
                let (headers, tenant) = (&head.headers, tenant.as_deref());
                self.log_refusal(headers, refusal, retry_after_ms, best.as_ref(), tenant);
                return refusal_response(refusal, retry_after_ms);
            }
            // The guard waits for the decision that follows.
            Decision::Wait => return not_run_response(STOPPED_RETRY_MS),
            Decision::Forward(target) => target,
        };
        strip_hop_by_hop_headers(&mut head.headers);
        let call = Call {
            method: head.method,
            uri: origin_form(&head.uri),
            headers: head.headers,
            body,
        };
        let attempts = self.run_attempts(&call, target, guard, progress);
        match self.until_stop_ends(attempts).await {
            Some(response) => response,
            None => {
                info!(self.log, "request ended";
                    "request" => attempt_id(&call.headers),
                    "tenant" => tenant,
                    "status" => StatusCode::GATEWAY_TIMEOUT.as_u16(),
                    "cause" => Refusal::Stopping.as_str(),
                    "elapsed_ms" => self.clock.now_us().since_us(arrived_us) / 1_000);
                empty(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    /// Waits for `work`, but no longer than a stopping gateway has for its answers: `None` then, and
    /// the work is dropped, with its connection to an upstream.
    async fn until_stop_ends<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut answers_until = self.answers_until.clone();
        let stop_ends = async {
            match answers_until.wait_for(Option::is_some).await.map(|it| *it) {
                Ok(Some(end)) => sleep_until(end).await,
                // The sender is gone only with the gateway itself.
                Ok(None) | Err(_) => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            done = work => Some(done),
            () = stop_ends => None,
        }
    }

    /// Makes attempts as the core decides, until it delivers an answer or gives up.
    async fn run_attempts(
        &self,
        call: &Call,
        mut target: Target,
        mut guard: RequestGuard,
        progress: &mut Progress,
    ) -> Response<Body> {
        let arrived_us = progress.arrived_us();
        let mut failed = false;
        let response = loop {
            progress.begin_attempt(&target);
            let outcome = self.attempt_runner.run(call, &target).await;
            guard.report_notices(outcome.notices).await;
            let response = match (outcome.ending, outcome.response) {
                (Ending::Answered, Some(UpstreamAnswer::Streamed(response))) => {
                    let delivery = self.delivery(call, target, guard, outcome.load, progress);
                    return stream(*response, Some(delivery));
                }
                (_, Some(UpstreamAnswer::Streamed(response))) => Some(stream(*response, None)),
                (_, Some(UpstreamAnswer::Whole(response))) => Some(response),
                (_, None) => None,
            };
            progress.begin_answer();
            let next = guard.end_attempt(outcome.ending, outcome.load).await;
            if outcome.ending != Ending::Answered {
                failed = true;
                self.log_failed_attempt(call, &target, outcome.ending, outcome.status, arrived_us);
            }
            match (next, response) {
                (NextStep::Deliver, Some(response)) => break response,
                (NextStep::Retry(retry), _) => {
                    self.metrics.retries.inc();
                    target = retry;
                }
                (NextStep::GiveUp(Failure::NotRun { retry_after_ms }), _) => {
                    break not_run_response(retry_after_ms);
                }
                (NextStep::GiveUp(Failure::TimedOut), _) => {
                    break empty(StatusCode::GATEWAY_TIMEOUT);
                }
                (NextStep::GiveUp(Failure::Unknown) | NextStep::Deliver, _) => {
                    break empty(StatusCode::BAD_GATEWAY);
                }
            }
        };
        let elapsed_us = self.clock.now_us().since_us(arrived_us);
        if response.status().is_success() {
            self.metrics.observe_answer(&target, elapsed_us);
        }
        if failed {
            info!(self.log, "request ended";
                "request" => attempt_id(&call.headers),
                "tenant" => target.caller.tenant(),
                "status" => response.status().as_u16(),
                "attempts" => target.attempt,
                "elapsed_ms" => elapsed_us / 1_000);
        }
        response
    }

    /// What is reported at the end of an answer that is streamed to the client.
    fn delivery(
        &self,
        call: &Call,
        target: Target,
        guard: RequestGuard,
        load: Option<Load>,
        progress: &Progress,
    ) -> Delivery {
        Delivery {
            guard,
            load,
            target,
            attempt_id: attempt_id(&call.headers),
            client: progress.client().clone(),
            arrived_us: progress.arrived_us(),
            clock: self.clock,
            metrics: Arc::clone(&self.metrics),
            log: self.log.clone(),
        }
    }

    fn log_refusal(
        &self,
        headers: &hyper::HeaderMap,
        refusal: Refusal,
        retry_after_ms: u64,
        best: Option<&BusyUpstream>,
        tenant: Option<&str>,
    ) {
        self.metrics
            .count_refused(refusal, best.map(|best| best.priority));
        info!(self.log, "request refused";
            "request" => attempt_id(headers),
            "tenant" => tenant,
            "cause" => refusal.as_str(),
            "retry_after_ms" => retry_after_ms,
            "tenant" => tenant,
            "upstream" => best.map(|best| best.upstream.to_string()),
            "wait_ms" => best.map(|best| best.wait_ms),
            "wait_max_ms" => best.map(|best| best.wait_max_ms),
            "priority" => best.map(|best| best.priority),
            "share_percent" => best.and_then(|best| best.share_percent));
    }

    /// Counts and logs a request that is answered with 401. Nothing of its key is written.
    fn log_unauthorized(&self, headers: &hyper::HeaderMap, has_key: bool) {
        let cause = match has_key {
            true => "unknown-key",
            false => "no-key",
        };
        self.metrics.count_unauthorized(cause);
        info!(self.log, "request refused"; "request" => attempt_id(headers), "cause" => cause);
    }

    fn log_failed_attempt(
        &self,
        call: &Call,
        target: &Target,
        ending: Ending,
        status: Option<StatusCode>,
        arrived_us: TimeUs,
    ) {
        info!(self.log, "attempt failed";
            "request" => attempt_id(&call.headers),
            "tenant" => target.caller.tenant(),
            "ending" => ending.as_str(),
            "upstream_status" => status.map(|it| it.as_u16()),
            "upstream" => target.upstream.as_str(),
            "address" => %target.address,
            "attempt" => target.attempt,
            "idempotent" => target.idempotent,
            "expected_wait_ms" => target.expected_wait_ms,
            "expected_run_ms" => target.expected_run_ms,
            "elapsed_ms" => self.clock.now_us().since_us(arrived_us) / 1_000);
    }
}

/// Handles the status interface: `/ready` and `/metrics`.
#[derive(Clone, Debug)]
pub struct StatusHttp {
    /// The actor that owns the core.
    pub actor: ActorRef<GatewayActor>,
    /// Metrics that `/metrics` returns.
    pub registry: Arc<Registry>,
}

impl StatusHttp {
    /// Routes a request and returns its response.
    pub async fn handle(self, request: Request<ClientBody>) -> Response<Body> {
        let answer = match request.uri().path() {
            "/metrics" => metrics(&self.registry),
            "/ready" => self.ready().await,
            _ => Err(ApiError::NotFound),
        };
        answer.unwrap_or_else(|failure| crate::http::error(&failure))
    }

    async fn ready(&self) -> Result<Response<Body>, ApiError> {
        let gateway = self
            .actor
            .ask(QueryStatus)
            .await
            .map_err(|_| ApiError::TooBusy)?;
        let status = match gateway.is_ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let body = json!({
            "ready": gateway.is_ready,
            "plan_version": gateway.plan_version,
            "revision": gateway.revision,
            "in_flight": gateway.in_flight,
        });
        Ok(json(status, &body))
    }
}

fn arrival(request: u64, headers: &hyper::HeaderMap, uri: &Uri) -> RequestArrived {
    let request_headers = decode_request_headers(headers);
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    RequestArrived {
        request,
        host: host.or(uri.host()).unwrap_or_default().to_owned(),
        path: uri.path().to_owned(),
        timeout_ms: request_headers.timeout_ms,
        object: request_headers.object,
        key: request_headers.key,
        decided: None,
    }
}

/// The size in bytes of a request's head on the wire, without optional white space.
fn head_bytes(head: &Parts) -> u64 {
    const LINE_EXTRA: usize = "HTTP/1.1\r\n  ".len();
    const FIELD_EXTRA: usize = ":\r\n".len();
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_EXTRA);
    let target = head.uri.path_and_query().map_or(0, |it| it.as_str().len());
    let line = head.method.as_str().len() + target + LINE_EXTRA;
    (line + fields.sum::<usize>()) as u64
}

/// The attempt ID that the client sent, for the log; empty when there is none.
fn attempt_id(headers: &hyper::HeaderMap) -> String {
    let attempt = decode_request_headers(headers).attempt;
    let id = attempt.and_then(|id| id.to_str().ok());
    id.unwrap_or_default().to_owned()
}

fn stream(response: Response<StreamedBody>, delivery: Option<Delivery>) -> Response<Body> {
    response.map(|body| match delivery {
        Some(delivery) => body.with_delivery(delivery).boxed(),
        None => body.boxed(),
    })
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

fn empty(status: StatusCode) -> Response<Body> {
    with_body(status, "text/plain", Vec::new())
}

fn unauthorized() -> Response<Body> {
    let mut response = empty(StatusCode::UNAUTHORIZED);
    let scheme = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    response
}

/// The response for a request that did not run and won't be retried here: 503 with `retry-after`.
fn not_run_response(retry_after_ms: u64) -> Response<Body> {
    with_retry_after(StatusCode::SERVICE_UNAVAILABLE, retry_after_ms)
}

/// The response for a request that the core refuses.
fn refusal_response(refusal: Refusal, retry_after_ms: u64) -> Response<Body> {
    let status = match refusal {
        Refusal::Quota => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    with_retry_after(status, retry_after_ms)
}

fn with_retry_after(status: StatusCode, retry_after_ms: u64) -> Response<Body> {
    let mut response = empty(status);
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1e3);
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}
