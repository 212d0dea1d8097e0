//! The most recent changes of resources, for entries that catch up and for watches.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use types::{Key, Kind, Resource};

/// How many changes are kept; the change of each resource counts, also within one command.
pub const HISTORY_MAX_CHANGES: usize = 4_096;

/// A change of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Change {
    /// The revision of the change: the index of the log entry that made it.
    pub revision: u64,
    /// The changed resource.
    pub key: Key,
    /// The resource after the change; `None` when it was withdrawn.
    pub resource: Option<Resource>,
}

/// The difference between the resources at some log index and the current ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Whether `changes` lists every current resource, so that any other one is gone, rather than
    /// only what changed.
    pub complete: bool,
    /// The latest change of each listed resource.
    pub changes: Vec<Change>,
}

/// The most recent changes, oldest first, at most [`HISTORY_MAX_CHANGES`] after each command.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct History {
    /// `changes` holds every change after this revision; 0 while nothing was dropped.
    horizon: u64,
    changes: VecDeque<Change>,
}

impl History {
    /// The revision after which every change is still kept.
    pub(crate) const fn horizon(&self) -> u64 {
        self.horizon
    }

    pub(crate) fn push(&mut self, change: Change) {
        self.changes.push_back(change);
    }

    /// Drops the oldest revisions until at most [`HISTORY_MAX_CHANGES`] changes are left. All
    /// changes of a revision are dropped together.
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

    /// Whether a resource of this kind may have been withdrawn at any time. Once changes were
    /// dropped, the answer is always yes.
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
