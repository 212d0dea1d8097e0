//! Waits that poll a condition, usually over HTTP, and fail with the last observation at a timeout.

use crate::http::{HttpError, get};
use hyper::StatusCode;
use serde_json::Value;
use std::{future::Future, net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::time::{Instant, sleep_until};

/// The first pause between two polls; it doubles after each poll.
const POLL_PAUSE_MIN: Duration = Duration::from_millis(10);
/// The limit for the doubled pause.
const POLL_PAUSE_MAX: Duration = Duration::from_millis(200);
/// The timeout of one HTTP poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// What a poll observed while the condition was not met yet.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{observed}")]
pub struct Pending {
    /// Text for the error of a wait that times out.
    pub observed: String,
}

impl Pending {
    /// Stores the observation as text.
    #[must_use]
    pub fn new(observed: impl ToString) -> Self {
        Self {
            observed: observed.to_string(),
        }
    }
}

impl From<HttpError> for Pending {
    fn from(error: HttpError) -> Self {
        match std::error::Error::source(&error) {
            Some(source) => Self::new(format!("{error}: {source}")),
            None => Self::new(error),
        }
    }
}

/// The condition was not met before the timeout.
#[derive(Debug, Error)]
#[error("timed out after {timeout_ms} ms waiting for {what}; last poll: {last_poll}")]
pub struct WaitTimedOut {
    /// The condition, in words or as a URL.
    pub what: String,
    /// How long the wait lasted at most.
    pub timeout_ms: u128,
    /// What the last poll observed.
    pub last_poll: Pending,
}

/// Polls until `probe` yields a value, or fails after `wait_timeout`.
///
/// `probe` returns what it observed while the condition is not met. `what` names the condition in
/// the error. A running poll is not cancelled at the timeout.
///
/// # Errors
///
/// [`WaitTimedOut`] with what the last poll observed.
pub async fn wait_until<T, P, F>(
    what: &str,
    wait_timeout: Duration,
    mut probe: P,
) -> Result<T, WaitTimedOut>
where
    P: FnMut() -> F,
    F: Future<Output = Result<T, Pending>>,
{
    let deadline = Instant::now() + wait_timeout;
    let mut pause = POLL_PAUSE_MIN;
    loop {
        let last_poll = match probe().await {
            Ok(value) => return Ok(value),
            Err(last_poll) => last_poll,
        };
        let next = Instant::now() + pause;
        if next > deadline {
            return Err(WaitTimedOut {
                what: what.to_owned(),
                timeout_ms: wait_timeout.as_millis(),
                last_poll,
            });
        }
        sleep_until(next).await;
        pause = (pause * 2).min(POLL_PAUSE_MAX);
    }
}

/// Sends GET requests for `path` until the status and body meet `is_met`, and returns that body.
///
/// # Errors
///
/// [`WaitTimedOut`] after `wait_timeout`, with the last answer or HTTP error.
pub async fn wait_for_answer(
    address: SocketAddr,
    path: &str,
    wait_timeout: Duration,
    is_met: impl Fn(StatusCode, &Value) -> bool,
) -> Result<Value, WaitTimedOut> {
    let what = format!("http://{address}{path}");
    let is_met = &is_met;
    wait_until(&what, wait_timeout, || async move {
        let (status, body) = get(address, path, POLL_TIMEOUT).await?;
        if is_met(status, &body) {
            return Ok(body);
        }
        Err(Pending::new(format!("{status} {body}")))
    })
    .await
}
