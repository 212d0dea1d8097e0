//! Chooses the entries that hold the claims of a key, by rendezvous hashing.

use crate::key::ClaimKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use types::{DomainName, EntryName, RegionName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of entries that hold the claims of one key, unless [`EntrySet::with_holders`] sets
/// another.
pub const HOLDERS: usize = 3;

/// A declared entry and where it runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryLocation {
    /// The entry's name, which the hash that chooses holders depends on.
    pub entry: EntryName,
    /// The region that the entry runs in.
    pub region: RegionName,
    /// The failure domain within the region.
    pub failure_domain: DomainName,
}

/// The entries declared at one time, and how many of them hold the claims of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntrySet {
    holders: usize,
    #[serde(rename = "places")]
    locations: BTreeSet<EntryLocation>,
}

impl Default for EntrySet {
    fn default() -> Self {
        Self::new([])
    }
}

impl EntrySet {
    /// A set of declared entries with [`HOLDERS`] holders for each key.
    #[must_use]
    pub fn new(locations: impl IntoIterator<Item = EntryLocation>) -> Self {
        Self {
            holders: HOLDERS,
            locations: locations.into_iter().collect(),
        }
    }

    /// The same set with `holders` holders for each key.
    #[must_use]
    pub fn with_holders(self, holders: usize) -> Self {
        Self { holders, ..self }
    }

    /// The names of the declared entries.
    pub fn entries(&self) -> impl Iterator<Item = &EntryName> {
        self.locations.iter().map(|location| &location.entry)
    }

    /// The key's holders: the entries with the highest scores, first in distinct regions, then in
    /// distinct failure domains, then any. Fewer only when the set has fewer entries.
    #[must_use]
    pub fn holders(&self, key: &ClaimKey) -> Vec<&EntryName> {
        let key_bytes = key.hashed_bytes();
        let scored: Vec<(u64, &EntryLocation)> = self
            .locations
            .iter()
            .map(|location| (score(&key_bytes, location), location))
            .collect();
        let mut chosen: Vec<&EntryLocation> = Vec::with_capacity(self.holders);
        for spread in [Spread::Region, Spread::Domain, Spread::Entry] {
            while chosen.len() < self.holders
                && let Some(location) = highest_scored(&scored, &chosen, spread)
            {
                chosen.push(location);
            }
        }
        chosen.into_iter().map(|location| &location.entry).collect()
    }
}

fn score(key: &[u8], location: &EntryLocation) -> u64 {
    xxh3_64_with_seed(key, xxh3_64(location.entry.as_str().as_bytes()))
}

/// The location with the highest score among those that `spread` allows.
fn highest_scored<'a>(
    scored: &[(u64, &'a EntryLocation)],
    chosen: &[&EntryLocation],
    spread: Spread,
) -> Option<&'a EntryLocation> {
    scored
        .iter()
        .filter(|(_, location)| spread.allows(chosen, location))
        .max()
        .map(|(_, location)| *location)
}

/// How far apart the next holder must be from those chosen already: in another region, in another
/// failure domain, or just another entry.
#[derive(Clone, Copy)]
enum Spread {
    Region,
    Domain,
    Entry,
}

impl Spread {
    fn allows(self, chosen: &[&EntryLocation], location: &EntryLocation) -> bool {
        chosen.iter().all(|other| match self {
            Self::Region => other.region != location.region,
            Self::Domain => {
                other.region != location.region || other.failure_domain != location.failure_domain
            }
            Self::Entry => other.entry != location.entry,
        })
    }
}

/// The entry sets in which claims are decided at a configuration revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Layout {
    /// Rises by one with every change of `sets`; 0 before the first.
    pub epoch: u64,
    /// The current set first, then every earlier one that was replaced less than
    /// [`Timing::window_us`](crate::Timing::window_us) ago. A claim needs a majority in each.
    pub sets: Vec<EntrySet>,
}

impl Layout {
    /// The key's holders in each set, without sets that have none.
    #[must_use]
    pub fn holders(&self, key: &ClaimKey) -> Vec<Vec<EntryName>> {
        self.sets
            .iter()
            .map(|set| set.holders(key).into_iter().cloned().collect::<Vec<_>>())
            .filter(|holders| !holders.is_empty())
            .collect()
    }

    /// Whether the current set has any entry. Nothing is claimed while it has none: the earlier
    /// sets stop counting before claims under them alone would have expired.
    #[must_use]
    pub fn has_entries(&self) -> bool {
        let current = self.sets.first();
        current.is_some_and(|current| current.entries().next().is_some())
    }

    /// The key's holders in any of the sets.
    #[must_use]
    pub fn all_holders(&self, key: &ClaimKey) -> BTreeSet<EntryName> {
        self.holders(key).into_iter().flatten().collect()
    }
}
