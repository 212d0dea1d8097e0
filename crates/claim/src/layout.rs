//! Which entries hold the claims of a key.

use crate::key::ClaimKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use types::{DomainName, EntryName, RegionName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Entries that hold the claims of one key, unless a set says otherwise.
pub const HOLDERS: usize = 3;

/// Where a declared entry stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Place {
    /// The entry.
    pub entry: EntryName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub failure_domain: DomainName,
}

/// Entries that were declared together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntrySet {
    holders: usize,
    places: BTreeSet<Place>,
}

impl Default for EntrySet {
    fn default() -> Self {
        Self::new([])
    }
}

impl EntrySet {
    /// A set of declared entries.
    #[must_use]
    pub fn new(places: impl IntoIterator<Item = Place>) -> Self {
        Self {
            holders: HOLDERS,
            places: places.into_iter().collect(),
        }
    }

    /// The same set with so many holders for each key.
    #[must_use]
    pub fn with_holders(self, holders: usize) -> Self {
        Self { holders, ..self }
    }

    /// The declared entries.
    pub fn entries(&self) -> impl Iterator<Item = &EntryName> {
        self.places.iter().map(|place| &place.entry)
    }

    /// The key's holders: the entries with the highest scores, in distinct regions as far as there
    /// are any, then in distinct failure domains.
    #[must_use]
    pub fn holders(&self, key: &ClaimKey) -> Vec<&EntryName> {
        let bytes = key.hashed_bytes();
        let scored: Vec<(u64, &Place)> = self
            .places
            .iter()
            .map(|place| (score(&bytes, place), place))
            .collect();
        let mut chosen: Vec<&Place> = Vec::with_capacity(self.holders);
        for spread in [Spread::Regions, Spread::Domains, Spread::Any] {
            while chosen.len() < self.holders
                && let Some(place) = best(&scored, &chosen, spread)
            {
                chosen.push(place);
            }
        }
        chosen.into_iter().map(|place| &place.entry).collect()
    }
}

fn score(key: &[u8], place: &Place) -> u64 {
    xxh3_64_with_seed(key, xxh3_64(place.entry.as_str().as_bytes()))
}

/// The allowed place with the highest score.
fn best<'a>(scored: &[(u64, &'a Place)], chosen: &[&Place], spread: Spread) -> Option<&'a Place> {
    scored
        .iter()
        .filter(|(_, place)| spread.allows(chosen, place))
        .max()
        .map(|(_, place)| *place)
}

/// How far apart the next holder must stand from those chosen.
#[derive(Clone, Copy)]
enum Spread {
    Regions,
    Domains,
    Any,
}

impl Spread {
    fn allows(self, chosen: &[&Place], place: &Place) -> bool {
        chosen.iter().all(|other| match self {
            Self::Regions => other.region != place.region,
            Self::Domains => {
                other.region != place.region || other.failure_domain != place.failure_domain
            }
            Self::Any => other.entry != place.entry,
        })
    }
}

/// The entry sets that count at a configuration revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Layout {
    /// Rises with every change of `sets`.
    pub epoch: u64,
    /// The present set first, then every earlier one that was replaced less than
    /// [`Timing::window_us`](crate::Timing::window_us) ago. A claim needs a majority in each.
    pub sets: Vec<EntrySet>,
}

impl Layout {
    /// The key's holders in each set that has any.
    #[must_use]
    pub fn holders(&self, key: &ClaimKey) -> Vec<Vec<EntryName>> {
        self.sets
            .iter()
            .map(|set| set.holders(key).into_iter().cloned().collect::<Vec<_>>())
            .filter(|holders| !holders.is_empty())
            .collect()
    }

    /// Whether the present set holds an entry. Nothing is claimed while it doesn't: the earlier sets
    /// stop counting before claims under them alone would have expired.
    #[must_use]
    pub fn is_declared(&self) -> bool {
        let present = self.sets.first();
        present.is_some_and(|present| present.entries().next().is_some())
    }

    /// The key's holders in any set.
    #[must_use]
    pub fn all_holders(&self, key: &ClaimKey) -> BTreeSet<EntryName> {
        self.holders(key).into_iter().flatten().collect()
    }
}
