//! Bounded waits on a condition that an HTTP interface shows.

use crate::http::{HttpError, get};
use hyper::StatusCode;
use serde_json::Value;
use std::{future::Future, net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::time::{Instant, sleep_until};

/// The first pause between two polls.
const POLL_PAUSE_MIN: Duration = Duration::from_millis(10);
/// The longest pause between two polls.
const POLL_PAUSE_MAX: Duration = Duration::from_millis(200);
/// How long one poll may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// What a poll saw when the condition did not hold yet.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{observed}")]
pub struct Pending {
    /// In words, for the message of a wait that fails.
    pub observed: String,
}

impl Pending {
    /// Keeps what a poll saw.
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

/// The condition did not come true in time.
#[derive(Debug, Error)]
#[error("timed out after {timeout_ms} ms waiting for {what}; last poll: {last_poll}")]
pub struct WaitTimedOut {
    /// The condition.
    pub what: String,
    /// The bound.
    pub timeout_ms: u128,
    /// The last poll's result.
    pub last_poll: Pending,
}

/// Polls until `probe` yields a value, or fails after `wait_timeout`.
///
/// `probe` returns what it saw when the condition doesn't hold yet.
///
/// # Errors
///
/// [`WaitTimedOut`] with what the last poll saw.
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

/// Polls `path` until its answer meets `holds`, or fails after `wait_timeout`.
///
/// # Errors
///
/// [`WaitTimedOut`] with the last answer.
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
