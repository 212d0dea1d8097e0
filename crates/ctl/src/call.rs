//! Requests to whichever control replica can answer.

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

/// How long one server may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(7);

const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(1);

const STATUS_OK: u16 = 200;

/// The body of an error.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct ErrorAnswer {
    error: ApiError,
}

/// Why an attempt is worth repeating, as the last one to be told.
#[derive(Debug)]
enum Retry {
    /// The leader is said to be elsewhere.
    Leader(Option<String>),
    /// The replica can't answer now.
    Later(ApiError),
    /// The replica did not answer.
    Unreachable(ClientError),
}

/// Sends requests to the control replicas.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    servers: Vec<String>,
    preferred: usize,
    deadline: Instant,
}

impl Caller {
    /// A caller of these servers that gives up at the deadline.
    #[must_use]
    pub fn new(client: Client, servers: &[String], deadline: Instant) -> Self {
        Self {
            client,
            servers: servers.to_vec(),
            preferred: 0,
            deadline,
        }
    }

    /// Sends a request until a replica answers it for good; each resend is the same in every byte.
    ///
    /// # Errors
    ///
    /// [`CtlError::Api`] with the answer when it is an error, or with the last one at the deadline;
    /// [`CtlError::Unreachable`] when no replica answered before it.
    pub async fn call<T: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CtlError> {
        self.call_waiting(method, path, body, ANSWER_TIMEOUT).await
    }

    /// Like [`Self::call`], for an answer that may take long.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn call_waiting<T: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<T, CtlError> {
        let mut backoff = BACKOFF_MIN;
        let mut failures = 0;
        let mut told = None;
        loop {
            let server = self.servers[self.preferred].clone();
            let sent = self
                .client
                .send(&server, method.clone(), path, body.clone(), wait)
                .await;
            let retry = match sent {
                Ok(answer) if answer.status_code == STATUS_OK => {
                    return Ok(serde_json::from_slice(&answer.body)?);
                }
                Ok(answer) => retry_of(&answer.body)?,
                Err(error) => Retry::Unreachable(error),
            };
            failures += 1;
            let redirected = self.turn(&retry);
            if Instant::now() + backoff >= self.deadline {
                return Err(give_up(retry, told));
            }
            if let Retry::Later(error) = retry {
                told = Some(error);
            }
            if !redirected || failures % self.servers.len() == 0 {
                sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }

    /// Every server, as it was given.
    #[must_use]
    pub fn servers(&self) -> &[String] {
        &self.servers
    }

    /// The client that shows the operator's token.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Chooses the next server; whether the last one named it.
    fn turn(&mut self, retry: &Retry) -> bool {
        if let Retry::Leader(Some(leader)) = retry {
            self.preferred = match self.servers.iter().position(|it| it == leader) {
                Some(at) => at,
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

fn retry_of(body: &[u8]) -> Result<Retry, CtlError> {
    let ErrorAnswer { error } = serde_json::from_slice(body)?;
    match error {
        ApiError::NotLeader { leader } => Ok(Retry::Leader(leader)),
        ApiError::Unavailable | ApiError::TooBusy => Ok(Retry::Later(error)),
        _ => Err(CtlError::Api(error)),
    }
}

fn give_up(retry: Retry, told: Option<ApiError>) -> CtlError {
    match (retry, told) {
        (Retry::Later(error), _) | (Retry::Unreachable(_), Some(error)) => CtlError::Api(error),
        (Retry::Leader(_), _) => CtlError::Api(ApiError::Unavailable),
        (Retry::Unreachable(error), None) => CtlError::Unreachable(error),
    }
}

/// A request id that no other change has.
#[must_use]
pub fn request_id() -> String {
    let word = || RandomState::new().build_hasher().finish();
    format!("ctl-{:016x}{:016x}", word(), word())
}
