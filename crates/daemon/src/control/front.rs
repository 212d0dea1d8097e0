//! The platform's interface of a control replica.

use crate::{
    control::http::ControlHttp,
    http::{Body, read_body, with_body},
};
use api::PLAN_MAX_BYTES;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderValue, IF_MATCH, LOCATION},
};
use platform::{
    CallError, HttpAnswer, decode_call, decode_lookup, encode_answer, encode_call_error,
};
use slog::{Logger, info};
use std::net::SocketAddr;

/// Answers calls of instances and operators, and clients' look-ups, in the platform's way.
#[derive(Clone, Debug)]
pub struct PlatformFront {
    /// Asks the core.
    pub control: ControlHttp,
    /// Where this replica takes calls.
    pub own: SocketAddr,
    /// For how long a look-up's answer may be used.
    pub lookup_lifetime_ms: u64,
    /// The log.
    pub log: Logger,
}

impl PlatformFront {
    /// Answers a call.
    pub async fn call(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if path == "/metrics" || path == "/dump" || path.starts_with("/v1/") {
            return self.control.handle(request).await;
        }
        let (head, body) = request.into_parts();
        let Ok(body) = read_body(body, PLAN_MAX_BYTES).await else {
            return with_body(
                StatusCode::PAYLOAD_TOO_LARGE,
                "application/json",
                Vec::new(),
            );
        };
        let if_match = head.headers.get(IF_MATCH);
        let if_match = if_match.and_then(|version| version.to_str().ok());
        let call = decode_call(
            head.method.as_str(),
            head.uri.path(),
            head.uri.query(),
            if_match,
            &body,
        );
        let target = head.uri.path_and_query().map_or("", |it| it.as_str());
        self.answer(call, target).await
    }

    /// Answers a client's look-up.
    pub async fn look_up(self, request: Request<Incoming>) -> Response<Body> {
        let (method, uri) = (request.method(), request.uri());
        let question = decode_lookup(method.as_str(), uri.path(), uri.query());
        self.answer(question, "").await
    }

    async fn answer(
        &self,
        question: Result<control::Request, CallError>,
        target: &str,
    ) -> Response<Body> {
        let answer = match question {
            Ok(question) => {
                let answer = self.control.answer(question).await;
                encode_answer(answer, target, self.own, self.lookup_lifetime_ms)
            }
            Err(error) => encode_call_error(&error),
        };
        if answer.status_code >= 400 {
            info!(self.log, "call not accepted";
                "call" => target,
                "status" => answer.status_code,
                "answer" => %String::from_utf8_lossy(&answer.body));
        }
        response(answer)
    }
}

fn response(answer: HttpAnswer) -> Response<Body> {
    let status = StatusCode::from_u16(answer.status_code);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = with_body(status, "application/json", answer.body);
    let location = answer.location.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(location)) = location {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}
