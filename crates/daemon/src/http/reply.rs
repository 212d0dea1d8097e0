//! Builders of HTTP responses whose body is in memory.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use prometheus_client::registry::Registry;
use serde::Serialize;
use std::io;
use types::ApiError;

/// The body of every response that this crate sends, in memory or streamed.
pub type Body = BoxBody<Bytes, io::Error>;

/// A response with a JSON body; an empty response of status 500 when `value` can't be encoded.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_body(status, "application/json", bytes),
        Err(_) => with_body(
            StatusCode::INTERNAL_SERVER_ERROR,
            "application/json",
            Vec::new(),
        ),
    }
}

/// A response of status 200 with a text body.
fn text(content_type: &'static str, body: String) -> Response<Body> {
    with_body(StatusCode::OK, content_type, body.into_bytes())
}

/// The response for an error, with the error's status and JSON body.
pub fn error(error: &ApiError) -> Response<Body> {
    let status = StatusCode::from_u16(error.status_code());
    json(
        status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
        &error.body(),
    )
}

/// A response with these bytes as its body.
pub fn with_body(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(body))
        .map_err(|never| match never {})
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// All metrics of the registry in the OpenMetrics text format.
///
/// # Errors
///
/// [`ApiError::TooBusy`] when a metric can't be encoded.
pub fn metrics(registry: &Registry) -> Result<Response<Body>, ApiError> {
    let mut encoded = String::new();
    prometheus_client::encoding::text::encode(&mut encoded, registry)
        .map_err(|_| ApiError::TooBusy)?;
    Ok(text(
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
        encoded,
    ))
}
