//! The diagnostic dump of a control replica.

use crate::{core::Control, entries::EntryDump, snapshots::LogSizes};
use raft::Status;
use serde::Serialize;
use share::{PoolRow, TenantRow};
use std::collections::BTreeMap;
use types::{Kind, Resource};

/// The state of a control replica, for diagnosis.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ControlDump {
    /// Role, term, leader, membership and indexes in the replicated log.
    pub log: Status,
    /// The index of the last log entry applied here.
    pub applied_index: u64,
    /// The index of the log entry that last changed a declared resource.
    pub revision: u64,
    /// The latest timestamp of an applied command, in milliseconds of the log's clock.
    pub clock_ms: u64,
    /// The index of the last log entry in the latest snapshot; 0 before the first.
    pub snapshot_index: u64,
    /// The sizes of that snapshot and of the log after it.
    pub sizes: LogSizes,
    /// The number of answers retained for resent requests.
    pub retained_answers: usize,
    /// The number of requests that wait for the log.
    pub pending_requests: usize,
    /// The number of open watches.
    pub waiting_watches: usize,
    /// The number of heartbeats ignored since the start because no plan names their service.
    pub unknown_service_heartbeats: u64,
    /// The number of heartbeats ignored since the start because they are late, or of a run that seems to
    /// be over or to start in the future.
    pub doubtful_heartbeats: u64,
    /// The number of notices to leave since the start whose instance was not recorded, as when its first
    /// heartbeat is late.
    pub unrecorded_leaves: u64,
    /// The number of gateways' polls not answered since the start because they had waited for too long.
    pub expired_gateway_polls: u64,
    /// The last poll that this replica received from each declared entry.
    pub entries: Vec<EntryDump>,
    /// The pools of capacities and links and their shares; empty unless this replica leads.
    pub shares: Vec<PoolRow>,
    /// The tenants with a quota, and their tokens; empty unless this replica leads.
    pub quotas: Vec<TenantRow>,
    /// The declared resources as of `applied_index`, by kind.
    pub resources: BTreeMap<Kind, Vec<Resource>>,
}

impl Control {
    /// The dump; its size is bounded by the number of declared resources.
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
            snapshot_index: self.snapshots.index,
            sizes: self.log_sizes(),
            retained_answers: self.state.retained_answers(),
            pending_requests: self.pending.len(),
            waiting_watches: self.watches.len(),
            unknown_service_heartbeats: self.heartbeats.unknown_service(),
            doubtful_heartbeats: self.heartbeats.doubtful(),
            unrecorded_leaves: self.heartbeats.unrecorded_leaves(),
            expired_gateway_polls: self.gateways.expired_polls(),
            entries: self.entries.dump(self.now_us),
            shares: self.shares.rows(),
            quotas: self.shares.quota_rows(),
            resources,
        }
    }
}
