//! The format shared by stand-in callers and upstreams: the attempt's id in the query of a request,
//! and the JSON body that an upstream answers and the caller verifies.

use crate::record::{AnswerCheck, AttemptId, RequestNumber};
use serde::{Deserialize, Serialize};
use types::UpstreamName;

/// The body of an upstream's answer. It repeats the attempt's id, so that a caller can detect an
/// answer to another attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Answer {
    /// The id from the request's query.
    pub attempt: AttemptId,
    /// The upstream that ran it.
    pub upstream: UpstreamName,
    /// Fills the JSON text up to the size that the service declares.
    pub padding: String,
}

impl Answer {
    /// Encodes the answer of `upstream` as JSON, padded to `size_bytes`. It is longer only if the
    /// answer without padding already is.
    #[must_use]
    pub fn encode(attempt: AttemptId, upstream: &UpstreamName, size_bytes: usize) -> Vec<u8> {
        let unpadded = Self {
            attempt,
            upstream: upstream.clone(),
            padding: String::new(),
        };
        let unpadded_bytes = serde_json::to_vec(&unpadded).map_or(0, |bytes| bytes.len());
        let padded = Self {
            padding: "x".repeat(size_bytes.saturating_sub(unpadded_bytes)),
            ..unpadded
        };
        serde_json::to_vec(&padded).unwrap_or_default()
    }
}

/// Checks the body that a caller got for its attempt, which should be `size_bytes` long.
#[must_use]
pub fn verify(bytes: &[u8], attempt: AttemptId, size_bytes: usize) -> AnswerCheck {
    match serde_json::from_slice::<Answer>(bytes) {
        Ok(answer) if answer.attempt != attempt => AnswerCheck::Foreign,
        Ok(_) if bytes.len() == size_bytes => AnswerCheck::Own,
        Ok(_) | Err(_) => AnswerCheck::Damaged,
    }
}

/// The path and query of a request, with the attempt's id for the upstream.
#[must_use]
pub fn path_and_query(attempt: AttemptId) -> String {
    format!(
        "/run?request={}&attempt={}",
        attempt.request.0, attempt.attempt
    )
}

/// Parses the attempt's id from a query; `None` if a field is missing or not a number.
#[must_use]
pub fn parse_attempt_id(query: &str) -> Option<AttemptId> {
    let field = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    };
    Some(AttemptId {
        request: RequestNumber(field("request")?.parse().ok()?),
        attempt: field("attempt")?.parse().ok()?,
    })
}
