//! The order of regions by network delay.

use std::collections::BTreeSet;
use types::RegionName;

/// A link between two regions; it counts in both directions.
#[derive(Clone, Copy, Debug)]
pub struct RegionLink<'a> {
    /// The region at one end.
    pub a: &'a RegionName,
    /// The region at the other end.
    pub b: &'a RegionName,
    /// The one-way delay in microseconds.
    pub delay_us: u64,
}

/// The regions that can be reached from `from`, itself included, nearest first, each with the delay
/// of the shortest path in microseconds (Dijkstra's algorithm).
#[must_use]
pub fn region_order<'a>(
    from: &'a RegionName,
    links: &[RegionLink<'a>],
) -> Vec<(&'a RegionName, u64)> {
    let mut frontier = BTreeSet::from([(0_u64, from)]);
    let mut settled = BTreeSet::new();
    let mut order = Vec::new();
    while let Some((delay_us, region)) = frontier.pop_first() {
        if !settled.insert(region) {
            continue;
        }
        order.push((region, delay_us));
        for link in links {
            let other = match (link.a == region, link.b == region) {
                (true, _) => link.b,
                (false, true) => link.a,
                (false, false) => continue,
            };
            frontier.insert((delay_us.saturating_add(link.delay_us), other));
        }
    }
    order
}
