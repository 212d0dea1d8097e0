//! Judges the head of an upstream's answer: whether the upstream refused the attempt, and whether its
//! refusal can be believed.

use crate::api::Ending;
use types::IdMatch;

/// What decides whether an answer goes to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether it states that the request did not run.
    pub states_not_run: bool,
    /// Whether it names the attempt.
    pub id_match: IdMatch,
    /// Whether an earlier request was sent over the same connection.
    pub is_on_used_connection: bool,
}

impl AnswerHead {
    /// How the attempt ended; `None` when the answer goes to the caller.
    #[must_use]
    pub const fn ending(&self) -> Option<Ending> {
        if !self.states_not_run {
            return None;
        }
        let is_own = match self.id_match {
            IdMatch::Same => true,
            // On a connection in use before, it may be an earlier refusal, written once more.
            IdMatch::BothAbsent | IdMatch::Missing => !self.is_on_used_connection,
            IdMatch::Other => false,
        };
        Some(match is_own {
            true => Ending::Refused,
            false => Ending::Broken,
        })
    }
}
