//! Encodes a typed answer or error as a status code and a JSON body.

use control::Answer;
use serde::Serialize;
use types::ApiError;

const STATUS_OK: u16 = 200;
const STATUS_INTERNAL_ERROR: u16 = 500;

/// The parts of an HTTP answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The HTTP status code.
    pub status_code: u16,
    /// The JSON body; empty when the answer could not be encoded.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    fn new(status_code: u16, body: &impl Serialize) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self { status_code, body },
            Err(_) => Self {
                status_code: STATUS_INTERNAL_ERROR,
                body: Vec::new(),
            },
        }
    }
}

/// Encodes an answer: status 200 with the answer, or the error's status with its body.
#[must_use]
pub fn encode(answer: &Result<Answer, ApiError>) -> HttpAnswer {
    match answer {
        Ok(answer) => HttpAnswer::new(STATUS_OK, answer),
        Err(error) => HttpAnswer::new(error.status_code(), &error.body()),
    }
}
