//! Finds the route of a request.

use crate::model::{Plan, Route};
use std::collections::HashMap;

/// The routes of a plan by host, longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    of_host: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// The table of a plan.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        let routes = plan.routes.clone();
        let mut of_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            of_host.entry(host).or_default().push(index);
        }
        for indices in of_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        Self { routes, of_host }
    }

    /// The route with the longest prefix that begins `path`; a port in `host` is not
    /// looked at.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let indices = match self.of_host.get(host) {
            Some(indices) => indices,
            None => self.of_host.get(&host.to_ascii_lowercase())?,
        };
        let index = indices
            .iter()
            .copied()
            .find(|index| path.starts_with(&self.routes[*index].prefix))?;
        Some(&self.routes[index])
    }

    /// Every route.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}
