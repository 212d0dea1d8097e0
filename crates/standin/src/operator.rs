//! A stand-in operator: sends changes and resends them when their answer is lost.

use crate::{
    condition::{Pending, WaitTimedOut, wait_until},
    http::Connection,
};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use types::Key;

/// How long a control replica may take to answer a change.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends changes to whichever control replica leads.
#[derive(Debug)]
pub struct Operator {
    name: String,
    controls: Vec<SocketAddr>,
    sent: u64,
}

impl Operator {
    /// An operator whose name begins the ids of its requests.
    #[must_use]
    pub fn new(name: &str, controls: &[SocketAddr]) -> Self {
        Self {
            name: name.to_owned(),
            controls: controls.to_vec(),
            sent: 0,
        }
    }

    /// Puts a resource and returns it as accepted; resends under one id until it is answered.
    ///
    /// # Errors
    ///
    /// [`WaitTimedOut`] when no replica accepts or rejects it within `wait_timeout`.
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
