//! The replicated state that gateways follow.

use crate::{
    change::{Applied, Change, Document, PlanDeclaration, Refused},
    changes::{PlanChanges, RouteHistory},
    instance::{Instance, InstanceState, Registration, Verdict},
    model::Plan,
    validate::{InvalidPlan, validate},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use types::{DomainName, UpstreamName};

/// Instances that have left and are still remembered, so that a late heartbeat can't bring one back.
pub const GONE_MAX: usize = 2_048;

/// Accepted plans whose resend is still recognised.
const ACCEPTED_MAX: usize = 8_192;

/// What leads from an index of the log to a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SteeringChanges {
    /// Whether `instances` lists every instance rather than the changed ones.
    pub complete: bool,
    /// What changed of the plan, when it changed.
    pub plan: Option<PlanChanges>,
    /// The evacuated failure domains, when they changed.
    pub evacuated: Option<BTreeSet<DomainName>>,
    /// The changed instances, those that have left included.
    pub instances: Vec<Instance>,
}

/// The plan in force with its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct InForce {
    plan: Plan,
    document: Document,
    revision: u64,
    history: RouteHistory,
}

/// The plan in force, the evacuated failure domains and the instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Steering {
    in_force: Option<InForce>,
    /// The digests of accepted documents by version.
    accepted: BTreeMap<u64, u64>,
    evacuated: BTreeSet<DomainName>,
    evacuated_revision: u64,
    instances: BTreeMap<UpstreamName, Instance>,
    /// The index of the latest change.
    revision: u64,
    /// What left before this index is no longer remembered.
    forgotten_revision: u64,
}

impl Steering {
    /// The index of the log entry of the latest change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The version of the plan in force, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |it| it.plan.version)
    }

    /// The plan in force.
    #[must_use]
    pub fn plan(&self) -> Option<&Plan> {
        self.in_force.as_ref().map(|it| &it.plan)
    }

    /// The document of the plan in force.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.in_force.as_ref().map(|it| &it.document)
    }

    /// The evacuated failure domains.
    #[must_use]
    pub const fn evacuated(&self) -> &BTreeSet<DomainName> {
        &self.evacuated
    }

    /// Every instance, those that have left included.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// An instance.
    #[must_use]
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// How a registration stands to what is known, at a time of the log's clock.
    #[must_use]
    pub fn judge(&self, registration: &Registration, at_ms: u64) -> Verdict {
        if self.newer_at_address(registration) {
            return Verdict::Stale;
        }
        match self.instances.get(&registration.id) {
            Some(known) => known.judge(registration, at_ms),
            None => Verdict::Changed,
        }
    }

    /// What leads from `index` to now; nothing when nothing changed.
    #[must_use]
    pub fn changes_since(&self, index: u64) -> SteeringChanges {
        if index >= self.revision && index > 0 {
            return SteeringChanges::default();
        }
        let complete = index < self.forgotten_revision || index == 0;
        let instances = self.instances.values();
        let instances = instances.filter(|instance| match complete {
            true => instance.is_here(),
            false => instance.revision > index,
        });
        let in_force = self.in_force.as_ref();
        SteeringChanges {
            complete,
            plan: in_force
                .filter(|it| complete || it.revision > index)
                .map(|it| {
                    it.history
                        .changes_since(&it.plan, if complete { 0 } else { index })
                }),
            evacuated: (complete || self.evacuated_revision > index)
                .then(|| self.evacuated.clone()),
            instances: instances.cloned().collect(),
        }
    }

    /// Applies the change of the log entry at `index`, proposed at a time of the log's clock.
    ///
    /// # Errors
    ///
    /// [`Refused`] when a plan can't be in force; it is the same on every replica.
    pub fn apply(&mut self, index: u64, at_ms: u64, change: &Change) -> Result<Applied, Refused> {
        match change {
            Change::Declare(declaration) => return self.declare(index, declaration),
            Change::Evacuate { domain } => {
                if self.evacuated.insert(domain.clone()) {
                    self.note_evacuation(index);
                }
            }
            Change::EndEvacuation { domain } => {
                if self.evacuated.remove(domain) {
                    self.note_evacuation(index);
                }
            }
            Change::Register(registration) => self.register(index, at_ms, registration),
            Change::Leave { id, born_ms } => {
                self.end(index, id.as_str(), *born_ms, InstanceState::Gone);
            }
            Change::Expire { id, born_ms } => {
                self.end(index, id.as_str(), Some(*born_ms), InstanceState::Expired);
            }
        }
        Ok(Applied::Noted)
    }

    fn declare(&mut self, index: u64, declaration: &PlanDeclaration) -> Result<Applied, Refused> {
        let PlanDeclaration {
            plan,
            document,
            based_on,
        } = declaration;
        let version = plan.version;
        let digest = document.digest(plan)?;
        if self.accepted.get(&version) == Some(&digest) {
            return Ok(Applied::Declared { version });
        }
        let current = self.version();
        if *based_on != current {
            return Err(Refused::Conflict { current });
        }
        validate(plan)?;
        if version <= current {
            return Err(InvalidPlan::OldVersion { version, current }.into());
        }
        self.accepted.insert(version, digest);
        if self.accepted.len() > ACCEPTED_MAX {
            self.accepted.pop_first();
        }
        let previous = self.in_force.take();
        let (previous, mut history) =
            previous.map_or_else(Default::default, |it| (Some(it.plan), it.history));
        history.note(previous.as_ref(), plan, index);
        self.in_force = Some(InForce {
            plan: plan.clone(),
            document: document.clone(),
            revision: index,
            history,
        });
        self.revision = index;
        Ok(Applied::Declared { version })
    }

    const fn note_evacuation(&mut self, index: u64) {
        self.evacuated_revision = index;
        self.revision = index;
    }

    fn register(&mut self, index: u64, at_ms: u64, registration: &Registration) {
        if self.judge(registration, at_ms) != Verdict::Changed {
            return;
        }
        let address = registration.address;
        let displaced = self.instances.values_mut().filter(|other| {
            other.address == address && other.id != registration.id && other.is_here()
        });
        for other in displaced {
            other.state = InstanceState::Gone;
            other.revision = index;
        }
        let instance = Instance::new(registration.clone(), at_ms, index);
        self.instances.insert(instance.id.clone(), instance);
        self.revision = index;
        self.forget();
    }

    fn end(&mut self, index: u64, id: &str, born_ms: Option<u64>, state: InstanceState) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        let same_run = born_ms.is_none_or(|born_ms| born_ms >= instance.born_ms);
        if !same_run || instance.state == InstanceState::Gone {
            return;
        }
        instance.state = state;
        instance.revision = index;
        self.revision = index;
        self.forget();
    }

    /// Drops the instances that left first, beyond what is remembered.
    fn forget(&mut self) {
        let gone = self.instances.values().filter(|it| !it.is_here());
        let mut revisions: Vec<u64> = gone.map(|it| it.revision).collect();
        if revisions.len() <= GONE_MAX {
            return;
        }
        revisions.sort_unstable();
        let horizon = revisions[revisions.len() - GONE_MAX - 1];
        self.instances
            .retain(|_, it| it.is_here() || it.revision > horizon);
        self.forgotten_revision = self.forgotten_revision.max(horizon);
    }

    /// Whether a later run than the registration's has its address.
    fn newer_at_address(&self, registration: &Registration) -> bool {
        self.instances.values().any(|other| {
            other.address == registration.address
                && other.id != registration.id
                && other.is_here()
                && other.born_ms > registration.born_ms
        })
    }
}
