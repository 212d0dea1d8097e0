//! Bounded waits on a condition that an HTTP interface shows.

use crate::http::{HttpError, get};
use hyper::StatusCode;
use serde_json::Value;
use std::{future::Future, net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::time::{Instant, sleep_until};

/// The first pause between two polls.
const PAUSE_MIN: Duration = Duration::from_millis(10);
/// The longest pause between two polls.
const PAUSE_MAX: Duration = Duration::from_millis(200);
/// How long one poll may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// What a poll saw when the condition did not hold yet.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{seen}")]
pub struct Pending {
    /// In words, for the message of a wait that fails.
    pub seen: String,
}

impl Pending {
    /// Keeps what a poll saw.
    #[must_use]
    pub fn new(seen: impl ToString) -> Self {
        Self {
            seen: seen.to_string(),
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
#[error("{what} did not come true within {bound_ms} ms; last seen: {last}")]
pub struct NotInTime {
    /// The condition.
    pub what: String,
    /// The bound.
    pub bound_ms: u128,
    /// The last poll's result.
    pub last: Pending,
}

/// Polls until `probe` yields a value, or fails after `bound`.
///
/// `probe` returns what it saw when the condition doesn't hold yet.
///
/// # Errors
///
/// [`NotInTime`] with what the last poll saw.
pub async fn wait_until<T, P, F>(what: &str, bound: Duration, mut probe: P) -> Result<T, NotInTime>
where
    P: FnMut() -> F,
    F: Future<Output = Result<T, Pending>>,
{
    let deadline = Instant::now() + bound;
    let mut pause = PAUSE_MIN;
    loop {
        let last = match probe().await {
            Ok(value) => return Ok(value),
            Err(last) => last,
        };
        let next = Instant::now() + pause;
        if next > deadline {
            return Err(NotInTime {
                what: what.to_owned(),
                bound_ms: bound.as_millis(),
                last,
            });
        }
        sleep_until(next).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

/// Polls `path` until its answer meets `holds`, or fails after `bound`.
///
/// # Errors
///
/// [`NotInTime`] with the last answer.
pub async fn wait_for_answer(
    address: SocketAddr,
    path: &str,
    bound: Duration,
    holds: impl Fn(StatusCode, &Value) -> bool,
) -> Result<Value, NotInTime> {
    let what = format!("http://{address}{path}");
    let holds = &holds;
    wait_until(&what, bound, || async move {
        let (status, body) = get(address, path, POLL_TIMEOUT).await?;
        if holds(status, &body) {
            return Ok(body);
        }
        Err(Pending::new(format!("{status} {body}")))
    })
    .await
}
