//! The order of regions by closeness.

use std::collections::BTreeSet;
use types::RegionName;

/// A link between two regions.
#[derive(Clone, Copy, Debug)]
pub struct RegionLink<'a> {
    /// One end.
    pub a: &'a RegionName,
    /// The other end.
    pub b: &'a RegionName,
    /// The one-way delay.
    pub delay_us: u64,
}

/// The regions that links reach from `from`, nearest first, each with the delay of the shortest
/// path.
#[must_use]
pub fn region_order<'a>(
    from: &'a RegionName,
    links: &[RegionLink<'a>],
) -> Vec<(&'a RegionName, u64)> {
    let mut waiting = BTreeSet::from([(0_u64, from)]);
    let mut settled = BTreeSet::new();
    let mut order = Vec::new();
    while let Some((delay_us, region)) = waiting.pop_first() {
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
            waiting.insert((delay_us.saturating_add(link.delay_us), other));
        }
    }
    order
}
