//! What callers and upstreams record of each request.

use serde::{Deserialize, Serialize};
use types::{EntryName, Outcome, Refusal, ServiceName, TimeUs, UpstreamName};

/// Names a request among all callers of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestNumber(pub u64);

/// One sending of a request through an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AttemptId {
    /// The request.
    pub request: RequestNumber,
    /// Counts its sendings from 1.
    pub attempt: u32,
}

/// What a caller makes of the body of a finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// The whole answer to this very attempt.
    Own,
    /// An answer to something else.
    Foreign,
    /// Not a whole answer, though it ended as if whole.
    Damaged,
}

/// How an attempt ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The entry said that it finished.
    Finished(AnswerCheck),
    /// The entry said that it did not run.
    DidNotRun(Option<Refusal>),
    /// The entry said that it may have run.
    Unknown(Option<Refusal>),
    /// No byte of it left the caller.
    NotSent,
    /// The connection broke before the answer was whole.
    Broken,
    /// No answer came in time.
    TimedOut,
}

impl AttemptResult {
    /// The outcome that the caller counts.
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
    /// The entry that it went through.
    pub entry: EntryName,
    /// When it was sent.
    pub started_us: TimeUs,
    /// When the caller stops waiting.
    pub deadline_us: TimeUs,
    /// When it ended.
    pub ended_us: TimeUs,
    /// How it ended.
    pub result: AttemptResult,
}

/// A caller's record of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Names it.
    pub number: RequestNumber,
    /// The service.
    pub service: ServiceName,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Its attempts; every one but the last ended without a run.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// What became of it in the end.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.attempts
            .last()
            .map_or(Outcome::DidNotRun, |attempt| attempt.result.outcome())
    }

    /// Time from its first sending to its end, as its caller saw it.
    #[must_use]
    pub fn latency_us(&self) -> u64 {
        match (self.attempts.first(), self.attempts.last()) {
            (Some(first), Some(last)) => last.ended_us.since_us(first.started_us),
            _ => 0,
        }
    }
}

/// How a run ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It still runs.
    Running,
    /// The whole answer was handed to the connection.
    Finished,
    /// The connection closed first.
    Aborted,
}

/// An upstream's record of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The attempt that it ran.
    pub attempt: AttemptId,
    /// When it started.
    pub started_us: TimeUs,
    /// How it ended.
    pub state: RunState,
}
