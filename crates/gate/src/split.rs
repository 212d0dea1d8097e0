//! Shares a route's requests out among its parts.

use plan::{Part, Route};

/// Smooth weighted round robin: each part gets its share with the least deviation.
#[derive(Clone, Debug)]
pub(crate) struct Split {
    parts: Vec<Part>,
    credit_milli: Vec<i64>,
}

impl Split {
    pub(crate) fn new(route: &Route) -> Self {
        Self {
            parts: route.parts.clone(),
            credit_milli: vec![0; route.parts.len()],
        }
    }

    /// Whether a route still has these parts, so that the shares go on where they were.
    pub(crate) fn fits(&self, route: &Route) -> bool {
        self.parts == route.parts
    }

    /// The part of the next request, by its index; none where the route has no parts.
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
