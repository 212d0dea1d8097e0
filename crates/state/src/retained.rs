//! The first answers to requests, kept so that a resend with the same request id gets the same one.
//!
//! An answer is stored without what the resend carries again, such as the declared contents.

use crate::{
    change_plan::{ChangePlan, Effect, declarations},
    command::Operation,
    machine::{Applied, ChangeAnswer},
    rejection::Rejection,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use types::{Key, Resource};

/// An answer is kept for at least this long by the log's clock, in milliseconds, and longer as long
/// as it is among the last [`RETAIN_MIN_REQUESTS`].
pub const RETAIN_MIN_MS: u64 = 24 * 3_600 * 1_000;

/// The answers of at least this many requests are kept, however old they are.
pub const RETAIN_MIN_REQUESTS: usize = 10_000;

/// At most this many answers are kept; with that many, changes are rejected until the oldest one
/// expires.
pub const RETAINED_MAX_REQUESTS: usize = 30_000;

/// Once the kept answers take this many bytes, changes are rejected until expired answers are
/// dropped. That happens only while at least [`RETAIN_MIN_REQUESTS`] answers are kept: fewer ones
/// that take this many bytes stay, and changes stay rejected.
pub const RETAINED_MAX_BYTES: usize = 8 * 1024 * 1024;

/// The estimated size of an answer without its request id and lists, in bytes.
const ANSWER_BASE_BYTES: usize = 96;

/// A run of successive declarations with the same effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct EffectRun {
    #[serde(rename = "fate")]
    effect: Effect,
    count: u32,
}

/// An answer without what a resend of the same operation carries again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CompactAnswer {
    Put {
        version: u64,
        revision: u64,
    },
    Deleted {
        revision: u64,
    },
    Applied {
        revision: u64,
        #[serde(rename = "fates")]
        effects: Vec<EffectRun>,
        withdrawn: Vec<Key>,
    },
    Rejected(Rejection),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct RetainedAnswer {
    request_id: String,
    digest: u64,
    at_ms: u64,
    answer: CompactAnswer,
}

/// The first answers of the latest requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    rename_all = "snake_case",
    from = "Vec<RetainedAnswer>",
    into = "Vec<RetainedAnswer>"
)]
pub(crate) struct RetainedAnswers {
    answers: BTreeMap<String, RetainedAnswer>,
    /// The request ids, oldest first.
    order: VecDeque<String>,
    /// The sum of [`RetainedAnswer::size_bytes`].
    size_bytes: usize,
}

impl From<Vec<RetainedAnswer>> for RetainedAnswers {
    fn from(answers: Vec<RetainedAnswer>) -> Self {
        let mut retained = Self::default();
        for answer in answers {
            retained.push(answer);
        }
        retained
    }
}

impl From<RetainedAnswers> for Vec<RetainedAnswer> {
    fn from(mut retained: RetainedAnswers) -> Self {
        let order = std::mem::take(&mut retained.order);
        order
            .iter()
            .filter_map(|request_id| retained.answers.remove(request_id))
            .collect()
    }
}

impl RetainedAnswers {
    /// How many answers are kept.
    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    /// The first answer to a request, if it is kept; [`Rejection::RequestIdReused`] when the
    /// request id was used for an operation with another digest.
    pub(crate) fn find(
        &self,
        request_id: &str,
        digest: u64,
        operation: &Operation,
    ) -> Option<Result<ChangeAnswer, Rejection>> {
        let retained = self.answers.get(request_id)?;
        if retained.digest != digest {
            return Some(Err(Rejection::RequestIdReused {
                request_id: request_id.to_owned(),
            }));
        }
        Some(retained.answer.expand(operation))
    }

    /// Drops the expired answers beyond the last [`RETAIN_MIN_REQUESTS`]. Returns whether there is
    /// room for another answer.
    pub(crate) fn make_room(&mut self, clock_ms: u64) -> bool {
        while self.answers.len() >= RETAIN_MIN_REQUESTS && self.oldest_expired(clock_ms) {
            self.remove_oldest();
        }
        self.answers.len() < RETAINED_MAX_REQUESTS && self.size_bytes < RETAINED_MAX_BYTES
    }

    /// Keeps the first answer to a request; `plan` is what an accepted operation changed.
    pub(crate) fn insert(
        &mut self,
        request_id: &str,
        digest: u64,
        at_ms: u64,
        plan: Option<&ChangePlan>,
        answer: &Result<ChangeAnswer, Rejection>,
    ) {
        self.push(RetainedAnswer {
            request_id: request_id.to_owned(),
            digest,
            at_ms,
            answer: CompactAnswer::new(plan, answer),
        });
    }

    fn oldest_expired(&self, clock_ms: u64) -> bool {
        self.order
            .front()
            .and_then(|request_id| self.answers.get(request_id))
            .is_some_and(|oldest| oldest.at_ms.saturating_add(RETAIN_MIN_MS) <= clock_ms)
    }

    fn push(&mut self, retained: RetainedAnswer) {
        self.size_bytes += retained.size_bytes();
        self.order.push_back(retained.request_id.clone());
        self.answers.insert(retained.request_id.clone(), retained);
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .order
            .pop_front()
            .and_then(|request_id| self.answers.remove(&request_id));
        self.size_bytes -= oldest.map_or(0, |oldest| oldest.size_bytes());
    }
}

impl RetainedAnswer {
    /// An estimate of the memory that the answer takes. The request id is stored three times: in
    /// the answer, as its key and in the order of arrival.
    fn size_bytes(&self) -> usize {
        ANSWER_BASE_BYTES + 3 * self.request_id.len() + self.answer.lists_bytes()
    }
}

impl CompactAnswer {
    fn new(plan: Option<&ChangePlan>, answer: &Result<ChangeAnswer, Rejection>) -> Self {
        match answer {
            Ok(ChangeAnswer::Put(resource)) => Self::Put {
                version: resource.version,
                revision: resource.revision,
            },
            Ok(ChangeAnswer::Deleted { revision }) => Self::Deleted {
                revision: *revision,
            },
            Ok(ChangeAnswer::Applied(applied)) => Self::Applied {
                revision: applied.revision,
                effects: plan
                    .map(|plan| effect_runs(&plan.effects))
                    .unwrap_or_default(),
                withdrawn: applied.withdrawn.clone(),
            },
            // Not reached: answers to `Operation::Steer` are not retained.
            Ok(ChangeAnswer::Steered(_)) => Self::Deleted { revision: 0 },
            Err(rejection) => Self::Rejected(rejection.clone()),
        }
    }

    fn lists_bytes(&self) -> usize {
        match self {
            Self::Put { .. } | Self::Deleted { .. } | Self::Rejected(_) => 0,
            Self::Applied {
                effects, withdrawn, ..
            } => {
                let keys: usize = withdrawn
                    .iter()
                    .map(|key| size_of::<Key>() + key.name.as_str().len())
                    .sum();
                effects.len() * size_of::<EffectRun>() + keys
            }
        }
    }

    /// Restores the first answer from what was kept and the resent operation.
    fn expand(&self, operation: &Operation) -> Result<ChangeAnswer, Rejection> {
        match (self, operation) {
            (Self::Rejected(rejection), _) => Err(rejection.clone()),
            (Self::Put { version, revision }, Operation::Put(declaration)) => {
                Ok(ChangeAnswer::Put(Resource {
                    name: declaration.name.clone(),
                    spec: declaration.spec.clone(),
                    version: *version,
                    revision: *revision,
                }))
            }
            (
                Self::Applied {
                    revision,
                    effects,
                    withdrawn,
                },
                _,
            ) => {
                let effects = effects
                    .iter()
                    .flat_map(|run| std::iter::repeat_n(run.effect, run.count as usize))
                    .collect();
                let plan = ChangePlan {
                    effects,
                    withdrawn: withdrawn.clone(),
                };
                Ok(ChangeAnswer::Applied(Applied::new(
                    *revision,
                    declarations(operation),
                    plan,
                )))
            }
            (Self::Deleted { revision } | Self::Put { revision, .. }, _) => {
                Ok(ChangeAnswer::Deleted {
                    revision: *revision,
                })
            }
        }
    }
}

fn effect_runs(effects: &[Effect]) -> Vec<EffectRun> {
    let mut runs: Vec<EffectRun> = Vec::new();
    for effect in effects {
        match runs.last_mut() {
            Some(run) if run.effect == *effect => run.count += 1,
            _ => runs.push(EffectRun {
                effect: *effect,
                count: 1,
            }),
        }
    }
    runs
}
