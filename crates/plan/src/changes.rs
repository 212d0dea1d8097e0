//! The difference between two plans, and the history of routes and tenants from which it is computed.

use crate::{
    model::{Limits, Plan, Route, ServiceTerms},
    tenant::{KeyUse, Tenant},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most names of removed routes, and of removed tenants, that are remembered. A gateway that last polled before a
/// removal that is forgotten gets the whole plan.
const REMOVED_MAX: usize = 8_192;

/// The difference from an earlier plan to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanChanges {
    /// The version of the later plan.
    pub version: u64,
    /// Whether `routes` and `tenants` list all of the later plan, rather than the changed ones only.
    pub complete: bool,
    /// The routes that are new or changed.
    pub routes: Vec<Route>,
    /// The names of the removed routes; empty when `complete`.
    pub removed: Vec<String>,
    /// Every service of the later plan, changed or not.
    pub services: Vec<ServiceTerms>,
    /// The limits of the later plan, changed or not.
    pub limits: Limits,
    /// The tenants that are new or changed.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The names of the removed tenants; empty when `complete`.
    #[serde(default)]
    pub removed_tenants: Vec<String>,
    /// Whether requests carry a key under the later plan.
    #[serde(default)]
    pub keys: KeyUse,
}

impl PlanChanges {
    /// The changes that lead to a plan from any earlier one or from none.
    #[must_use]
    pub fn whole(plan: &Plan) -> Self {
        Self {
            version: plan.version,
            complete: true,
            routes: plan.routes.clone(),
            removed: Vec::new(),
            services: plan.services.clone(),
            limits: plan.limits,
            tenants: plan.tenants.clone(),
            removed_tenants: Vec::new(),
            keys: plan.key_use(),
        }
    }
}

/// The log indices at which the routes or the tenants of a plan were last changed or removed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct NameHistory {
    /// By name in the plan in force: when it was added or changed last.
    changed: BTreeMap<String, u64>,
    /// By name that is not in the plan in force: when it was removed.
    removed: BTreeMap<String, u64>,
    /// Removals up to this index are no longer remembered.
    forgotten: u64,
}

impl NameHistory {
    /// Records that `next` replaces `previous` at a log index; `name` gives the name of an item.
    fn record<T: PartialEq>(
        &mut self,
        previous: &[T],
        next: &[T],
        name: impl Fn(&T) -> &str,
        index: u64,
    ) {
        let known: BTreeMap<&str, &T> = previous.iter().map(|it| (name(it), it)).collect();
        for item in next {
            if known.get(name(item)) != Some(&item) {
                self.changed.insert(name(item).to_owned(), index);
                self.removed.remove(name(item));
            }
        }
        let kept: BTreeSet<&str> = next.iter().map(&name).collect();
        for name in known.into_keys().filter(|name| !kept.contains(name)) {
            self.changed.remove(name);
            self.removed.insert(name.to_owned(), index);
        }
        self.forget_oldest_removals();
    }

    /// Whether the item of this name in the plan in force changed after a log index.
    fn has_changed(&self, name: &str, index: u64) -> bool {
        let changed = self.changed.get(name);
        changed.is_none_or(|changed| *changed > index)
    }

    fn removed_since(&self, index: u64) -> Vec<String> {
        let removed = self.removed.iter().filter(|(_, at)| **at > index);
        removed.map(|(name, _)| name.clone()).collect()
    }

    /// Drops the oldest removals beyond `REMOVED_MAX`.
    fn forget_oldest_removals(&mut self) {
        if self.removed.len() <= REMOVED_MAX {
            return;
        }
        let mut indices: Vec<u64> = self.removed.values().copied().collect();
        indices.sort_unstable();
        let horizon = indices[indices.len() - REMOVED_MAX - 1];
        self.removed.retain(|_, at| *at > horizon);
        self.forgotten = horizon;
    }
}

/// When the routes and the tenants of the plan in force last changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct PlanHistory {
    #[serde(flatten)]
    routes: NameHistory,
    #[serde(default)]
    tenants: NameHistory,
}

impl PlanHistory {
    /// Records that `plan` replaces `previous` at a log index.
    pub(crate) fn record(&mut self, previous: Option<&Plan>, plan: &Plan, index: u64) {
        let routes = previous.map_or(&[][..], |plan| plan.routes.as_slice());
        let tenants = previous.map_or(&[][..], |plan| plan.tenants.as_slice());
        self.routes
            .record(routes, &plan.routes, |it| &it.name, index);
        self.tenants
            .record(tenants, &plan.tenants, |it| &it.name, index);
    }

    /// The changes that lead to `plan`, the plan in force, from the one that was in force at a log
    /// index; the whole plan for index 0 or when removals since then are forgotten.
    pub(crate) fn changes_since(&self, plan: &Plan, index: u64) -> PlanChanges {
        if self.is_whole_since(index) {
            return PlanChanges::whole(plan);
        }
        PlanChanges {
            version: plan.version,
            complete: false,
            routes: self.changed_routes(plan, index).cloned().collect(),
            removed: self.routes.removed_since(index),
            services: plan.services.clone(),
            limits: plan.limits,
            tenants: self.changed_tenants(plan, index).cloned().collect(),
            removed_tenants: self.tenants.removed_since(index),
            keys: plan.key_use(),
        }
    }

    /// How many routes and tenants of `plan`, the plan in force, changed after a log index; all of them
    /// where [`Self::changes_since`] gives the whole plan.
    pub(crate) fn count_changed(&self, plan: &Plan, index: u64) -> usize {
        self.changed_routes(plan, index).count() + self.changed_tenants(plan, index).count()
    }

    fn changed_routes<'a>(&'a self, plan: &'a Plan, index: u64) -> impl Iterator<Item = &'a Route> {
        let is_whole = self.is_whole_since(index);
        let has_changed = move |it: &&Route| is_whole || self.routes.has_changed(&it.name, index);
        plan.routes.iter().filter(has_changed)
    }

    fn changed_tenants<'a>(
        &'a self,
        plan: &'a Plan,
        index: u64,
    ) -> impl Iterator<Item = &'a Tenant> {
        let is_whole = self.is_whole_since(index);
        let has_changed = move |it: &&Tenant| is_whole || self.tenants.has_changed(&it.name, index);
        plan.tenants.iter().filter(has_changed)
    }

    const fn is_whole_since(&self, index: u64) -> bool {
        index == 0 || index < self.routes.forgotten || index < self.tenants.forgotten
    }
}
