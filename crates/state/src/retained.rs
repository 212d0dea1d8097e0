//! First answers, kept for resends with the same request id.

use crate::{
    command::Operation,
    machine::{Accepted, Applied},
    plan::{Fate, Plan, declarations},
    rejection::Rejection,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use types::{Key, Resource};

/// An answer is kept for at least so long by the log's clock.
pub const RETAIN_MIN_MS: u64 = 24 * 3_600 * 1_000;

/// At least the answers of so many requests are kept.
pub const RETAIN_MIN_REQUESTS: usize = 10_000;

/// No more answers than this are kept; further changes are refused.
pub const RETAINED_MAX_REQUESTS: usize = 30_000;

/// Kept answers take no more than this, in bytes; further changes are refused.
pub const RETAINED_MAX_BYTES: usize = 8 * 1024 * 1024;

/// What an answer takes besides its request id and lists, in bytes.
const ANSWER_BASE_BYTES: usize = 96;

/// A run of declarations with the same fate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct FateRun {
    fate: Fate,
    count: u32,
}

/// An answer without what a resend of the same operation brings along.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Compact {
    Put {
        version: u64,
        revision: u64,
    },
    Deleted {
        revision: u64,
    },
    Applied {
        revision: u64,
        fates: Vec<FateRun>,
        withdrawn: Vec<Key>,
    },
    Rejected(Rejection),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Retained {
    request_id: String,
    digest: u64,
    at_ms: u64,
    answer: Compact,
}

/// The first answers of the latest requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    rename_all = "snake_case",
    from = "Vec<Retained>",
    into = "Vec<Retained>"
)]
pub(crate) struct RetainedAnswers {
    answers: BTreeMap<String, Retained>,
    /// The request ids, oldest first.
    order: VecDeque<String>,
    size_bytes: usize,
}

impl From<Vec<Retained>> for RetainedAnswers {
    fn from(answers: Vec<Retained>) -> Self {
        let mut retained = Self::default();
        for answer in answers {
            retained.push(answer);
        }
        retained
    }
}

impl From<RetainedAnswers> for Vec<Retained> {
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

    /// The first answer to a request, or an error when the request id belongs to another change.
    pub(crate) fn find(
        &self,
        request_id: &str,
        digest: u64,
        operation: &Operation,
    ) -> Option<Result<Accepted, Rejection>> {
        let retained = self.answers.get(request_id)?;
        if retained.digest != digest {
            return Some(Err(Rejection::RequestIdReused {
                request_id: request_id.to_owned(),
            }));
        }
        Some(retained.answer.expand(operation))
    }

    /// Drops answers that are old enough; whether there is room for another one.
    pub(crate) fn make_room(&mut self, clock_ms: u64) -> bool {
        while self.answers.len() >= RETAIN_MIN_REQUESTS && self.oldest_expired(clock_ms) {
            self.pop();
        }
        self.answers.len() < RETAINED_MAX_REQUESTS && self.size_bytes < RETAINED_MAX_BYTES
    }

    /// Keeps an answer.
    pub(crate) fn keep(
        &mut self,
        request_id: &str,
        digest: u64,
        at_ms: u64,
        plan: Option<&Plan>,
        answer: &Result<Accepted, Rejection>,
    ) {
        self.push(Retained {
            request_id: request_id.to_owned(),
            digest,
            at_ms,
            answer: Compact::new(plan, answer),
        });
    }

    fn oldest_expired(&self, clock_ms: u64) -> bool {
        self.order
            .front()
            .and_then(|request_id| self.answers.get(request_id))
            .is_some_and(|oldest| oldest.at_ms.saturating_add(RETAIN_MIN_MS) <= clock_ms)
    }

    fn push(&mut self, retained: Retained) {
        self.size_bytes += retained.size_bytes();
        self.order.push_back(retained.request_id.clone());
        self.answers.insert(retained.request_id.clone(), retained);
    }

    fn pop(&mut self) {
        let oldest = self
            .order
            .pop_front()
            .and_then(|request_id| self.answers.remove(&request_id));
        self.size_bytes -= oldest.map_or(0, |oldest| oldest.size_bytes());
    }
}

impl Retained {
    fn size_bytes(&self) -> usize {
        ANSWER_BASE_BYTES + 3 * self.request_id.len() + self.answer.lists_bytes()
    }
}

impl Compact {
    fn new(plan: Option<&Plan>, answer: &Result<Accepted, Rejection>) -> Self {
        match answer {
            Ok(Accepted::Put(resource)) => Self::Put {
                version: resource.version,
                revision: resource.revision,
            },
            Ok(Accepted::Deleted { revision }) => Self::Deleted {
                revision: *revision,
            },
            Ok(Accepted::Applied(applied)) => Self::Applied {
                revision: applied.revision,
                fates: plan.map(|plan| fate_runs(&plan.fates)).unwrap_or_default(),
                withdrawn: applied.withdrawn.clone(),
            },
            Ok(Accepted::Steered(_)) => Self::Deleted { revision: 0 },
            Err(rejection) => Self::Rejected(rejection.clone()),
        }
    }

    fn lists_bytes(&self) -> usize {
        match self {
            Self::Put { .. } | Self::Deleted { .. } | Self::Rejected(_) => 0,
            Self::Applied {
                fates, withdrawn, ..
            } => {
                let keys: usize = withdrawn
                    .iter()
                    .map(|key| size_of::<Key>() + key.name.as_str().len())
                    .sum();
                fates.len() * size_of::<FateRun>() + keys
            }
        }
    }

    /// The first answer, from what was kept and the operation that came again.
    fn expand(&self, operation: &Operation) -> Result<Accepted, Rejection> {
        match (self, operation) {
            (Self::Rejected(rejection), _) => Err(rejection.clone()),
            (Self::Put { version, revision }, Operation::Put(declaration)) => {
                Ok(Accepted::Put(Resource {
                    name: declaration.name.clone(),
                    spec: declaration.spec.clone(),
                    version: *version,
                    revision: *revision,
                }))
            }
            (
                Self::Applied {
                    revision,
                    fates,
                    withdrawn,
                },
                _,
            ) => {
                let fates = fates
                    .iter()
                    .flat_map(|run| std::iter::repeat_n(run.fate, run.count as usize))
                    .collect();
                let plan = Plan {
                    fates,
                    withdrawn: withdrawn.clone(),
                };
                Ok(Accepted::Applied(Applied::new(
                    *revision,
                    declarations(operation),
                    plan,
                )))
            }
            (Self::Deleted { revision } | Self::Put { revision, .. }, _) => Ok(Accepted::Deleted {
                revision: *revision,
            }),
        }
    }
}

fn fate_runs(fates: &[Fate]) -> Vec<FateRun> {
    let mut runs: Vec<FateRun> = Vec::new();
    for fate in fates {
        match runs.last_mut() {
            Some(run) if run.fate == *fate => run.count += 1,
            _ => runs.push(FateRun {
                fate: *fate,
                count: 1,
            }),
        }
    }
    runs
}
