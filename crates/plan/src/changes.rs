//! The difference between two plans, and the history of routes from which it is computed.

use crate::model::{Limits, Plan, Route, ServiceTerms};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most names of removed routes that are remembered. A gateway that last polled before a
/// removal that is forgotten gets the whole plan.
const REMOVED_MAX: usize = 8_192;

/// The difference from an earlier plan to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanChanges {
    /// The version of the later plan.
    pub version: u64,
    /// Whether `routes` lists every route of the later plan, rather than the changed ones only.
    pub complete: bool,
    /// The routes that are new or changed.
    pub routes: Vec<Route>,
    /// The names of the removed routes; empty when `complete`.
    pub removed: Vec<String>,
    /// Every service of the later plan, changed or not.
    pub services: Vec<ServiceTerms>,
    /// The limits of the later plan, changed or not.
    pub limits: Limits,
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
        }
    }
}

/// The log indices at which routes were last changed or removed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct RouteHistory {
    /// By name of a route of the plan in force: when it was added or changed last.
    changed: BTreeMap<String, u64>,
    /// By name of a route that is not in the plan in force: when it was removed.
    removed: BTreeMap<String, u64>,
    /// Removals up to this index are no longer remembered.
    forgotten: u64,
}

impl RouteHistory {
    /// Records that `plan` replaces `previous` at a log index.
    pub(crate) fn record(&mut self, previous: Option<&Plan>, plan: &Plan, index: u64) {
        let routes = previous.map_or(&[][..], |plan| plan.routes.as_slice());
        let known: BTreeMap<&str, &Route> =
            routes.iter().map(|it| (it.name.as_str(), it)).collect();
        for route in &plan.routes {
            if known.get(route.name.as_str()) != Some(&route) {
                self.changed.insert(route.name.clone(), index);
                self.removed.remove(&route.name);
            }
        }
        let kept: BTreeSet<&str> = plan.routes.iter().map(|it| it.name.as_str()).collect();
        for name in known.into_keys().filter(|name| !kept.contains(name)) {
            self.changed.remove(name);
            self.removed.insert(name.to_owned(), index);
        }
        self.forget_oldest_removals();
    }

    /// The changes that lead to `plan`, the plan in force, from the one that was in force at a log
    /// index; the whole plan for index 0 or when removals since then are forgotten.
    pub(crate) fn changes_since(&self, plan: &Plan, index: u64) -> PlanChanges {
        if self.is_whole_since(index) {
            return PlanChanges::whole(plan);
        }
        let removed = self.removed.iter().filter(|(_, at)| **at > index);
        PlanChanges {
            version: plan.version,
            complete: false,
            routes: self.changed_routes(plan, index).cloned().collect(),
            removed: removed.map(|(name, _)| name.clone()).collect(),
            services: plan.services.clone(),
            limits: plan.limits,
        }
    }

    /// The routes of `plan`, the plan in force, that changed after a log index; all of them where
    /// [`Self::changes_since`] gives the whole plan.
    pub(crate) fn changed_routes<'a>(
        &'a self,
        plan: &'a Plan,
        index: u64,
    ) -> impl Iterator<Item = &'a Route> {
        let is_whole = self.is_whole_since(index);
        plan.routes.iter().filter(move |route| {
            let changed = self.changed.get(&route.name);
            is_whole || changed.is_none_or(|changed| *changed > index)
        })
    }

    const fn is_whole_since(&self, index: u64) -> bool {
        index == 0 || index < self.forgotten
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
