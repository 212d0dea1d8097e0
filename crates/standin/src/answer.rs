//! The answers of stand-in upstreams and how callers verify them.

use crate::record::{AnswerCheck, AttemptId, RequestNumber};
use serde::{Deserialize, Serialize};
use types::UpstreamName;

/// The answer to a run; it echoes what the caller asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Answer {
    /// The attempt that it answers.
    pub attempt: AttemptId,
    /// The upstream that ran it.
    pub upstream: UpstreamName,
    /// Fills the answer up to its size.
    pub padding: String,
}

impl Answer {
    /// The answer of `upstream` to an attempt, `size_bytes` long when written.
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

/// Judges the body that a caller got for its attempt.
#[must_use]
pub fn verify(bytes: &[u8], attempt: AttemptId, size_bytes: usize) -> AnswerCheck {
    match serde_json::from_slice::<Answer>(bytes) {
        Ok(answer) if answer.attempt != attempt => AnswerCheck::Foreign,
        Ok(_) if bytes.len() == size_bytes => AnswerCheck::Own,
        Ok(_) | Err(_) => AnswerCheck::Damaged,
    }
}

/// The path and query that carry an attempt's identity to the upstream.
#[must_use]
pub fn path_and_query(attempt: AttemptId) -> String {
    format!(
        "/run?request={}&attempt={}",
        attempt.request.0, attempt.attempt
    )
}

/// Reads an attempt's identity from a query.
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
