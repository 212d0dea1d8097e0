//! Reads request bodies within bounds of size and time.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;
use types::ApiError;

/// A body that takes longer to come is refused.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a body that are read and dropped after the largest one; a connection that is closed
/// with bytes unread is reset, and its sender may not see the answer.
const DISCARD_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The whole body.
///
/// # Errors
///
/// [`ApiError::BodyTooLarge`] or [`ApiError::BodyTimeout`]; a broken connection counts as the
/// latter, since nobody is left to be told.
pub async fn read_body(mut body: Incoming, limit_bytes: usize) -> Result<Bytes, ApiError> {
    let read = timeout(BODY_TIMEOUT, collect(&mut body, limit_bytes)).await;
    read.unwrap_or(Err(ApiError::BodyTimeout))
}

async fn collect(body: &mut Incoming, limit_bytes: usize) -> Result<Bytes, ApiError> {
    match Limited::new(&mut *body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            discard(body).await;
            Err(ApiError::BodyTooLarge {
                limit_bytes: limit_bytes as u64,
            })
        }
        Err(_) => Err(ApiError::BodyTimeout),
    }
}

/// Reads on without keeping anything.
async fn discard(body: &mut Incoming) {
    let mut left_bytes = DISCARD_MAX_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let read_bytes = frame.data_ref().map_or(0, Bytes::len);
        match left_bytes.checked_sub(read_bytes) {
            Some(left) => left_bytes = left,
            None => return,
        }
    }
}
