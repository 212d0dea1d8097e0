//! The latest changes, for entries that catch up and for watches.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use types::{Key, Kind, Resource};

/// How many changes of single resources are kept.
pub const HISTORY_MAX_CHANGES: usize = 4_096;

/// One resource's change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Change {
    /// The revision that made it.
    pub revision: u64,
    /// The resource.
    pub key: Key,
    /// The resource as it is since; `None` when it was withdrawn.
    pub resource: Option<Resource>,
}

/// What leads from an index to the present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Whether `changes` lists every resource there is, rather than what changed.
    pub complete: bool,
    /// The latest change of each resource.
    pub changes: Vec<Change>,
}

/// A bounded run of changes that ends with the latest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct History {
    /// Every change after this revision is in `changes`.
    horizon: u64,
    changes: VecDeque<Change>,
}

impl History {
    /// The revision after which every change is kept.
    pub(crate) const fn horizon(&self) -> u64 {
        self.horizon
    }

    pub(crate) fn push(&mut self, change: Change) {
        self.changes.push_back(change);
    }

    /// Drops whole revisions from the front until the bound holds.
    pub(crate) fn trim(&mut self) {
        while self.changes.len() > HISTORY_MAX_CHANGES {
            let Some(oldest) = self.changes.front().map(|change| change.revision) else {
                return;
            };
            while self
                .changes
                .front()
                .is_some_and(|change| change.revision == oldest)
            {
                self.changes.pop_front();
            }
            self.horizon = oldest;
        }
    }

    /// Whether a resource of this kind may ever have been withdrawn, as far as is known.
    pub(crate) fn may_have_withdrawn(&self, kind: Kind) -> bool {
        let withdrawn = |change: &Change| change.resource.is_none() && change.key.kind == kind;
        self.horizon > 0 || self.changes.iter().any(withdrawn)
    }

    /// Every change after `revision`, in order; `None` when some are no longer kept.
    pub(crate) fn after(&self, revision: u64) -> Option<impl Iterator<Item = &Change>> {
        if revision < self.horizon {
            return None;
        }
        let start = self
            .changes
            .partition_point(|change| change.revision <= revision);
        Some(self.changes.range(start..))
    }

    /// The latest change of each resource after `revision`; `None` when some are no longer kept.
    pub(crate) fn latest_after(&self, revision: u64) -> Option<Vec<Change>> {
        let latest: BTreeMap<&Key, &Change> = self
            .after(revision)?
            .map(|change| (&change.key, change))
            .collect();
        Some(latest.into_values().cloned().collect())
    }
}
