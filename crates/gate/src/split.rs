//! Splits a route's requests among its parts by their weights.

use plan::{Route, WeightedService};

/// The state of a smooth weighted round robin, which keeps each part close to its weight over short
/// runs of requests too.
#[derive(Clone, Debug)]
pub(crate) struct Split {
    parts: Vec<WeightedService>,
    /// The credit of each part: grows by the part's weight with every request, and falls by the sum
    /// of the weights when the part is chosen.
    credit_milli: Vec<i64>,
}

impl Split {
    pub(crate) fn new(route: &Route) -> Self {
        Self {
            parts: route.parts.clone(),
            credit_milli: vec![0; route.parts.len()],
        }
    }

    /// Whether a route has the same parts and weights, so that the credits stay valid.
    pub(crate) fn matches(&self, route: &Route) -> bool {
        self.parts == route.parts
    }

    /// The index of the part that serves the next request; none when no part has a positive weight.
    pub(crate) fn next(&mut self) -> Option<usize> {
        let total: i64 = self.parts.iter().map(|part| part.weight_milli).sum();
        for (credit, part) in self.credit_milli.iter_mut().zip(&self.parts) {
            *credit += part.weight_milli;
        }
        let weighted = (0..self.parts.len()).filter(|index| self.parts[*index].weight_milli > 0);
        let chosen = weighted.max_by_key(|index| self.credit_milli[*index])?;
        self.credit_milli[chosen] -= total;
        Some(chosen)
    }
}
