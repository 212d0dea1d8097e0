//! The platform's HTTP interface of a control replica, for instances, operators and clients.

use crate::{
    control::http::ControlHttp,
    http::{Body, ClientBody, read_body, with_body},
};
use api::PLAN_MAX_BYTES;
use hyper::{
    Request, Response, StatusCode,
    header::{HeaderValue, IF_MATCH, LOCATION},
};
use plan::Change;
use platform::{
    CallError, HttpAnswer, decode_call, decode_lookup, encode_answer, encode_call_error,
};
use slog::{Logger, info};
use std::{net::SocketAddr, time::Instant};

/// Decodes calls of instances and operators and look-ups of clients from the platform's interface,
/// and encodes their answers.
#[derive(Clone, Debug)]
pub struct PlatformHttp {
    /// The native interface. Serves its own paths, and submits the decoded requests to the core.
    pub control: ControlHttp,
    /// The address on which this replica listens for calls.
    pub listen: SocketAddr,
    /// How long a client may use the answer of a look-up, in milliseconds.
    pub lookup_lifetime_ms: u64,
    /// Logs calls that are not accepted, and operators' changes that are confirmed.
    pub log: Logger,
}

impl PlatformHttp {
    /// Answers a call of an instance or operator. `/metrics`, `/dump` and paths below `/v1/` go to
    /// the native interface.
    pub async fn call(self, request: Request<ClientBody>) -> Response<Body> {
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

    /// Answers a look-up of a client, on the look-up listener.
    pub async fn look_up(self, request: Request<ClientBody>) -> Response<Body> {
        let (method, uri) = (request.method(), request.uri());
        let call = decode_lookup(method.as_str(), uri.path(), uri.query());
        self.answer(call, "").await
    }

    async fn answer(
        &self,
        call: Result<control::Request, CallError>,
        target: &str,
    ) -> Response<Body> {
        let answer = match call {
            Ok(call) => self.submit(call, target).await,
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

    async fn submit(&self, call: control::Request, target: &str) -> HttpAnswer {
        let operator_change = operator_change(&call);
        let received = Instant::now();
        let answer = self.control.submit(call).await;
        if let (Some(version), Ok(_)) = (operator_change, &answer) {
            info!(self.log, "change confirmed";
                "call" => target,
                "version" => version,
                "elapsed_ms" => received.elapsed().as_millis());
        }
        encode_answer(answer, target, self.listen, self.lookup_lifetime_ms)
    }
}

/// Whether the call is a change by an operator, and the version of the plan that it declares; 0 for
/// an evacuation.
fn operator_change(call: &control::Request) -> Option<u64> {
    match call {
        control::Request::Steer {
            change: Change::Declare(declaration),
        } => Some(declaration.plan.version),
        control::Request::Steer {
            change: Change::Evacuate { .. } | Change::EndEvacuation { .. },
        } => Some(0),
        _ => None,
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
