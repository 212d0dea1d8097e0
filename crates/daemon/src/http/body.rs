//! Reads request bodies within bounds of size and time.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;
use types::ApiError;

/// A body that takes longer to come is refused.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// So much of a body that is too large is read and dropped, so that its sender is still there to
/// read the refusal.
const DROPPED_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The whole body.
///
/// # Errors
///
/// [`ApiError::BodyTooLarge`] or [`ApiError::BodyTimeout`]; a broken connection counts as the
/// latter, since nobody is left to be told.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, ApiError> {
    let read = timeout(BODY_TIMEOUT, collect(body, limit_bytes)).await;
    read.unwrap_or(Err(ApiError::BodyTimeout))
}

async fn collect(mut body: Incoming, limit_bytes: usize) -> Result<Bytes, ApiError> {
    let mut kept = BytesMut::new();
    let mut dropped_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ApiError::BodyTimeout)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if dropped_bytes == 0 && kept.len() + data.len() <= limit_bytes {
            kept.extend_from_slice(&data);
        } else {
            dropped_bytes += data.len();
        }
        if dropped_bytes > DROPPED_MAX_BYTES {
            break;
        }
    }
    if dropped_bytes > 0 {
        return Err(ApiError::BodyTooLarge {
            limit_bytes: limit_bytes as u64,
        });
    }
    Ok(kept.freeze())
}
