//! Extraction and comparison of bearer tokens.

use hyper::{HeaderMap, header::AUTHORIZATION};

/// The bearer token of the `authorization` header; empty when there is none.
pub fn bearer_token(headers: &HeaderMap) -> &str {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    value
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or("")
}

/// Compares two tokens in a time that does not depend on where they first differ, so that timing
/// can't be used to guess a token.
pub fn same_token(known: &str, given: &str) -> bool {
    let pairs = known.bytes().zip(given.bytes());
    let different = pairs.fold(0, |different, (a, b)| different | (a ^ b));
    known.len() == given.len() && different == 0
}
