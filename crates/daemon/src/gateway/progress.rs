//! How far clients' requests have come, for the log line of one whose connection ends before its
//! answer.

use crate::{clock::Clock, http::Client};
use gate::Target;
use slog::{Logger, info};
use strum::IntoStaticStr;
use types::TimeUs;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Stage {
    ReadingBody,
    AwaitingDecision,
    AtUpstream,
    Answering,
}

/// How far a request has come. Dropping it before [`Self::finish`], as when the connection of the
/// client ends, logs who ended it.
#[derive(Debug)]
pub struct Progress {
    request: String,
    client: Client,
    stage: Stage,
    /// The upstream of the last attempt.
    upstream: Option<String>,
    attempt: Option<u32>,
    arrived_us: TimeUs,
    clock: Clock,
    log: Logger,
    is_open: bool,
}

impl Progress {
    /// A request that arrives now, by the ID that its client gave it.
    pub fn new(request: String, client: Client, clock: Clock, log: &Logger) -> Self {
        Self {
            request,
            client,
            stage: Stage::ReadingBody,
            upstream: None,
            attempt: None,
            arrived_us: clock.now_us(),
            clock,
            log: log.clone(),
            is_open: true,
        }
    }

    /// When the request arrived.
    pub const fn arrived_us(&self) -> TimeUs {
        self.arrived_us
    }

    /// The client that waits for the answer.
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// The request was read and waits for a decision.
    pub const fn await_decision(&mut self) {
        self.stage = Stage::AwaitingDecision;
    }

    /// An attempt begins.
    pub fn begin_attempt(&mut self, target: &Target) {
        self.stage = Stage::AtUpstream;
        self.upstream = Some(target.upstream.to_string());
        self.attempt = Some(target.attempt);
    }

    /// The attempt that is delivered has ended.
    pub const fn begin_answer(&mut self) {
        self.stage = Stage::Answering;
    }

    /// The response goes to the client.
    pub fn finish(mut self) {
        self.is_open = false;
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let stage: &'static str = self.stage.into();
        let end = self.client.end();
        info!(self.log, "connection ended with a request unanswered";
            "request" => &self.request,
            "client" => %self.client.address(),
            "ended_by" => end.map(|it| <&'static str>::from(it.party())),
            "cause" => end.map(<&'static str>::from),
            "stage" => stage,
            "upstream" => &self.upstream,
            "attempt" => self.attempt,
            "elapsed_ms" => self.clock.now_us().since_us(self.arrived_us) / 1_000);
    }
}
