//! Which upstreams a request may go to, and how each stands for the request's object.
//!
//! Rendezvous hashing ranks the upstreams of a group equally at every gateway. The first of each
//! group serves the object; the next one takes what the first has no room for. The others are left
//! out: each upstream remembers only some objects, and an upstream that runs a request for one more
//! object forgets another, whose next run is slow again.

use crate::{rank::rank, upstream::Upstream};
use std::collections::BTreeMap;

/// How many upstreams of a group a request for an object may go to.
const RANKED_MAX: usize = 2;

/// The groups of upstreams in each of which one is the first for an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Grouping {
    /// One in each failure domain.
    FailureDomain,
    /// One in each region.
    Region,
}

/// How an upstream stands for the object of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// The request names no object.
    Any,
    /// The first upstream of its group for the object, which every gateway uses.
    First,
    /// An upstream that takes what the first has no room for.
    Next,
}

/// The upstreams that a request may go to, by index.
pub(crate) fn candidates(
    upstreams: &[Upstream],
    usable: &[usize],
    object: Option<u64>,
    grouping: Grouping,
) -> Vec<(usize, Standing)> {
    let Some(object) = object else {
        let any = usable.iter().map(|index| (*index, Standing::Any));
        return any.collect();
    };
    let mut groups: BTreeMap<&str, Vec<(u64, usize)>> = BTreeMap::new();
    for index in usable {
        let upstream = &upstreams[*index];
        let group = match grouping {
            Grouping::FailureDomain => upstream.instance.failure_domain.as_str(),
            Grouping::Region => upstream.region.as_str(),
        };
        let ranked = (rank(upstream.instance.id.as_str(), object), *index);
        insert_ranked(groups.entry(group).or_default(), ranked);
    }
    let standing = |position| match position {
        0 => Standing::First,
        _ => Standing::Next,
    };
    groups
        .into_values()
        .flat_map(|ranked| ranked.into_iter().enumerate())
        .map(|(position, (_, index))| (index, standing(position)))
        .collect()
}

/// Inserts an upstream into the highest-ranked ones, which are kept in descending order.
fn insert_ranked(highest: &mut Vec<(u64, usize)>, ranked: (u64, usize)) {
    let position = highest.partition_point(|other| *other > ranked);
    if position < RANKED_MAX {
        highest.truncate(RANKED_MAX - 1);
        highest.insert(position, ranked);
    }
}
