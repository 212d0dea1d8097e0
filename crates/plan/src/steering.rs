//! The replicated state that gateways poll: applying changes, and finding what changed since an
//! index.

use crate::{
    change::{Change, ChangeResult, DeclarationError, Document, PlanDeclaration},
    changes::{PlanChanges, PlanHistory},
    departures::{Departure, Departures},
    instance::{Instance, InstanceState, Registration, RegistrationStatus},
    instances::Instances,
    model::Plan,
    tenant::KeyUse,
    validate::{InvalidPlan, validate},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use types::{DomainName, ServiceName, UpstreamName};

/// The most expired or gone instances that are remembered. A late heartbeat of the same run can't
/// bring back an instance while it is remembered as gone. As many notices to leave are remembered.
pub const INACTIVE_MAX: usize = 2_048;

/// The most accepted declarations that are remembered, so that a resend of one is recognised.
const ACCEPTED_MAX: usize = 8_192;

/// The changes from one log index to a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SteeringChanges {
    /// Whether `instances` lists every ready or draining instance, rather than the changed ones
    /// only.
    pub complete: bool,
    /// The changes of the plan; none when it is unchanged.
    pub plan: Option<PlanChanges>,
    /// All evacuated failure domains; none when they are unchanged.
    pub evacuated: Option<BTreeSet<DomainName>>,
    /// The changed instances; expired and gone ones too unless `complete`.
    pub instances: Vec<Instance>,
}

/// The plan in force, with its document and the history of its routes and tenants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct InForce {
    plan: Plan,
    document: Document,
    /// The log index at which the plan came into force.
    revision: u64,
    history: PlanHistory,
}

/// The plan in force, the evacuated failure domains and the instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Steering {
    in_force: Option<InForce>,
    /// The digests of accepted declarations by version, at most `ACCEPTED_MAX`.
    accepted: BTreeMap<u64, u64>,
    evacuated: BTreeSet<DomainName>,
    /// The log index at which `evacuated` changed last.
    evacuated_revision: u64,
    /// Expired and gone instances included, at most `INACTIVE_MAX` of them.
    instances: Instances,
    /// What was confirmed to instances that leave, at most `INACTIVE_MAX` of them.
    #[serde(default, skip_serializing_if = "Departures::is_empty")]
    departures: Departures,
    /// The log index of the latest change.
    revision: u64,
    /// Instances that expired or left up to this log index may be forgotten.
    forgotten_revision: u64,
}

impl Steering {
    /// The log index of the latest change, 0 before the first.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The version of the plan in force, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |it| it.plan.version)
    }

    /// The plan in force; none before the first.
    #[must_use]
    pub fn plan(&self) -> Option<&Plan> {
        self.in_force.as_ref().map(|it| &it.plan)
    }

    /// The document of the plan in force; none before the first.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.in_force.as_ref().map(|it| &it.document)
    }

    /// The evacuated failure domains.
    #[must_use]
    pub const fn evacuated(&self) -> &BTreeSet<DomainName> {
        &self.evacuated
    }

    /// Every recorded instance, expired and gone ones included.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.iter()
    }

    /// The recorded instance of this name, also when expired or gone.
    #[must_use]
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Compares a registration with what is recorded. `at_ms` is the time in milliseconds of the
    /// log's clock.
    #[must_use]
    pub fn compare(&self, registration: &Registration, at_ms: u64) -> RegistrationStatus {
        let known = self.instances.get(registration.id.as_str());
        if self.is_foreign(registration, known) {
            return RegistrationStatus::UnknownService;
        }
        let has_left = self
            .departures
            .bind(registration.id.as_str(), registration.born_ms);
        if has_left || self.has_newer_at_address(registration) {
            return RegistrationStatus::Stale;
        }
        match known {
            Some(known) => known.compare(registration, at_ms),
            None => RegistrationStatus::Changed,
        }
    }

    /// The changes since a log index; empty when there are none. Index 0 gives the whole state.
    #[must_use]
    pub fn changes_since(&self, index: u64) -> SteeringChanges {
        if index >= self.revision && index > 0 {
            return SteeringChanges::default();
        }
        let complete = self.is_complete_since(index);
        let instances: Vec<Instance> = match complete {
            true => self
                .instances
                .iter()
                .filter(|it| it.is_present())
                .cloned()
                .collect(),
            false => self.instances.changed_since(index).cloned().collect(),
        };
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
            instances,
        }
    }

    /// How many routes, tenants and instances changed since a log index; for a poll that gets the whole
    /// state, how many are recorded. Copies nothing.
    #[must_use]
    pub fn count_changes_since(&self, index: u64) -> usize {
        if index >= self.revision {
            return 0;
        }
        let in_force = self.in_force.as_ref();
        if self.is_complete_since(index) {
            let named = in_force.map_or(0, |it| it.plan.routes.len() + it.plan.tenants.len());
            return self.instances.len() + named;
        }
        let changed = in_force.filter(|it| it.revision > index);
        let named = changed.map_or(0, |it| it.history.count_changed(&it.plan, index));
        self.instances.changed_since(index).count() + named
    }

    /// Whether a poll from this index gets the whole state.
    const fn is_complete_since(&self, index: u64) -> bool {
        index < self.forgotten_revision || index == 0
    }

    /// Applies the change of the log entry at `index`, which was proposed at `at_ms`, in
    /// milliseconds of the log's clock.
    ///
    /// # Errors
    ///
    /// [`DeclarationError`] when a declared plan conflicts with the one in force or is invalid. The
    /// result is the same on every replica.
    pub fn apply(
        &mut self,
        index: u64,
        at_ms: u64,
        change: &Change,
    ) -> Result<ChangeResult, DeclarationError> {
        match change {
            Change::Declare(declaration) => return self.declare(index, declaration),
            Change::Evacuate { domain } => {
                if self.evacuated.insert(domain.clone()) {
                    self.record_evacuation(index);
                }
            }
            Change::EndEvacuation { domain } => {
                if self.evacuated.remove(domain) {
                    self.record_evacuation(index);
                }
            }
            Change::Register(registration) => self.register(index, at_ms, registration),
            Change::Leave {
                id,
                born_ms,
                received_ms,
            } => self.leave(index, id, *born_ms, *received_ms),
            Change::Expire { id, born_ms } => {
                let is_ended =
                    |it: &Instance| it.born_ms <= *born_ms && it.state != InstanceState::Gone;
                self.end_instance(index, id, InstanceState::Expired, is_ended);
            }
        }
        Ok(ChangeResult::Applied)
    }

    fn declare(
        &mut self,
        index: u64,
        declaration: &PlanDeclaration,
    ) -> Result<ChangeResult, DeclarationError> {
        let PlanDeclaration {
            plan,
            document,
            based_on,
        } = declaration;
        let version = plan.version;
        let digest = document.digest(plan)?;
        if self.accepted.get(&version) == Some(&digest) {
            return Ok(ChangeResult::Declared { version });
        }
        let current = self.version();
        if *based_on != current {
            return Err(DeclarationError::Conflict { current });
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
        history.record(previous.as_ref(), plan, index);
        let previous_keys = previous.map_or(KeyUse::Unused, |plan| plan.key_use());
        self.in_force = Some(InForce {
            plan: Plan {
                keys: plan.key_use().after(previous_keys),
                ..plan.clone()
            },
            document: document.clone(),
            revision: index,
            history,
        });
        self.revision = index;
        self.settle_addresses(index);
        Ok(ChangeResult::Declared { version })
    }

    const fn record_evacuation(&mut self, index: u64) {
        self.evacuated_revision = index;
        self.revision = index;
    }

    /// Records a heartbeat that differs from the record, and marks other instances with the same
    /// address as gone.
    fn register(&mut self, index: u64, at_ms: u64, registration: &Registration) {
        match self.compare(registration, at_ms) {
            RegistrationStatus::Changed | RegistrationStatus::Returning => {}
            RegistrationStatus::Stale
            | RegistrationStatus::UnknownService
            | RegistrationStatus::Unchanged => return,
        }
        let others = self.instances.present_at(registration.address);
        let displaced = others.filter(|other| {
            other.id != registration.id && self.takes_address(&registration.service, &other.service)
        });
        for other in displaced.cloned().collect::<Vec<_>>() {
            self.mark_displaced(index, other);
        }
        let instance = Instance::new(registration.clone(), at_ms, index);
        self.instances.insert(instance);
        self.revision = index;
        self.forget_oldest_inactive();
    }

    /// Marks instances as gone whose address is that of a later run, once the plan names the service
    /// of that run.
    fn settle_addresses(&mut self, index: u64) {
        let shared = self.instances.with_shared_addresses();
        let displaced = shared.filter(|instance| {
            let others = self.instances.present_at(instance.address);
            let later = |other: &&Instance| {
                (other.born_ms, other.revision) > (instance.born_ms, instance.revision)
            };
            let mut later = others.filter(later);
            later.any(|other| self.takes_address(&other.service, &instance.service))
        });
        for instance in displaced.cloned().collect::<Vec<_>>() {
            self.mark_displaced(index, instance);
        }
        self.forget_oldest_inactive();
    }

    fn mark_displaced(&mut self, index: u64, mut instance: Instance) {
        instance.state = InstanceState::Gone;
        instance.is_displaced = true;
        instance.revision = index;
        self.instances.insert(instance);
    }

    /// Whether the plan in force names the service.
    fn names(&self, service: &ServiceName) -> bool {
        let plan = self.plan();
        plan.is_some_and(|plan| plan.services.iter().any(|it| it.name == *service))
    }

    /// Whether a later run of `service` has the address of an earlier one of `other`. A service that
    /// no plan names takes no address from others: its reports come from another writer.
    fn takes_address(&self, service: &ServiceName, other: &ServiceName) -> bool {
        service == other || self.names(service)
    }

    /// Whether a plan is in force that doesn't name the registration's service, unless the instance
    /// is recorded with that service: then an earlier plan named it and a later one may again.
    fn is_foreign(&self, registration: &Registration, known: Option<&Instance>) -> bool {
        let is_recorded = known.is_some_and(|known| known.service == registration.service);
        self.in_force.is_some() && !is_recorded && !self.names(&registration.service)
    }

    /// Records a notice that an instance leaves, and ends the recorded run if it is of it.
    fn leave(
        &mut self,
        index: u64,
        id: &UpstreamName,
        born_ms: Option<u64>,
        received_ms: Option<u64>,
    ) {
        let recorded_ms = self.instances.get(id.as_str()).map(|it| it.born_ms);
        let departure = Departure::new(born_ms, received_ms, recorded_ms, index);
        self.departures.insert(id, departure, INACTIVE_MAX);
        // An instance that was displaced may still leave: it doesn't return then.
        let is_ended = |it: &Instance| {
            departure.binds(it.born_ms) && (it.state != InstanceState::Gone || it.is_displaced)
        };
        self.end_instance(index, id, InstanceState::Gone, is_ended);
    }

    /// Sets the state of a recorded instance that expired or left, if `is_ended` says so of it.
    fn end_instance(
        &mut self,
        index: u64,
        id: &UpstreamName,
        state: InstanceState,
        is_ended: impl FnOnce(&Instance) -> bool,
    ) {
        let Some(instance) = self.instances.get(id.as_str()).filter(|it| is_ended(it)) else {
            return;
        };
        let mut instance = instance.clone();
        instance.state = state;
        instance.is_displaced = false;
        instance.revision = index;
        self.instances.insert(instance);
        self.revision = index;
        self.forget_oldest_inactive();
    }

    /// Drops the instances that expired or left first, beyond `INACTIVE_MAX`.
    fn forget_oldest_inactive(&mut self) {
        if let Some(horizon) = self.instances.forget_inactive(INACTIVE_MAX) {
            self.forgotten_revision = self.forgotten_revision.max(horizon);
        }
    }

    /// Whether the registration's address is that of another instance, ready or draining, that
    /// started later.
    fn has_newer_at_address(&self, registration: &Registration) -> bool {
        let mut others = self.instances.present_at(registration.address);
        others.any(|other| {
            other.id != registration.id
                && other.born_ms > registration.born_ms
                && self.takes_address(&other.service, &registration.service)
        })
    }
}
