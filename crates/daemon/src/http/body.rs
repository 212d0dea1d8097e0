//! Reads request bodies within limits of size and time.

use crate::http::ClientBody;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::timeout;
use types::ApiError;

/// Time for a whole request body to arrive; after it, the request is rejected.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How much of a body beyond the limit is read and discarded, so that the sender has finished
/// writing and reads the error response instead of a closed connection.
pub const DISCARD_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Reads the whole body, of at most `limit_bytes`.
///
/// # Errors
///
/// [`ApiError::BodyTooLarge`] or [`ApiError::BodyTimeout`]. A broken connection is reported as
/// [`ApiError::BodyTimeout`] too, since the sender can't receive an answer.
pub async fn read_body(body: ClientBody, limit_bytes: usize) -> Result<Bytes, ApiError> {
    let read = timeout(BODY_TIMEOUT, collect(body, limit_bytes)).await;
    read.unwrap_or(Err(ApiError::BodyTimeout))
}

async fn collect(mut body: ClientBody, limit_bytes: usize) -> Result<Bytes, ApiError> {
    let mut body_bytes = BytesMut::new();
    let mut discarded_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ApiError::BodyTimeout)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if discarded_bytes == 0 && body_bytes.len() + data.len() <= limit_bytes {
            body_bytes.extend_from_slice(&data);
        } else {
            discarded_bytes += data.len();
        }
        if discarded_bytes > DISCARD_MAX_BYTES {
            break;
        }
    }
    if discarded_bytes > 0 {
        return Err(ApiError::BodyTooLarge {
            limit_bytes: limit_bytes as u64,
        });
    }
    Ok(body_bytes.freeze())
}

/// Reads and throws away what is left of a body, at most `max_bytes` and for at most `limit`.
pub async fn discard_body(mut body: ClientBody, max_bytes: usize, limit: Duration) {
    let discard = async {
        let mut left_bytes = max_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let read_bytes = frame.data_ref().map_or(0, Bytes::len);
            let Some(left) = left_bytes.checked_sub(read_bytes) else {
                return;
            };
            left_bytes = left;
        }
    };
    // A timeout means that the client still sends; its connection is closed after the answer.
    let _ = timeout(limit, discard).await;
}
