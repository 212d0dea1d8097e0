//! Sends requests to the control replicas: retries them at one replica after the other until one
//! gives a final answer or the deadline has passed.

use crate::{
    client::{Client, ClientError},
    error::CtlError,
};
use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, de::DeserializeOwned};
use std::{
    hash::{BuildHasher, Hasher, RandomState},
    time::Duration,
};
use tokio::time::{Instant, sleep};
use types::ApiError;

/// How long one attempt may wait for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(7);

const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(1);

const STATUS_OK: u16 = 200;

/// The body of an answer whose status is not 200.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct ErrorBody {
    error: ApiError,
}

/// Why an attempt is retried.
#[derive(Debug)]
enum RetryReason {
    /// The replica isn't the leader; holds the leader's HTTP address when the replica knows it.
    NotLeader(Option<String>),
    /// The replica can't answer now: `unavailable` or `too_busy`.
    Unavailable(ApiError),
    /// The replica gave no complete answer.
    Unreachable(ClientError),
}

/// Sends requests to the control replicas, first to the one that answered the previous request.
#[derive(Debug)]
pub struct ControlClient {
    client: Client,
    servers: Vec<String>,
    /// The index in `servers` of the server for the next attempt.
    preferred: usize,
    deadline: Instant,
}

impl ControlClient {
    /// A client of these servers that starts no retry after the deadline. [`Self::call`] panics when
    /// `servers` is empty.
    #[must_use]
    pub fn new(client: Client, servers: &[String], deadline: Instant) -> Self {
        Self {
            client,
            servers: servers.to_vec(),
            preferred: 0,
            deadline,
        }
    }

    /// Sends a request until a replica gives a final answer. Every attempt sends the same bytes.
    ///
    /// # Errors
    ///
    /// [`CtlError::Api`] with the answer when it is a final error, or with the last error answer
    /// when the deadline comes first (`unavailable` in place of `not_leader`);
    /// [`CtlError::Unreachable`] when the deadline comes first, the last attempt got no answer, and
    /// no earlier one was answered with `unavailable` or `too_busy`;
    /// [`CtlError::Answer`] for a body that isn't the expected JSON.
    pub async fn call<T: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CtlError> {
        self.call_with_timeout(method, path, body, ANSWER_TIMEOUT)
            .await
    }

    /// Like [`Self::call`], with another limit on the time that one attempt waits for its answer.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn call_with_timeout<T: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        answer_timeout: Duration,
    ) -> Result<T, CtlError> {
        let mut backoff = BACKOFF_MIN;
        let mut failures = 0;
        let mut last_error = None;
        loop {
            let server = self.servers[self.preferred].clone();
            let result = self
                .client
                .send(&server, method.clone(), path, body.clone(), answer_timeout)
                .await;
            let reason = match result {
                Ok(answer) if answer.status_code == STATUS_OK => {
                    return Ok(serde_json::from_slice(&answer.body)?);
                }
                Ok(answer) => parse_retry_reason(&answer.body)?,
                Err(error) => RetryReason::Unreachable(error),
            };
            failures += 1;
            let redirected = self.select_server(&reason);
            if Instant::now() + backoff >= self.deadline {
                return Err(deadline_error(reason, last_error));
            }
            if let RetryReason::Unavailable(error) = reason {
                last_error = Some(error);
            }
            // A named leader is tried without a pause, except after each round of as many failures
            // as there are servers.
            if !redirected || failures % self.servers.len() == 0 {
                sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }

    /// The servers that were given, then the leaders that replicas named in answers.
    #[must_use]
    pub fn servers(&self) -> &[String] {
        &self.servers
    }

    /// The HTTP client, which sends the operators' token if there is one.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Chooses the server of the next attempt: the named leader, otherwise the next in turn.
    /// Returns whether it is a named leader.
    fn select_server(&mut self, reason: &RetryReason) -> bool {
        if let RetryReason::NotLeader(Some(leader)) = reason {
            self.preferred = match self.servers.iter().position(|it| it == leader) {
                Some(index) => index,
                None => {
                    self.servers.push(leader.clone());
                    self.servers.len() - 1
                }
            };
            return true;
        }
        self.preferred = (self.preferred + 1) % self.servers.len();
        false
    }
}

fn parse_retry_reason(body: &[u8]) -> Result<RetryReason, CtlError> {
    let ErrorBody { error } = serde_json::from_slice(body)?;
    match error {
        ApiError::NotLeader { leader } => Ok(RetryReason::NotLeader(leader)),
        ApiError::Unavailable | ApiError::TooBusy => Ok(RetryReason::Unavailable(error)),
        _ => Err(CtlError::Api(error)),
    }
}

/// The error of a request whose last attempt failed for `reason` just before the deadline;
/// `last_error` is the latest `unavailable` or `too_busy` of the earlier attempts.
fn deadline_error(reason: RetryReason, last_error: Option<ApiError>) -> CtlError {
    match (reason, last_error) {
        (RetryReason::Unavailable(error), _) | (RetryReason::Unreachable(_), Some(error)) => {
            CtlError::Api(error)
        }
        (RetryReason::NotLeader(_), _) => CtlError::Api(ApiError::Unavailable),
        (RetryReason::Unreachable(error), None) => CtlError::Unreachable(error),
    }
}

/// A random request id of 128 bits, so that no two changes share one.
#[must_use]
pub fn random_request_id() -> String {
    let random = || RandomState::new().build_hasher().finish();
    format!("ctl-{:016x}{:016x}", random(), random())
}
