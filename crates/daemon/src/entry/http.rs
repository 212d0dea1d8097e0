//! The HTTP interface of an entry: forwarded requests, look-ups, announcements, readiness, metrics
//! and the dump of the core's state.

use crate::{
    clock::Clock,
    entry::{
        actor::{
            Admission, Announce, AnswerStarted, AttemptEnded, Directive, Dump, EntryActor, Lookup,
            Ready, RequestArrived,
        },
        forward::{Attempt, Call, DID_NOT_RUN, Target, send_attempt},
        kept::KeptAnswer,
        metrics::EntryMetrics,
        relay::{RelayContext, RelayedBody, RequestGuard},
    },
    http::{
        AnswerBody, Body, ClientBody, Connection, Pool, bearer_token, error, json, metrics,
        read_body, same_token, strip_hop_by_hop_headers,
    },
};
use claim::ClaimKey;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    header::{CACHE_CONTROL, HeaderName, HeaderValue},
};
use kameo::actor::ActorRef;
use prometheus_client::registry::Registry;
use route::Settled;
use serde_json::json;
use settings::AnnounceToken;
use std::{net::IpAddr, sync::Arc, time::Instant};
use tokio::sync::mpsc::UnboundedReceiver;
use types::{Announcement, ApiError, Outcome, Refusal, ServiceName, UpstreamName};

/// Largest body of a caller's request.
const REQUEST_MAX_BYTES: usize = 1024 * 1024;

/// Largest body of an announcement.
const ANNOUNCEMENT_MAX_BYTES: usize = 4 * 1024;

const OUTCOME: HeaderName = HeaderName::from_static("ow-outcome");
const REFUSAL: HeaderName = HeaderName::from_static("ow-refusal");
const UPSTREAM: HeaderName = HeaderName::from_static("ow-upstream");
const ATTEMPTS: HeaderName = HeaderName::from_static("ow-attempts");
const REPLAYED: HeaderName = HeaderName::from_static("ow-replayed");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DEADLINE_MS: HeaderName = HeaderName::from_static("ow-deadline-ms");

/// Handles the requests of the interface; cloned for each request.
#[derive(Clone, Debug)]
pub struct EntryHttp {
    /// The actor that owns the core.
    pub actor: ActorRef<EntryActor>,
    /// The actor that owns the idle connections to upstreams.
    pub pool: ActorRef<Pool>,
    /// The clock of the core, for deadlines.
    pub clock: Clock,
    /// Metrics of the entry.
    pub metrics: Arc<EntryMetrics>,
    /// Metrics that `/metrics` returns.
    pub registry: Arc<Registry>,
    /// Bearer tokens with the services that each may announce. When empty, announcements need no
    /// token.
    pub tokens: Arc<[AnnounceToken]>,
    /// Prefix of request IDs: the entry's name and incarnation, unique to this run of the process.
    pub id_prefix: Arc<str>,
}

impl EntryHttp {
    /// Routes a request and returns its response.
    pub async fn handle(self, request: Request<ClientBody>, client: IpAddr) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let mut parts = path.trim_start_matches('/').splitn(3, '/');
        let route = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let answer = match (route, parts.next()) {
            (("s", service), rest) => {
                let has_key = request.headers().contains_key(IDEMPOTENCY_KEY);
                let forwarded = self.forward(service, rest.unwrap_or(""), request).await;
                Ok(forwarded.unwrap_or_else(|failure| rejection_response(&failure, has_key)))
            }
            (("v1", "lookup"), Some(service)) => self.lookup(service, client, &request).await,
            (("v1", "upstreams"), Some(name)) => self.announce(name, request).await,
            (("metrics", ""), None) => metrics(&self.registry),
            (("ready", ""), None) => self.ready().await,
            (("dump", ""), None) => self.dump().await,
            _ => Err(ApiError::NotFound),
        };
        answer.unwrap_or_else(|failure| error(&failure))
    }

    async fn lookup(
        &self,
        service: &str,
        sender: IpAddr,
        request: &Request<ClientBody>,
    ) -> Result<Response<Body>, ApiError> {
        if request.method() != Method::GET {
            return Err(ApiError::MethodNotAllowed);
        }
        let service = service_name(service)?;
        let client = api::lookup_client(request.uri().query())?.unwrap_or(sender);
        let answer = self
            .actor
            .ask(Lookup { service, client })
            .await
            .map_err(|_| ApiError::TooBusy)?;
        let answer = answer.ok_or(ApiError::NotFound)?;
        let mut response = json(StatusCode::OK, &answer);
        let max_age = format!("max-age={}", answer.lifetime_ms / 1_000);
        if let Ok(value) = HeaderValue::from_str(&max_age) {
            response.headers_mut().insert(CACHE_CONTROL, value);
        }
        Ok(response)
    }

    async fn announce(
        &self,
        name: &str,
        request: Request<ClientBody>,
    ) -> Result<Response<Body>, ApiError> {
        if request.method() != Method::PUT {
            return Err(ApiError::MethodNotAllowed);
        }
        let name = UpstreamName::new(name)
            .map_err(|invalid| ApiError::InvalidName { name: invalid.name })?;
        let (head, body) = request.into_parts();
        let body = read_body(body, ANNOUNCEMENT_MAX_BYTES).await?;
        let announcement: Announcement =
            serde_json::from_slice(&body).map_err(|error| ApiError::MalformedJson {
                reason: error.to_string(),
            })?;
        self.authorize(&head.headers, &announcement.service)?;
        let renew = self.actor.ask(Announce { name, announcement }).await;
        Ok(json(
            StatusCode::OK,
            &renew.map_err(|_| ApiError::TooBusy)?.0,
        ))
    }

    /// Checks that the request's token allows announcements for `service`.
    fn authorize(&self, headers: &HeaderMap, service: &ServiceName) -> Result<(), ApiError> {
        if self.tokens.is_empty() {
            return Ok(());
        }
        let given = bearer_token(headers);
        let known = self
            .tokens
            .iter()
            .find(|known| same_token(&known.token, given));
        let known = known.ok_or(ApiError::Unauthorized)?;
        if known.services.contains(service) {
            return Ok(());
        }
        Err(ApiError::Forbidden {
            service: service.to_string(),
        })
    }

    async fn ready(&self) -> Result<Response<Body>, ApiError> {
        let ready = self.actor.ask(Ready).await.map_err(|_| ApiError::TooBusy)?;
        if ready {
            return Ok(json(StatusCode::OK, &json!({"ready": true})));
        }
        let body = json!({"ready": false, "reason": "configuration-lease"});
        Ok(json(StatusCode::SERVICE_UNAVAILABLE, &body))
    }

    async fn dump(&self) -> Result<Response<Body>, ApiError> {
        let dump = self.actor.ask(Dump).await.map_err(|_| ApiError::TooBusy)?;
        Ok(json(StatusCode::OK, &dump))
    }

    async fn forward(
        &self,
        service: &str,
        rest: &str,
        request: Request<ClientBody>,
    ) -> Result<Response<Body>, ApiError> {
        let service = service_name(service)?;
        let timeout_ms = caller_timeout_ms(request.headers())?;
        let key = claim_key(&service, request.headers())?;
        let started = Instant::now();
        let (head, body) = request.into_parts();
        let body = read_body(body, REQUEST_MAX_BYTES).await?;
        let keeps_answer = key.is_some();
        let arrival = RequestArrived {
            service,
            timeout_ms,
            key,
        };
        let admission = self
            .actor
            .ask(arrival)
            .await
            .map_err(|_| ApiError::TooBusy)?;
        let Admission {
            request,
            directives,
        } = admission;
        let mut headers = head.headers;
        strip_hop_by_hop_headers(&mut headers);
        let call = Call {
            id: format!("{}-{}", self.id_prefix, request.0),
            method: head.method,
            uri: upstream_uri(rest, head.uri.query())?,
            headers,
            body,
            keeps_answer,
        };
        let guard = RequestGuard::new(self.actor.clone(), request);
        let response = self.run_attempts(call, guard, directives).await;
        self.metrics
            .answer_seconds
            .observe(started.elapsed().as_secs_f64());
        Ok(response)
    }

    /// Makes attempts as the core directs, until one is answered or the core ends the request.
    async fn run_attempts(
        &self,
        call: Call,
        mut guard: RequestGuard,
        mut directives: UnboundedReceiver<Directive>,
    ) -> Response<Body> {
        let mut attempts = 0;
        while let Some(directive) = directives.recv().await {
            let (upstream, target) = match directive {
                Directive::Forward {
                    upstream,
                    address,
                    attempt,
                    deadline_us,
                } => (
                    upstream,
                    Target {
                        address,
                        deadline_us,
                        attempt,
                    },
                ),
                Directive::Settle(settled) => {
                    guard.mark_settled();
                    return refusal_response(settled, attempts);
                }
                Directive::Replay { status, answer } => {
                    guard.mark_settled();
                    return replay_response(status, &answer);
                }
                Directive::Cancel => continue,
            };
            attempts = target.attempt;
            let cancelled = wait_for_cancel(&mut directives);
            let attempted = tokio::select! {
                attempted = send_attempt(&self.pool, self.clock, &call, target) => attempted,
                () = cancelled => Attempt::Failed(route::Ending::Broken),
            };
            match attempted {
                Attempt::Answer {
                    response,
                    connection,
                } => {
                    let keeps_answer = call.keeps_answer;
                    let answer = UpstreamAnswer {
                        keeps_answer,
                        response,
                        connection,
                        upstream,
                        target,
                    };
                    return self.relay_answer(answer, guard).await;
                }
                Attempt::Failed(ending) => {
                    let ended = AttemptEnded {
                        request: guard.request(),
                        ending,
                        answer: None,
                    };
                    let _ = self.actor.tell(ended).await;
                }
            }
        }
        guard.mark_settled();
        refusal_response(
            Settled {
                outcome: Outcome::Unknown,
                refusal: None,
            },
            attempts,
        )
    }

    async fn relay_answer(&self, answer: UpstreamAnswer, guard: RequestGuard) -> Response<Body> {
        let UpstreamAnswer {
            keeps_answer,
            response,
            connection,
            upstream,
            target,
        } = answer;
        let _ = self
            .actor
            .tell(AnswerStarted {
                request: guard.request(),
            })
            .await;
        let (mut head, incoming) = response.into_parts();
        let relay = RelayContext {
            status: head.status.as_u16(),
            guard,
            pool: self.pool.clone(),
            address: target.address,
            connection,
            deadline: self.clock.instant(target.deadline_us),
            kept: keeps_answer.then(|| KeptAnswer::from_headers(&head.headers)),
        };
        strip_hop_by_hop_headers(&mut head.headers);
        for name in [DID_NOT_RUN, REFUSAL, REPLAYED] {
            head.headers.remove(name);
        }
        set_outcome_headers(&mut head.headers, Outcome::Finished, target.attempt);
        if let Ok(value) = HeaderValue::from_str(upstream.as_str()) {
            head.headers.insert(UPSTREAM, value);
        }
        Response::from_parts(head, RelayedBody::new(incoming, relay).boxed())
    }
}

/// An upstream's answer whose body is still to be relayed.
#[derive(Debug)]
struct UpstreamAnswer {
    keeps_answer: bool,
    response: Response<AnswerBody>,
    connection: Connection,
    upstream: UpstreamName,
    target: Target,
}

/// Resolves when the core cancels the attempt in progress.
async fn wait_for_cancel(directives: &mut UnboundedReceiver<Directive>) {
    loop {
        match directives.recv().await {
            Some(Directive::Cancel) => return,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

/// The response with the stored answer of an earlier request with the same key. When it can't be
/// decoded, the caller gets the refusal `duplicate`.
fn replay_response(status: u16, answer: &[u8]) -> Response<Body> {
    let Some(mut response) = KeptAnswer::decode(answer).map(KeptAnswer::into_response) else {
        let settled = Settled {
            outcome: Outcome::Finished,
            refusal: Some(Refusal::Duplicate),
        };
        return refusal_response(settled, 0);
    };
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    set_outcome_headers(response.headers_mut(), Outcome::Finished, 0);
    response
        .headers_mut()
        .insert(REPLAYED, HeaderValue::from_static("true"));
    response
}

/// The response for a request that was rejected before the core admitted it. With an idempotency
/// key the outcome is unknown, since an earlier request with the key may have run.
fn rejection_response(failure: &ApiError, has_key: bool) -> Response<Body> {
    let outcome = if has_key {
        Outcome::Unknown
    } else {
        Outcome::DidNotRun
    };
    let mut response = error(failure);
    set_outcome_headers(response.headers_mut(), outcome, 0);
    response
}

fn refusal_response(settled: Settled, attempts: u32) -> Response<Body> {
    let Settled { outcome, refusal } = settled;
    let mut response = error(&ApiError::RequestRefused { outcome, refusal });
    set_outcome_headers(response.headers_mut(), outcome, attempts);
    if let Some(refusal) = refusal {
        response
            .headers_mut()
            .insert(REFUSAL, HeaderValue::from_static(refusal.into()));
    }
    response
}

fn set_outcome_headers(headers: &mut HeaderMap, outcome: Outcome, attempts: u32) {
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.into()));
    headers.insert(ATTEMPTS, HeaderValue::from(attempts));
}

fn service_name(service: &str) -> Result<ServiceName, ApiError> {
    ServiceName::new(service).map_err(|invalid| ApiError::InvalidName { name: invalid.name })
}

fn claim_key(service: &ServiceName, headers: &HeaderMap) -> Result<Option<ClaimKey>, ApiError> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .and_then(|key| ClaimKey::new(service, key).ok());
    let malformed = || ApiError::MalformedHeader {
        name: IDEMPOTENCY_KEY.as_str().to_owned(),
    };
    key.map(Some).ok_or_else(malformed)
}

fn caller_timeout_ms(headers: &HeaderMap) -> Result<Option<u64>, ApiError> {
    let Some(value) = headers.get(DEADLINE_MS) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let malformed = || ApiError::MalformedHeader {
        name: DEADLINE_MS.as_str().to_owned(),
    };
    parsed.map(Some).ok_or_else(malformed)
}

fn upstream_uri(rest: &str, query: Option<&str>) -> Result<Uri, ApiError> {
    let path = match query {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    path.parse().map_err(|_| ApiError::NotFound)
}
