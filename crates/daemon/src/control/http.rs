//! The native HTTP interface of a control replica, for operators and monitoring.

use crate::{
    control::actor::{Cancel, ControlActor, Dump, Submit},
    http::{Body, ClientBody, bearer_token, error, json, metrics, read_body, same_token},
};
use api::{HttpAnswer, HttpRequest, body_max_bytes, encode, parse};
use bytes::Bytes;
use control::Answer;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use kameo::actor::ActorRef;
use prometheus_client::registry::Registry;
use raft::Role;
use serde_json::json;
use std::sync::Arc;
use tokio::sync::oneshot;
use types::ApiError;

/// Handles the requests of the native interface; cloned for each request.
#[derive(Clone, Debug)]
pub struct ControlHttp {
    /// The actor that owns the core.
    pub actor: ActorRef<ControlActor>,
    /// Metrics that `/metrics` returns.
    pub registry: Arc<Registry>,
    /// Operators' bearer tokens. Every request but GET needs one of them; when empty, none does.
    pub tokens: Arc<[String]>,
}

impl ControlHttp {
    /// Routes a request and returns its response.
    pub async fn handle(self, request: Request<ClientBody>) -> Response<Body> {
        let answer = match request.uri().path() {
            "/metrics" => metrics(&self.registry),
            "/ready" => self.ready().await,
            "/dump" => self.dump().await,
            _ => self.handle_api(request).await,
        };
        answer.unwrap_or_else(|failure| error(&failure))
    }

    async fn handle_api(&self, request: Request<ClientBody>) -> Result<Response<Body>, ApiError> {
        let (head, body) = request.into_parts();
        if head.method != hyper::Method::GET {
            self.authorize(&head.headers)?;
        }
        let body = read_body(body, body_max_bytes(head.uri.path())).await?;
        let body = parse(&HttpRequest {
            method: head.method.as_str(),
            path: head.uri.path(),
            query: head.uri.query(),
            body: &body,
        })?;
        let answer = self.submit(body).await;
        Ok(response(encode(&answer)))
    }

    /// Submits a request to the core and waits for its answer. Dropping the future, as when the
    /// caller closes its connection, cancels the request.
    ///
    /// # Errors
    ///
    /// The error that the core answers, or [`ApiError::Unavailable`] when the actor has ended.
    pub async fn submit(&self, body: control::Request) -> Result<Answer, ApiError> {
        let (answer, answered) = oneshot::channel();
        let submitted = self.actor.ask(Submit { body, answer }).await;
        let request = submitted.map_err(|_| ApiError::Unavailable)?;
        let mut guard = CancelGuard {
            actor: self.actor.clone(),
            request: Some(request),
        };
        let answer = answered.await.unwrap_or(Err(ApiError::Unavailable));
        guard.request = None;
        answer
    }

    fn authorize(&self, headers: &HeaderMap) -> Result<(), ApiError> {
        let token = bearer_token(headers);
        let accepted = self.tokens.iter().any(|known| same_token(known, token));
        if self.tokens.is_empty() || accepted {
            return Ok(());
        }
        Err(ApiError::Unauthorized)
    }

    async fn ready(&self) -> Result<Response<Body>, ApiError> {
        let Ok(Answer::Replicas(replicas)) = self.submit(control::Request::Replicas).await else {
            return Err(ApiError::Unavailable);
        };
        let reason = match (replicas.role, &replicas.leader) {
            (Role::Learner, _) => "not-a-voter",
            (Role::Failed, _) => "storage-failed",
            (_, None) => "no-leader",
            (_, Some(_)) => return Ok(json(StatusCode::OK, &json!({"ready": true}))),
        };
        let body = json!({"ready": false, "reason": reason});
        Ok(json(StatusCode::SERVICE_UNAVAILABLE, &body))
    }

    async fn dump(&self) -> Result<Response<Body>, ApiError> {
        let dump = self.actor.ask(Dump).await.map_err(|_| ApiError::TooBusy)?;
        Ok(json(StatusCode::OK, &dump))
    }
}

fn response(answer: HttpAnswer) -> Response<Body> {
    let body = Full::new(Bytes::from(answer.body))
        .map_err(|never| match never {})
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(answer.status_code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Cancels the request when dropped before its answer came.
struct CancelGuard {
    actor: ActorRef<ControlActor>,
    request: Option<u64>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            let _ = self.actor.tell(Cancel { request }).try_send();
        }
    }
}
