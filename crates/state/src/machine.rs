//! The state machine of the replicated log: applies commands and answers queries of the state.

use crate::{
    change_plan::{ChangePlan, Effect, declarations, plan_change},
    command::{Command, Declaration, Operation},
    digest::operation_digest,
    history::{Change, Changes, History},
    key_text,
    rejection::Rejection,
    retained::RetainedAnswers,
};
use claim::EntrySetHistory;
use plan::Steering;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use types::{Key, Kind, Resource};

/// The answer to a change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeAnswer {
    /// The resource after the change.
    Put(Resource),
    /// The resource was withdrawn.
    Deleted {
        /// The revision that withdrew it.
        revision: u64,
    },
    /// How an [`Operation::Apply`] changed the resources.
    Applied(Applied),
    /// The answer to an [`Operation::Steer`].
    Steered(plan::ChangeResult),
}

/// How an [`Operation::Apply`] changed the resources, or would change them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Applied {
    /// The revision after the operation; a preview has the current one.
    pub revision: u64,
    /// Resources that did not exist before.
    #[serde(with = "key_text")]
    pub created: Vec<Key>,
    /// Resources whose content changed.
    #[serde(with = "key_text")]
    pub changed: Vec<Key>,
    /// Resources that no longer exist.
    #[serde(with = "key_text")]
    pub withdrawn: Vec<Key>,
    /// Declared resources that had this content already and keep their version.
    #[serde(with = "key_text")]
    pub unchanged: Vec<Key>,
}

impl Applied {
    pub(crate) fn new(revision: u64, declared: &[Declaration], plan: ChangePlan) -> Self {
        let with_effect = |wanted: Effect| {
            declared
                .iter()
                .zip(&plan.effects)
                .filter(|(_, effect)| **effect == wanted)
                .map(|(declaration, _)| declaration.key())
                .collect()
        };
        Self {
            revision,
            created: with_effect(Effect::Created),
            changed: with_effect(Effect::Changed),
            unchanged: with_effect(Effect::Unchanged),
            withdrawn: plan.withdrawn,
        }
    }
}

/// The replicated state: the declared resources, their recent changes, the answers kept for
/// resends, the claim layout and the part that gateways poll for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    pub(crate) resources: BTreeMap<Key, Resource>,
    pub(crate) applied_index: u64,
    pub(crate) revision: u64,
    pub(crate) clock_ms: u64,
    pub(crate) history: History,
    pub(crate) answers: RetainedAnswers,
    pub(crate) entry_sets: EntrySetHistory,
    pub(crate) steering: Steering,
}

impl State {
    /// The state before the first log entry: no resources.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The index of the last applied log entry, with a command or without.
    #[must_use]
    pub const fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The revision of the latest change of a resource: the index of the log entry that made it, 0
    /// before the first.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The log's clock in milliseconds: the latest time that an applied command carried.
    #[must_use]
    pub const fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// How many answers are kept for resends.
    #[must_use]
    pub fn retained_answers(&self) -> usize {
        self.answers.len()
    }

    /// The resource with this key, if it is declared.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Resource> {
        self.resources.get(key)
    }

    /// Every resource, or those of one kind, ordered by kind and name.
    pub fn resources(&self, kind: Option<Kind>) -> impl Iterator<Item = &Resource> {
        self.resources
            .iter()
            .filter(move |(key, _)| kind.is_none_or(|kind| key.kind == kind))
            .map(|(_, resource)| resource)
    }

    /// The plan in force, the evacuations and the instances, which gateways poll for.
    #[must_use]
    pub const fn steering(&self) -> &Steering {
        &self.steering
    }

    /// Whether a resource of this kind may have been withdrawn at any time; `true` when the changes
    /// that would tell are no longer kept.
    #[must_use]
    pub fn may_have_withdrawn(&self, kind: Kind) -> bool {
        self.history.may_have_withdrawn(kind)
    }

    /// Records that the log entry at `index` is applied, when it holds no command.
    pub const fn skip(&mut self, index: u64) {
        self.applied_index = index;
    }

    /// Applies the command of the log entry at `index`.
    ///
    /// # Errors
    ///
    /// A [`Rejection`] when the command is not accepted; it is the same on every replica.
    pub fn apply(&mut self, index: u64, command: &Command) -> Result<ChangeAnswer, Rejection> {
        self.applied_index = index;
        self.clock_ms = self.clock_ms.max(command.at_ms);
        if let Operation::Steer(change) = &command.operation {
            let applied = self.steering.apply(index, self.clock_ms, change);
            return Ok(ChangeAnswer::Steered(applied?));
        }
        // The digest can always be computed: the log carries commands as JSON, so the operation can
        // be encoded. Otherwise the answer is the same as when there is no room for another one.
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
        let plan = plan_change(&self.resources, &command.operation);
        if let Ok(plan) = &plan {
            self.execute(index, &command.operation, plan);
        }
        self.update_layout();
        let answer = match &plan {
            Ok(plan) => Ok(self.change_answer(&command.operation, plan)),
            Err(rejection) => Err(rejection.clone()),
        };
        self.answers.insert(
            &command.request_id,
            digest,
            self.clock_ms,
            plan.as_ref().ok(),
            &answer,
        );
        answer
    }

    /// The answer that an operation would get now, without making the change.
    ///
    /// # Errors
    ///
    /// The [`Rejection`] that the operation would get.
    pub fn preview(&self, operation: &Operation) -> Result<Applied, Rejection> {
        let plan = plan_change(&self.resources, operation)?;
        Ok(Applied::new(self.revision, declarations(operation), plan))
    }

    /// The first answer to this request, if it is still kept; [`Rejection::RequestIdReused`] when
    /// the request id was used for another operation.
    #[must_use]
    pub fn first_answer(
        &self,
        request_id: &str,
        operation: &Operation,
    ) -> Option<Result<ChangeAnswer, Rejection>> {
        let digest = operation_digest(operation).ok()?;
        self.answers.find(request_id, digest, operation)
    }

    /// The difference between the resources at `index` and the current ones. It lists every current
    /// resource when that list is shorter, or when the changes since `index` are no longer kept.
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
                changes: self.resources.iter().map(latest_change).collect(),
            },
        }
    }

    /// The oldest changes after `revision`: at least `limit` if there are so many; the changes of
    /// one revision are never split.
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
        let mut selected: Vec<Change> = Vec::new();
        for change in changes {
            let same_revision = selected
                .last()
                .is_some_and(|last| last.revision == change.revision);
            if selected.len() >= limit && !same_revision {
                break;
            }
            selected.push(change.clone());
        }
        Ok(selected)
    }

    fn execute(&mut self, index: u64, operation: &Operation, plan: &ChangePlan) {
        for key in &plan.withdrawn {
            self.resources.remove(key);
            self.history.push(Change {
                revision: index,
                key: key.clone(),
                resource: None,
            });
        }
        for (declaration, effect) in declarations(operation).iter().zip(&plan.effects) {
            if *effect != Effect::Unchanged {
                self.store(index, declaration);
            }
        }
        if plan.has_changes() {
            self.revision = index;
            self.history.trim();
        }
    }

    fn store(&mut self, index: u64, declaration: &Declaration) {
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

    /// The answer to an operation that was just executed. A resource that was put exists then, so
    /// the fallback of `Put` is not reached, nor is `Steer`, which [`Self::apply`] answers itself.
    fn change_answer(&self, operation: &Operation, plan: &ChangePlan) -> ChangeAnswer {
        match operation {
            Operation::Put(declaration) => self.resources.get(&declaration.key()).map_or(
                ChangeAnswer::Deleted {
                    revision: self.revision,
                },
                |resource| ChangeAnswer::Put(resource.clone()),
            ),
            Operation::Delete { .. } | Operation::Steer(_) => ChangeAnswer::Deleted {
                revision: self.revision,
            },
            Operation::Apply { declarations, .. } => {
                ChangeAnswer::Applied(Applied::new(self.revision, declarations, plan.clone()))
            }
        }
    }
}

fn latest_change((key, resource): (&Key, &Resource)) -> Change {
    Change {
        revision: resource.revision,
        key: key.clone(),
        resource: Some(resource.clone()),
    }
}
