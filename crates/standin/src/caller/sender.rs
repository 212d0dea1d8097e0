//! One caller: sends its requests one after the other, resends those that did not run, and records
//! every attempt.

use crate::{
    answer::{path_and_query, verify},
    caller::{Load, lookup::LookupCache},
    clock::Clock,
    http::{Connection, HttpError},
    record::{Attempt, AttemptId, AttemptResult, Request, RequestNumber},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Response, body::Incoming, header::HOST};
use std::{collections::BTreeMap, net::SocketAddr, str::FromStr, time::Duration};
use tokio::time::{Instant, sleep_until, timeout};
use types::{LookupEntry, Outcome, Refusal, TimeUs};

/// How much longer than the deadline a caller waits for the entry to answer with the outcome.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// The pause before a request is resent, or before the next look-up when no entry is known.
const RESEND_PAUSE: Duration = Duration::from_millis(20);

/// The request header with the deadline in milliseconds.
const DEADLINE: &str = "ow-deadline-ms";
/// The request header by which entries run a request at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The answer header with the outcome.
const OUTCOME: &str = "ow-outcome";
/// The answer header with the reason why a request was refused.
const REFUSAL: &str = "ow-refusal";

#[derive(Debug)]
pub(super) struct Sender {
    load: Load,
    lookups: LookupCache,
    connections: BTreeMap<SocketAddr, Connection>,
    clock: Clock,
    next: RequestNumber,
}

impl Sender {
    pub(super) fn new(
        load: &Load,
        entries: &[SocketAddr],
        clock: Clock,
        first: RequestNumber,
    ) -> Self {
        let first_entry = usize::try_from(first.0 >> 32).unwrap_or(0);
        Self {
            load: load.clone(),
            lookups: LookupCache::new(&load.service, entries, first_entry),
            connections: BTreeMap::new(),
            clock,
            next: first,
        }
    }

    /// Sends the next request, and resends it while it certainly did not run, up to the load's
    /// limit of attempts.
    pub(super) async fn send_next(&mut self) -> Request {
        let number = self.next;
        self.next = RequestNumber(number.0 + 1);
        let mut attempts = Vec::new();
        for _ in 0..self.load.attempts_max {
            let id = AttemptId {
                request: number,
                attempt: u32::try_from(attempts.len()).map_or(u32::MAX, |count| count + 1),
            };
            if let Some(entry) = self.choose().await {
                let record = self.attempt(&entry, id).await;
                let resend = may_resend(record.result);
                attempts.push(record);
                if !resend {
                    break;
                }
                self.lookups.avoid(&entry.name);
            }
            sleep_until(Instant::now() + RESEND_PAUSE).await;
        }
        Request {
            number,
            service: self.load.service.clone(),
            idempotent: self.load.idempotent,
            attempts,
        }
    }

    async fn choose(&mut self) -> Option<LookupEntry> {
        match &self.load.fixed_entry {
            Some(entry) => Some(entry.clone()),
            None => self.lookups.choose().await,
        }
    }

    async fn attempt(&mut self, entry: &LookupEntry, id: AttemptId) -> Attempt {
        let started_us = self.clock.now_us();
        let wait_timeout = self.load.deadline + ANSWER_GRACE;
        let result = match timeout(wait_timeout, self.exchange(entry, id)).await {
            Ok(Ok(result)) => result,
            Ok(Err(error)) if error.not_sent() => AttemptResult::NotSent,
            Ok(Err(_)) => AttemptResult::Broken,
            Err(_) => AttemptResult::TimedOut,
        };
        if matches!(result, AttemptResult::Broken | AttemptResult::TimedOut) {
            self.connections.remove(&entry.address);
            self.lookups.avoid(&entry.name);
        }
        Attempt {
            entry: entry.name.clone(),
            started_us,
            deadline_us: self.deadline_after(started_us),
            ended_us: self.clock.now_us(),
            result,
        }
    }

    fn deadline_after(&self, started_us: TimeUs) -> TimeUs {
        started_us.after_us(u64::try_from(self.load.deadline.as_micros()).unwrap_or(u64::MAX))
    }

    async fn exchange(
        &mut self,
        entry: &LookupEntry,
        id: AttemptId,
    ) -> Result<AttemptResult, HttpError> {
        let request = request(&self.load, entry.address, id)?;
        let size_bytes = self.load.answer_bytes;
        let connection = self
            .connections
            .entry(entry.address)
            .or_insert_with(|| Connection::new(entry.address));
        let response = connection.send(request).await?;
        read_answer(response, id, size_bytes).await
    }
}

fn request(
    load: &Load,
    address: SocketAddr,
    id: AttemptId,
) -> Result<hyper::Request<Full<Bytes>>, HttpError> {
    let method = if load.idempotent {
        Method::GET
    } else {
        Method::POST
    };
    let mut builder = hyper::Request::builder()
        .method(method)
        .uri(format!("/s/{}{}", load.service, path_and_query(id)))
        .header(HOST, address.to_string())
        .header(DEADLINE, load.deadline.as_millis().to_string());
    if !load.idempotent {
        builder = builder.header(IDEMPOTENCY_KEY, format!("request-{}", id.request.0));
    }
    Ok(builder.body(Full::default())?)
}

async fn read_answer(
    response: Response<Incoming>,
    id: AttemptId,
    size_bytes: usize,
) -> Result<AttemptResult, HttpError> {
    let refusal = header(response.headers(), REFUSAL);
    let result = match header(response.headers(), OUTCOME) {
        Some(Outcome::Finished) => None,
        Some(Outcome::DidNotRun) => Some(AttemptResult::DidNotRun(refusal)),
        Some(Outcome::Unknown) | None => Some(AttemptResult::Unknown(refusal)),
    };
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(result.unwrap_or_else(|| AttemptResult::Finished(verify(&bytes, id, size_bytes))))
}

fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Whether the request certainly did not run and may still run elsewhere. A duplicate or a request
/// past its deadline may not.
const fn may_resend(result: AttemptResult) -> bool {
    match result {
        AttemptResult::NotSent => true,
        AttemptResult::DidNotRun(refusal) => {
            !matches!(refusal, Some(Refusal::Duplicate | Refusal::Deadline))
        }
        AttemptResult::Finished(_)
        | AttemptResult::Unknown(_)
        | AttemptResult::Broken
        | AttemptResult::TimedOut => false,
    }
}
