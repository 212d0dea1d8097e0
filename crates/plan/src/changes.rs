//! What changes from one plan to a later one.

use crate::model::{Limits, Plan, Route, ServiceTerms};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Names of removed routes that are remembered; who missed more gets the whole plan.
const REMOVED_MAX: usize = 8_192;

/// What leads from a plan to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanChanges {
    /// The version of the later plan.
    pub version: u64,
    /// Whether `routes` lists every route rather than the changed ones.
    pub complete: bool,
    /// The routes that are new or changed.
    pub routes: Vec<Route>,
    /// The names of the routes that are gone.
    pub removed: Vec<String>,
    /// Every service.
    pub services: Vec<ServiceTerms>,
    /// The limits.
    pub limits: Limits,
}

impl PlanChanges {
    /// Every route of a plan.
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

/// The indices of the log at which the routes of the plan in force changed last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct RouteHistory {
    changed: BTreeMap<String, u64>,
    removed: BTreeMap<String, u64>,
    /// Removals up to this index are no longer remembered.
    forgotten: u64,
}

impl RouteHistory {
    /// Notes that `plan` takes the place of `previous` at an index of the log.
    pub(crate) fn note(&mut self, previous: Option<&Plan>, plan: &Plan, index: u64) {
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
        self.forget();
    }

    /// What leads to `plan` from the plan that was in force at an index of the log.
    pub(crate) fn changes_since(&self, plan: &Plan, index: u64) -> PlanChanges {
        if index == 0 || index < self.forgotten {
            return PlanChanges::whole(plan);
        }
        let is_later = |changed: Option<&u64>| changed.is_none_or(|changed| *changed > index);
        let routes = plan.routes.iter();
        let routes = routes.filter(|route| is_later(self.changed.get(&route.name)));
        let removed = self.removed.iter().filter(|(_, at)| is_later(Some(*at)));
        PlanChanges {
            version: plan.version,
            complete: false,
            routes: routes.cloned().collect(),
            removed: removed.map(|(name, _)| name.clone()).collect(),
            services: plan.services.clone(),
            limits: plan.limits,
        }
    }

    /// Forgets the oldest removals beyond what is remembered.
    fn forget(&mut self) {
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
