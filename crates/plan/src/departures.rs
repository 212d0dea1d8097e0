//! Confirmed notices that instances leave, which bind whatever comes of the instance afterwards.
//!
//! A heartbeat may be late, and so come after the notice of its own run; the notice may then be the
//! first that is heard of that run. So a notice is kept on its own, whether a run is recorded or not.

use serde::{Deserialize, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet};
use types::UpstreamName;

/// How far ahead of a replica's clock an instance may claim to have started, in milliseconds. VMs'
/// clocks differ by less; a claim beyond it is doubtful, since nothing has started in the future.
pub const BORN_AHEAD_MAX_MS: u64 = 10_000;

/// How far ahead of a replica's clock a run that leaves without stating its start may have started by
/// its own, in milliseconds. A run goes on to serve for longer than this once its notice is confirmed,
/// so none that follows it under its name starts as early.
const UNSTATED_AHEAD_MAX_MS: u64 = 1_000;

/// Which runs under a name have left. Start times are those of
/// [`Registration::born_ms`](crate::Registration::born_ms).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Departure {
    /// Every run that started up to then has left, and every one that doesn't state its start.
    until_ms: u64,
    /// The run that started then has left too.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    born_ms: Option<u64>,
    /// The log index of the latest notice.
    revision: u64,
}

impl Departure {
    /// The departure that a notice states which is applied at log index `revision`. The notice came at
    /// `received_ms` by the clock of the replica that proposed it, in Unix milliseconds, and states
    /// `born_ms` as the start of its run; either may be unknown. `recorded_ms` is the start of the
    /// recorded run.
    ///
    /// A start that is far ahead says nothing of other runs: it would shut all later ones out. A notice
    /// without a start is of the recorded run or of a later one whose heartbeats are late.
    pub(crate) fn new(
        born_ms: Option<u64>,
        received_ms: Option<u64>,
        recorded_ms: Option<u64>,
        revision: u64,
    ) -> Self {
        let recorded_ms = recorded_ms.unwrap_or_default();
        let until_ms = match (born_ms, received_ms) {
            (Some(born_ms), Some(received_ms))
                if born_ms > received_ms.saturating_add(BORN_AHEAD_MAX_MS) =>
            {
                0
            }
            (Some(born_ms), _) => born_ms,
            (None, Some(received_ms)) => {
                let latest_ms = received_ms.saturating_add(UNSTATED_AHEAD_MAX_MS);
                recorded_ms.max(latest_ms)
            }
            (None, None) => recorded_ms,
        };
        Self {
            until_ms,
            born_ms,
            revision,
        }
    }

    /// Whether the run that started at `born_ms` has left.
    pub(crate) fn binds(&self, born_ms: u64) -> bool {
        born_ms <= self.until_ms || Some(born_ms) == self.born_ms
    }

    /// What both this and an earlier departure under the same name say.
    fn after(self, earlier: Self) -> Self {
        Self {
            until_ms: self.until_ms.max(earlier.until_ms),
            born_ms: self.born_ms.or(earlier.born_ms),
            revision: self.revision,
        }
    }
}

/// Departures by the name of the instance. Serialized as that map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "BTreeMap<UpstreamName, Departure>")]
pub(crate) struct Departures {
    by_name: BTreeMap<UpstreamName, Departure>,
    by_revision: BTreeSet<(u64, UpstreamName)>,
}

impl From<BTreeMap<UpstreamName, Departure>> for Departures {
    fn from(by_name: BTreeMap<UpstreamName, Departure>) -> Self {
        let by_revision = by_name.iter().map(|(id, it)| (it.revision, id.clone()));
        Self {
            by_revision: by_revision.collect(),
            by_name,
        }
    }
}

impl Serialize for Departures {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.by_name.serialize(serializer)
    }
}

impl Departures {
    /// Whether nothing has left.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Whether the run of this name that started at `born_ms` has left.
    pub(crate) fn bind(&self, id: &str, born_ms: u64) -> bool {
        let departure = self.by_name.get(id);
        departure.is_some_and(|it| it.binds(born_ms))
    }

    /// Adds a departure, and forgets the oldest ones beyond `count_max`.
    pub(crate) fn insert(&mut self, id: &UpstreamName, departure: Departure, count_max: usize) {
        let known = self.by_name.get(id);
        let departure = known.map_or(departure, |known| departure.after(*known));
        if let Some(known) = self.by_name.insert(id.clone(), departure) {
            self.by_revision.remove(&(known.revision, id.clone()));
        }
        self.by_revision.insert((departure.revision, id.clone()));
        while self.by_name.len() > count_max {
            let Some((_, oldest)) = self.by_revision.pop_first() else {
                return;
            };
            self.by_name.remove(&oldest);
        }
    }
}
