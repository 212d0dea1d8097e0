//! Reads request bodies within bounds of size and time.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;
use types::ApiError;

/// A body that takes longer to come is refused.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The whole body.
///
/// # Errors
///
/// [`ApiError::BodyTooLarge`] or [`ApiError::BodyTimeout`]; a broken connection counts as the
/// latter, since nobody is left to be told.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, ApiError> {
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, limit_bytes).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ApiError::BodyTooLarge {
            limit_bytes: limit_bytes as u64,
        }),
        Ok(Err(_)) | Err(_) => Err(ApiError::BodyTimeout),
    }
}
