//! The routes of a plan, indexed to find the route of a request.

use crate::{changes::PlanChanges, model::Route};
use std::collections::{BTreeMap, HashMap};

/// The routes of a plan, found by host and longest path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// By route name.
    routes: BTreeMap<String, Route>,
    /// The names of routes by their host in lower case, and then by their prefix.
    names_by_host: HashMap<String, HashMap<String, String>>,
}

impl RouteTable {
    /// Applies the changes from the plan that the table holds to a later one.
    pub fn apply(&mut self, changes: &PlanChanges) {
        if changes.complete {
            *self = Self::default();
        }
        // Two routes may swap their prefixes, so all changed routes are removed before any is
        // added.
        let changed = changes.routes.iter().map(|route| &route.name);
        for name in changes.removed.iter().chain(changed) {
            self.remove(name);
        }
        for route in &changes.routes {
            let host = route.host.to_ascii_lowercase();
            let names_by_prefix = self.names_by_host.entry(host).or_default();
            names_by_prefix.insert(route.prefix.clone(), route.name.clone());
            self.routes.insert(route.name.clone(), route.clone());
        }
    }

    fn remove(&mut self, name: &str) {
        let Some(route) = self.routes.remove(name) else {
            return;
        };
        let host = route.host.to_ascii_lowercase();
        if let Some(names_by_prefix) = self.names_by_host.get_mut(&host) {
            names_by_prefix.remove(&route.prefix);
        }
    }

    /// Finds the route of this host with the longest prefix of `path`. A port in `host` and its
    /// case are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let names_by_prefix = match self.names_by_host.get(host) {
            Some(names_by_prefix) => names_by_prefix,
            None => self.names_by_host.get(&host.to_ascii_lowercase())?,
        };
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        let mut prefixes = ends.map(|end| &path[..end]);
        let name = prefixes.find_map(|prefix| names_by_prefix.get(prefix))?;
        self.routes.get(name)
    }

    /// All routes, in the order of their names.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// Whether the table holds a route of this name.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.routes.contains_key(name)
    }
}
