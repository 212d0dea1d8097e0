//! The state machine of the replicated log.

use crate::{
    command::{Command, Declaration, Operation},
    digest::operation_digest,
    history::{Change, Changes, History},
    key_text,
    plan::{Fate, Plan, declarations, plan},
    rejection::Rejection,
    retained::RetainedAnswers,
};
use claim::SetLog;
use plan::Steering;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use types::{Key, Kind, Resource};

/// What an accepted change answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The resource as it is now.
    Put(Resource),
    /// The resource is withdrawn.
    Deleted {
        /// The revision that withdrew it.
        revision: u64,
    },
    /// What became of several resources.
    Applied(Applied),
    /// What became of a change that gateways follow.
    Steered(plan::Applied),
}

/// What became of the resources of an [`Operation::Apply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Applied {
    /// The revision that holds the result.
    pub revision: u64,
    /// New resources.
    #[serde(with = "key_text")]
    pub created: Vec<Key>,
    /// Resources with a new version.
    #[serde(with = "key_text")]
    pub changed: Vec<Key>,
    /// Resources that are gone.
    #[serde(with = "key_text")]
    pub withdrawn: Vec<Key>,
    /// Resources that keep their version.
    #[serde(with = "key_text")]
    pub unchanged: Vec<Key>,
}

impl Applied {
    pub(crate) fn new(revision: u64, declared: &[Declaration], plan: Plan) -> Self {
        let with_fate = |wanted: Fate| {
            declared
                .iter()
                .zip(&plan.fates)
                .filter(|(_, fate)| **fate == wanted)
                .map(|(declaration, _)| declaration.key())
                .collect()
        };
        Self {
            revision,
            created: with_fate(Fate::Created),
            changed: with_fate(Fate::Changed),
            unchanged: with_fate(Fate::Unchanged),
            withdrawn: plan.withdrawn,
        }
    }
}

/// The declared resources and what is kept beside them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    pub(crate) resources: BTreeMap<Key, Resource>,
    pub(crate) applied_index: u64,
    pub(crate) revision: u64,
    pub(crate) clock_ms: u64,
    pub(crate) history: History,
    pub(crate) answers: RetainedAnswers,
    pub(crate) sets: SetLog,
    pub(crate) steering: Steering,
}

impl State {
    /// An empty state, before the first entry of the log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The index of the last applied entry of the log.
    #[must_use]
    pub const fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The revision of the latest change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The log's clock: the latest time that a command carried.
    #[must_use]
    pub const fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// How many answers are kept for resends.
    #[must_use]
    pub fn retained_answers(&self) -> usize {
        self.answers.len()
    }

    /// A resource.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Resource> {
        self.resources.get(key)
    }

    /// Every resource, or those of one kind, by kind and name.
    pub fn resources(&self, kind: Option<Kind>) -> impl Iterator<Item = &Resource> {
        self.resources
            .iter()
            .filter(move |(key, _)| kind.is_none_or(|kind| key.kind == kind))
            .map(|(_, resource)| resource)
    }

    /// What gateways follow.
    #[must_use]
    pub const fn steering(&self) -> &Steering {
        &self.steering
    }

    /// Whether a resource of this kind may ever have been withdrawn.
    #[must_use]
    pub fn may_have_withdrawn(&self, kind: Kind) -> bool {
        self.history.may_have_withdrawn(kind)
    }

    /// Notes an entry of the log that holds no command.
    pub const fn skip(&mut self, index: u64) {
        self.applied_index = index;
    }

    /// Applies the command of the log entry at `index`.
    ///
    /// # Errors
    ///
    /// A [`Rejection`] when the command changes nothing; it is the same on every replica.
    pub fn apply(&mut self, index: u64, command: &Command) -> Result<Accepted, Rejection> {
        self.applied_index = index;
        self.clock_ms = self.clock_ms.max(command.at_ms);
        if let Operation::Steer(change) = &command.operation {
            let applied = self.steering.apply(index, self.clock_ms, change);
            return Ok(Accepted::Steered(applied?));
        }
        let Ok(digest) = operation_digest(&command.operation) else {
            return Err(Rejection::AnswersFull);
        };
        if let Some(answer) = self
            .answers
            .find(&command.request_id, digest, &command.operation)
        {
            return answer;
        }
        if !self.answers.make_room(self.clock_ms) {
            return Err(Rejection::AnswersFull);
        }
        let plan = plan(&self.resources, &command.operation);
        if let Ok(plan) = &plan {
            self.carry_out(index, &command.operation, plan);
        }
        self.follow_entries();
        let answer = match &plan {
            Ok(plan) => Ok(self.answer(&command.operation, plan)),
            Err(rejection) => Err(rejection.clone()),
        };
        self.answers.keep(
            &command.request_id,
            digest,
            self.clock_ms,
            plan.as_ref().ok(),
            &answer,
        );
        answer
    }

    /// What an operation would answer now; changes nothing.
    ///
    /// # Errors
    ///
    /// The [`Rejection`] that the operation would meet.
    pub fn preview(&self, operation: &Operation) -> Result<Applied, Rejection> {
        let plan = plan(&self.resources, operation)?;
        Ok(Applied::new(self.revision, declarations(operation), plan))
    }

    /// The first answer to a request, when one is kept.
    #[must_use]
    pub fn first_answer(
        &self,
        request_id: &str,
        operation: &Operation,
    ) -> Option<Result<Accepted, Rejection>> {
        let digest = operation_digest(operation).ok()?;
        self.answers.find(request_id, digest, operation)
    }

    /// What leads from the contents at `index` to the present ones, in the shorter form.
    #[must_use]
    pub fn changes_since(&self, index: u64) -> Changes {
        match self.history.latest_after(index) {
            Some(changes) if changes.len() <= self.resources.len() || changes.is_empty() => {
                Changes {
                    complete: false,
                    changes,
                }
            }
            Some(_) | None => Changes {
                complete: true,
                changes: self.resources.iter().map(present).collect(),
            },
        }
    }

    /// Up to `limit` changes after `revision`, rounded up to whole revisions.
    ///
    /// # Errors
    ///
    /// [`Compacted`](types::ApiError::Compacted) when some of them are no longer kept.
    pub fn watch(&self, revision: u64, limit: usize) -> Result<Vec<Change>, types::ApiError> {
        let oldest_revision = self.history.horizon();
        let changes = self
            .history
            .after(revision)
            .ok_or(types::ApiError::Compacted { oldest_revision })?;
        let mut taken: Vec<Change> = Vec::new();
        for change in changes {
            let same_revision = taken
                .last()
                .is_some_and(|last| last.revision == change.revision);
            if taken.len() >= limit && !same_revision {
                break;
            }
            taken.push(change.clone());
        }
        Ok(taken)
    }

    fn carry_out(&mut self, index: u64, operation: &Operation, plan: &Plan) {
        for key in &plan.withdrawn {
            self.resources.remove(key);
            self.history.push(Change {
                revision: index,
                key: key.clone(),
                resource: None,
            });
        }
        for (declaration, fate) in declarations(operation).iter().zip(&plan.fates) {
            if *fate != Fate::Unchanged {
                self.declare(index, declaration);
            }
        }
        if plan.alters() {
            self.revision = index;
            self.history.trim();
        }
    }

    fn declare(&mut self, index: u64, declaration: &Declaration) {
        let key = declaration.key();
        let version = self.resources.get(&key).map_or(0, |old| old.version) + 1;
        let resource = Resource {
            name: declaration.name.clone(),
            spec: declaration.spec.clone(),
            version,
            revision: index,
        };
        self.history.push(Change {
            revision: index,
            key: key.clone(),
            resource: Some(resource.clone()),
        });
        self.resources.insert(key, resource);
    }

    fn answer(&self, operation: &Operation, plan: &Plan) -> Accepted {
        match operation {
            Operation::Put(declaration) => self.resources.get(&declaration.key()).map_or(
                Accepted::Deleted {
                    revision: self.revision,
                },
                |resource| Accepted::Put(resource.clone()),
            ),
            Operation::Delete { .. } | Operation::Steer(_) => Accepted::Deleted {
                revision: self.revision,
            },
            Operation::Apply { declarations, .. } => {
                Accepted::Applied(Applied::new(self.revision, declarations, plan.clone()))
            }
        }
    }
}

fn present((key, resource): (&Key, &Resource)) -> Change {
    Change {
        revision: resource.revision,
        key: key.clone(),
        resource: Some(resource.clone()),
    }
}
