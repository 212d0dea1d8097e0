//! Checks an operation against the current resources and finds what it would change.

use crate::{
    command::{Declaration, Operation},
    rejection::{InvalidReason, Rejection},
    validate::validate,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use types::{Key, Kind, Resource, Spec};

/// The effect of a declaration on its resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Effect {
    Created,
    Changed,
    Unchanged,
}

/// What an accepted operation changes: the effect of each declaration, in the operation's order,
/// and the resources that it withdraws.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChangePlan {
    pub(crate) effects: Vec<Effect>,
    pub(crate) withdrawn: Vec<Key>,
}

impl ChangePlan {
    /// Whether the operation changes anything.
    pub(crate) fn has_changes(&self) -> bool {
        !self.withdrawn.is_empty()
            || self
                .effects
                .iter()
                .any(|effect| *effect != Effect::Unchanged)
    }
}

/// The declarations that an operation carries.
pub(crate) fn declarations(operation: &Operation) -> &[Declaration] {
    match operation {
        Operation::Put(declaration) => std::slice::from_ref(declaration),
        Operation::Delete { .. } | Operation::Steer(_) => &[],
        Operation::Apply { declarations, .. } => declarations,
    }
}

/// Checks an operation against the current resources, without changing them.
pub(crate) fn plan_change(
    resources: &BTreeMap<Key, Resource>,
    operation: &Operation,
) -> Result<ChangePlan, Rejection> {
    let declared = declarations(operation);
    let keys: Vec<Key> = declared.iter().map(Declaration::key).collect();
    let declared_keys = check_declared_once(&keys)?;
    let effects = declared
        .iter()
        .zip(&keys)
        .map(|(declaration, key)| declared_effect(resources, key, declaration))
        .collect::<Result<_, _>>()?;
    let withdrawn = withdrawn_keys(resources, operation, &declared_keys)?;
    let plan = ChangePlan { effects, withdrawn };
    if plan.has_changes() {
        check_result(resources, declared, &keys, &plan.withdrawn)?;
    }
    Ok(plan)
}

fn check_declared_once(keys: &[Key]) -> Result<BTreeSet<&Key>, Rejection> {
    let mut declared_keys = BTreeSet::new();
    for key in keys {
        if !declared_keys.insert(key) {
            return Err(Rejection::Invalid {
                key: key.clone(),
                reason: InvalidReason::DeclaredTwice,
                subject: key.to_string(),
            });
        }
    }
    Ok(declared_keys)
}

fn check_version(key: &Key, based_on: u64, current_version: u64) -> Result<(), Rejection> {
    if based_on == current_version {
        return Ok(());
    }
    Err(Rejection::Conflict {
        key: key.clone(),
        current_version,
    })
}

fn declared_effect(
    resources: &BTreeMap<Key, Resource>,
    key: &Key,
    declaration: &Declaration,
) -> Result<Effect, Rejection> {
    let current = resources.get(key);
    if let Some(based_on) = declaration.based_on {
        check_version(key, based_on, current.map_or(0, |current| current.version))?;
    }
    Ok(match current {
        None => Effect::Created,
        Some(current) if current.spec == declaration.spec => Effect::Unchanged,
        Some(_) => Effect::Changed,
    })
}

fn withdrawn_keys(
    resources: &BTreeMap<Key, Resource>,
    operation: &Operation,
    declared_keys: &BTreeSet<&Key>,
) -> Result<Vec<Key>, Rejection> {
    match operation {
        Operation::Put(_) | Operation::Apply { prune: false, .. } | Operation::Steer(_) => {
            Ok(Vec::new())
        }
        Operation::Delete { key, based_on } => {
            let current = resources.get(key).ok_or(Rejection::NotFound)?;
            check_version(key, *based_on, current.version)?;
            Ok(vec![key.clone()])
        }
        Operation::Apply { prune: true, .. } => Ok(resources
            .keys()
            .filter(|key| !declared_keys.contains(key))
            .cloned()
            .collect()),
    }
}

/// Validates the set of resources that the operation would result in.
fn check_result(
    resources: &BTreeMap<Key, Resource>,
    declared: &[Declaration],
    keys: &[Key],
    withdrawn: &[Key],
) -> Result<(), Rejection> {
    let mut result: BTreeMap<&Key, &Spec> = resources
        .iter()
        .map(|(key, resource)| (key, &resource.spec))
        .collect();
    for key in withdrawn {
        result.remove(key);
    }
    result.extend(keys.iter().zip(declared.iter().map(|one| &one.spec)));
    validate(&result).map_err(|rejection| report_withdrawal(rejection, withdrawn))
}

/// Turns an unknown reference to a withdrawn resource into [`InvalidReason::InUse`] of the
/// withdrawn one: the change is at fault, not the resource that still refers to it.
fn report_withdrawal(rejection: Rejection, withdrawn: &[Key]) -> Rejection {
    let Rejection::Invalid {
        key,
        reason,
        subject,
    } = &rejection
    else {
        return rejection;
    };
    let kind = match reason {
        InvalidReason::UnknownRegion => Kind::Region,
        InvalidReason::UnknownService => Kind::Service,
        InvalidReason::UnknownEntry => Kind::Entry,
        _ => return rejection,
    };
    let missing = withdrawn
        .iter()
        .find(|key| key.kind == kind && key.name.as_str() == subject);
    match missing {
        Some(withdrawn_key) => Rejection::Invalid {
            key: withdrawn_key.clone(),
            reason: InvalidReason::InUse,
            subject: key.to_string(),
        },
        None => rejection,
    }
}
