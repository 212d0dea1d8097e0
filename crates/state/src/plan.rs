//! What an operation would change, before it changes anything.

use crate::{
    command::{Declaration, Operation},
    rejection::{InvalidReason, Rejection},
    validate::validate,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use types::{Key, Kind, Resource, Spec};

/// What becomes of a declared resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Fate {
    Created,
    Changed,
    Unchanged,
}

/// What becomes of each declared resource, in the order of the operation, and what goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Plan {
    pub(crate) fates: Vec<Fate>,
    pub(crate) withdrawn: Vec<Key>,
}

impl Plan {
    /// Whether the operation changes anything.
    pub(crate) fn alters(&self) -> bool {
        !self.withdrawn.is_empty() || self.fates.iter().any(|fate| *fate != Fate::Unchanged)
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

/// Checks an operation against the resources there are.
pub(crate) fn plan(
    resources: &BTreeMap<Key, Resource>,
    operation: &Operation,
) -> Result<Plan, Rejection> {
    let declared = declarations(operation);
    let keys: Vec<Key> = declared.iter().map(Declaration::key).collect();
    let named = check_named_once(&keys)?;
    let fates = declared
        .iter()
        .zip(&keys)
        .map(|(declaration, key)| declared_fate(resources, key, declaration))
        .collect::<Result<_, _>>()?;
    let withdrawn = withdrawn_keys(resources, operation, &named)?;
    let plan = Plan { fates, withdrawn };
    if plan.alters() {
        check_result(resources, declared, &keys, &plan.withdrawn)?;
    }
    Ok(plan)
}

fn check_named_once(keys: &[Key]) -> Result<BTreeSet<&Key>, Rejection> {
    let mut named = BTreeSet::new();
    for key in keys {
        if !named.insert(key) {
            return Err(Rejection::Invalid {
                key: key.clone(),
                reason: InvalidReason::DeclaredTwice,
                subject: key.to_string(),
            });
        }
    }
    Ok(named)
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

fn declared_fate(
    resources: &BTreeMap<Key, Resource>,
    key: &Key,
    declaration: &Declaration,
) -> Result<Fate, Rejection> {
    let current = resources.get(key);
    if let Some(based_on) = declaration.based_on {
        check_version(key, based_on, current.map_or(0, |current| current.version))?;
    }
    Ok(match current {
        None => Fate::Created,
        Some(current) if current.spec == declaration.spec => Fate::Unchanged,
        Some(_) => Fate::Changed,
    })
}

fn withdrawn_keys(
    resources: &BTreeMap<Key, Resource>,
    operation: &Operation,
    named: &BTreeSet<&Key>,
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
            .filter(|key| !named.contains(key))
            .cloned()
            .collect()),
    }
}

/// Validates the resources as they would be.
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
    validate(&result).map_err(|rejection| blame_withdrawal(rejection, withdrawn))
}

/// Names the withdrawn resource rather than the one that still needs it.
fn blame_withdrawal(rejection: Rejection, withdrawn: &[Key]) -> Rejection {
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
        .find(|gone| gone.kind == kind && gone.name.as_str() == subject);
    match missing {
        Some(gone) => Rejection::Invalid {
            key: gone.clone(),
            reason: InvalidReason::InUse,
            subject: key.to_string(),
        },
        None => rejection,
    }
}
