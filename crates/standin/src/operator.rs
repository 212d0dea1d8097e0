//! A stand-in operator: puts resources and resends a change under the same id until it is answered.

use crate::{
    condition::{Pending, WaitTimedOut, wait_until},
    http::Connection,
};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use types::Key;

/// The timeout of a change at one control replica.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends changes to the control replicas in turn, until one accepts or rejects them.
#[derive(Debug)]
pub struct Operator {
    name: String,
    controls: Vec<SocketAddr>,
    sent: u64,
}

impl Operator {
    /// Creates an operator. Its request ids are `NAME-1`, `NAME-2` and so on.
    #[must_use]
    pub fn new(name: &str, controls: &[SocketAddr]) -> Self {
        Self {
            name: name.to_owned(),
            controls: controls.to_vec(),
            sent: 0,
        }
    }

    /// Puts a resource that is based on a version, 0 for a new one. Resends it under the same id
    /// until a replica answers with a status other than 503, and returns that answer.
    ///
    /// # Errors
    ///
    /// [`WaitTimedOut`] when no replica answers so within `wait_timeout`.
    pub async fn put<S: Serialize + Sync>(
        &mut self,
        key: &Key,
        based_on: u64,
        spec: &S,
        wait_timeout: Duration,
    ) -> Result<(StatusCode, Value), WaitTimedOut> {
        self.sent += 1;
        let request_id = format!("{}-{}", self.name, self.sent);
        let body = json!({"request_id": request_id, "based_on": based_on, "spec": spec});
        let path = format!("/v1/resources/{}/{}", key.kind, key.name);
        let this = &*self;
        wait_until(&path, wait_timeout, || this.try_each_replica(&path, &body)).await
    }

    async fn try_each_replica(
        &self,
        path: &str,
        body: &Value,
    ) -> Result<(StatusCode, Value), Pending> {
        let mut last_failure = Pending::new("no control replica answers");
        for address in &self.controls {
            let answer = Connection::new(*address)
                .json(Method::PUT, path, Some(body), ANSWER_TIMEOUT)
                .await;
            match answer {
                Ok((StatusCode::SERVICE_UNAVAILABLE, body)) => last_failure = Pending::new(body),
                Ok(answered) => return Ok(answered),
                Err(error) => last_failure = error.into(),
            }
        }
        Err(last_failure)
    }
}
