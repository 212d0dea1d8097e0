//! The stored form of an answer to a request with an idempotency key, returned again when the
//! caller resends the request.

use crate::http::Body;
use bytes::Bytes;
use claim::ANSWER_MAX_BYTES;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Response,
    header::{CONTENT_TYPE, HeaderValue},
};
use prost::Message;
use wire::peer;

/// Largest encoded size of everything but the body.
const HEAD_MAX_BYTES: usize = 512;

/// An answer that is collected while it is relayed. One larger than [`ANSWER_MAX_BYTES`] is
/// dropped.
#[derive(Debug, Default)]
pub struct KeptAnswer {
    answer: peer::KeptAnswer,
    too_large: bool,
}

impl KeptAnswer {
    /// An empty answer with the content type of these headers; a content type that is too long is
    /// left out.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let content_type = headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        let content_type = content_type.filter(|text| text.len() < HEAD_MAX_BYTES / 2);
        let content_type = content_type.unwrap_or_default().to_owned();
        let answer = peer::KeptAnswer {
            content_type,
            body: Vec::new(),
        };
        Self {
            answer,
            too_large: false,
        }
    }

    /// Appends a chunk of the body; drops the whole body when the answer becomes too large to be
    /// stored.
    pub fn add(&mut self, data: &[u8]) {
        if self.answer.body.len() + data.len() + HEAD_MAX_BYTES > ANSWER_MAX_BYTES {
            self.too_large = true;
            self.answer.body.clear();
        }
        if !self.too_large {
            self.answer.body.extend_from_slice(data);
        }
    }

    /// Encodes the answer; `None` when it is too large to be stored.
    pub fn encode(&self) -> Option<Vec<u8>> {
        (!self.too_large).then(|| self.answer.encode_to_vec())
    }

    /// Decodes the output of [`Self::encode`]; `None` when it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let answer = peer::KeptAnswer::decode(bytes).ok()?;
        Some(Self {
            answer,
            too_large: false,
        })
    }

    /// Converts to a response of status 200; the caller sets the stored status.
    pub fn into_response(self) -> Response<Body> {
        let body = Full::new(Bytes::from(self.answer.body));
        let mut response = Response::new(body.map_err(|never| match never {}).boxed());
        if let Ok(content_type) = HeaderValue::from_str(&self.answer.content_type)
            && !content_type.is_empty()
        {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        response
    }
}
