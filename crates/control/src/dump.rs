//! The whole state of a control replica, for people who look into it.

use crate::{core::Control, entries::EntryDump};
use raft::Status;
use serde::Serialize;
use share::PoolRow;
use std::collections::BTreeMap;
use types::{Kind, Resource};

/// The state of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ControlDump {
    /// The log's view of this replica.
    pub log: Status,
    /// The last index that it applied.
    pub applied_index: u64,
    /// The revision of the latest change.
    pub revision: u64,
    /// The log's clock.
    pub clock_ms: u64,
    /// The index of the latest snapshot.
    pub snapshot_index: u64,
    /// How many answers are kept for resends.
    pub retained_answers: usize,
    /// How many requests wait for the log.
    pub pending_requests: usize,
    /// How many watches wait for a change.
    pub waiting_watches: usize,
    /// What the entries last said.
    pub entries: Vec<EntryDump>,
    /// The shares of capacities and links, on the leader.
    pub shares: Vec<PoolRow>,
    /// The declared resources, as far as they were applied here.
    pub resources: BTreeMap<Kind, Vec<Resource>>,
}

impl Control {
    /// The whole state; bounded by what is declared.
    #[must_use]
    pub fn dump(&self) -> ControlDump {
        let mut resources: BTreeMap<Kind, Vec<Resource>> = BTreeMap::new();
        for resource in self.state.resources(None) {
            resources
                .entry(resource.spec.kind())
                .or_default()
                .push(resource.clone());
        }
        ControlDump {
            log: self.raft.status(),
            applied_index: self.state.applied_index(),
            revision: self.state.revision(),
            clock_ms: self.state.clock_ms(),
            snapshot_index: self.snapshot_index,
            retained_answers: self.state.retained_answers(),
            pending_requests: self.pending.len(),
            waiting_watches: self.watches.len(),
            entries: self.entries.dump(self.now_us),
            shares: self.shares.rows(),
            resources,
        }
    }
}
