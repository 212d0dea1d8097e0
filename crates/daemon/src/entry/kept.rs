//! Answers that are kept for resends of a request with an idempotency key.

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

/// What an answer takes besides its body, at most.
const HEAD_MAX_BYTES: usize = 512;

/// An answer that is collected while it is passed on, as long as it is small enough.
#[derive(Debug, Default)]
pub struct KeptAnswer {
    answer: peer::KeptAnswer,
    too_large: bool,
}

impl KeptAnswer {
    /// An answer with these headers and no body yet.
    pub fn of(headers: &HeaderMap) -> Self {
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

    /// Adds a part of the body.
    pub fn add(&mut self, data: &[u8]) {
        if self.answer.body.len() + data.len() + HEAD_MAX_BYTES > ANSWER_MAX_BYTES {
            self.too_large = true;
            self.answer.body.clear();
        }
        if !self.too_large {
            self.answer.body.extend_from_slice(data);
        }
    }

    /// The encoded answer, unless it is too large to be kept.
    pub fn encode(&self) -> Option<Vec<u8>> {
        (!self.too_large).then(|| self.answer.encode_to_vec())
    }

    /// Reads what [`Self::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let answer = peer::KeptAnswer::decode(bytes).ok()?;
        Some(Self {
            answer,
            too_large: false,
        })
    }

    /// The answer again.
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
