//! Judges the head of an upstream's answer: whether it belongs to the attempt, and whether it says that
//! the request ran.

use crate::api::Ending;
use types::IdMatch;

/// HTTP statuses by which clients are told that a request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// How an upstream states that it did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// It had no capacity, or the request's time was over.
    Refused,
    /// It is not the instance that the request was for.
    OtherInstance,
}

/// What decides how an attempt ended whose upstream has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status_code: u16,
    /// Whether it names the attempt; upstreams repeat its ID in all their answers.
    pub id_match: IdMatch,
    /// Whether it has the signature, which only upstreams set.
    pub is_signed: bool,
    /// The statement that the request was not run; `None` without one.
    pub not_run: Option<NotRun>,
}

impl AnswerHead {
    /// How the attempt ended, if the answer is complete.
    #[must_use]
    pub fn ending(&self) -> Ending {
        if !self.is_trusted() {
            return Ending::Broken;
        }
        match self.not_run.filter(|_| self.may_state_not_run()) {
            Some(NotRun::OtherInstance) => Ending::Misdirected,
            Some(NotRun::Refused) => Ending::Full,
            None if self.promises_not_run() => Ending::Ambiguous,
            None if self.status_code >= 500 => Ending::Failed,
            None => Ending::Answered,
        }
    }

    /// Whether the answer belongs to the attempt. What promises something to the client, a success or
    /// that the request did not run, must name the attempt, and a success must have a signature.
    fn is_trusted(&self) -> bool {
        let states_not_run = self.not_run.is_some();
        // An answer can't say both that the request ran to a good end and that it did not run.
        if self.is_success() && states_not_run {
            return false;
        }
        let is_promise = self.is_success() || self.promises_not_run() || states_not_run;
        match self.id_match {
            IdMatch::Same | IdMatch::BothAbsent => self.is_signed || !self.is_success(),
            IdMatch::Missing => !is_promise,
            IdMatch::Other => false,
        }
    }

    /// Whether its status tells clients that the request did not run. An upstream may answer so after
    /// it has run the request, for example when it fails for lack of capacity midway.
    fn promises_not_run(&self) -> bool {
        NOT_RUN_STATUSES.contains(&self.status_code)
    }

    /// Whether an upstream that did not run the request may answer with its status. All others say that
    /// it ran the request, or failed to.
    const fn may_state_not_run(&self) -> bool {
        matches!(self.status_code, 400..=499 | 503)
    }

    const fn is_success(&self) -> bool {
        matches!(self.status_code, 200..=299)
    }
}
