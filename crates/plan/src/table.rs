//! Finds the route of a request.

use crate::{changes::PlanChanges, model::Route};
use std::collections::{BTreeMap, HashMap};

/// The routes of a plan by host and prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: BTreeMap<String, Route>,
    /// The names of routes by their lower-case host and their prefix.
    names: HashMap<String, HashMap<String, String>>,
}

impl RouteTable {
    /// Takes over the routes that changed.
    pub fn apply(&mut self, changes: &PlanChanges) {
        if changes.complete {
            *self = Self::default();
        }
        // Routes may change places with one another, so all of them leave theirs first.
        let changed = changes.routes.iter().map(|route| &route.name);
        for name in changes.removed.iter().chain(changed) {
            self.remove(name);
        }
        for route in &changes.routes {
            let host = route.host.to_ascii_lowercase();
            let names = self.names.entry(host).or_default();
            names.insert(route.prefix.clone(), route.name.clone());
            self.routes.insert(route.name.clone(), route.clone());
        }
    }

    fn remove(&mut self, name: &str) {
        let Some(route) = self.routes.remove(name) else {
            return;
        };
        let host = route.host.to_ascii_lowercase();
        if let Some(names) = self.names.get_mut(&host) {
            names.remove(&route.prefix);
        }
    }

    /// The route with the longest prefix that begins `path`; a port in `host` is not
    /// looked at.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let names = match self.names.get(host) {
            Some(names) => names,
            None => self.names.get(&host.to_ascii_lowercase())?,
        };
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        let mut prefixes = ends.map(|end| &path[..end]);
        let name = prefixes.find_map(|prefix| names.get(prefix))?;
        self.routes.get(name)
    }

    /// Every route.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// Whether a route of this name is there.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.routes.contains_key(name)
    }
}
