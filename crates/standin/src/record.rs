//! The records that callers keep of each request and upstreams of each run.

use serde::{Deserialize, Serialize};
use types::{EntryName, Outcome, Refusal, ServiceName, TimeUs, UpstreamName};

/// Identifies a request among all callers of a process. Part of its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestNumber(pub u64);

/// Identifies one attempt to send a request through an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AttemptId {
    /// The request that is sent.
    pub request: RequestNumber,
    /// The number of the attempt, from 1.
    pub attempt: u32,
}

/// The result of verifying the body of a finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// The complete answer to this attempt.
    Own,
    /// An answer to another attempt.
    Foreign,
    /// The body is invalid or has the wrong size, though HTTP reported it as complete.
    Damaged,
}

/// How an attempt ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The entry reported that it finished.
    Finished(AnswerCheck),
    /// The entry reported that it did not run, and why if it said so.
    DidNotRun(Option<Refusal>),
    /// The entry reported that it may have run, or reported no valid outcome.
    Unknown(Option<Refusal>),
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke before the answer was complete.
    Broken,
    /// No complete answer came within the deadline and the caller's grace period.
    TimedOut,
}

impl AttemptResult {
    /// The outcome for the caller: without an answer it is unknown, unless nothing was sent.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Finished(_) => Outcome::Finished,
            Self::DidNotRun(_) | Self::NotSent => Outcome::DidNotRun,
            Self::Unknown(_) | Self::Broken | Self::TimedOut => Outcome::Unknown,
        }
    }
}

/// A caller's record of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The entry that it was sent to.
    pub entry: EntryName,
    /// When the caller began to connect or send.
    pub started_us: TimeUs,
    /// The start plus the deadline that was stated to the entry. The caller waits for the answer a
    /// little longer.
    pub deadline_us: TimeUs,
    /// When the answer was complete, or the caller gave up.
    pub ended_us: TimeUs,
    /// The result for the caller.
    pub result: AttemptResult,
}

/// A caller's record of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request.
    pub number: RequestNumber,
    /// The service that was called.
    pub service: ServiceName,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The attempts; all but the last certainly did not run. Empty if no entry was known.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// The outcome of the last attempt; did not run if there is none.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.attempts
            .last()
            .map_or(Outcome::DidNotRun, |attempt| attempt.result.outcome())
    }

    /// The time from the start of the first attempt to the end of the last, 0 without attempts.
    #[must_use]
    pub fn latency_us(&self) -> u64 {
        match (self.attempts.first(), self.attempts.last()) {
            (Some(first), Some(last)) => last.ended_us.since_us(first.started_us),
            _ => 0,
        }
    }
}

/// The state of a run at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It is still running.
    Running,
    /// The complete answer was handed to the connection.
    Finished,
    /// The connection closed before the answer was complete.
    Aborted,
}

/// An upstream's record of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The upstream that ran it.
    pub upstream: UpstreamName,
    /// The attempt, from the request's query.
    pub attempt: AttemptId,
    /// When the upstream took a slot for it.
    pub started_us: TimeUs,
    /// Its state when the record was read.
    pub state: RunState,
}
