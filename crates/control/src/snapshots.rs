//! Snapshots of the state: when one is due, taking it, and restoring one.

use crate::{
    api::{ControlError, Output},
    core::Control,
};
use raft::Snapshot;
use serde::Serialize;
use state::State;

/// The sizes of what a restart reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LogSizes {
    /// The size of the latest snapshot, 0 before the first.
    pub snapshot_bytes: usize,
    /// The size of the commands applied since, refused ones included.
    pub log_bytes: usize,
}

/// What was applied since the last snapshot, which a restart has to read besides it.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    /// The index of the last snapshot, 0 before the first.
    pub(crate) index: u64,
    /// The size of the last snapshot.
    snapshot_bytes: usize,
    /// The size of the commands that were applied since, refused ones included.
    log_bytes: usize,
}

impl Snapshots {
    /// Counts an entry's command.
    pub(crate) const fn record_applied(&mut self, command: &[u8]) {
        self.log_bytes += command.len();
    }

    const fn record_snapshot(&mut self, index: u64, snapshot_bytes: usize) {
        *self = Self {
            index,
            snapshot_bytes,
            log_bytes: 0,
        };
    }
}

impl Control {
    /// The sizes of the latest snapshot and of the log after it.
    #[must_use]
    pub const fn log_sizes(&self) -> LogSizes {
        LogSizes {
            snapshot_bytes: self.snapshots.snapshot_bytes,
            log_bytes: self.snapshots.log_bytes,
        }
    }

    /// Takes a snapshot if one is due: by the number of entries, since each takes time to apply
    /// again, or by their size, since the log takes memory and disk. The log may grow to the size of
    /// a large snapshot, so that writing snapshots costs no more than writing the log.
    pub(crate) fn take_due_snapshot(&mut self, outputs: &mut Vec<Output>) {
        let index = self.state.applied_index();
        let Snapshots {
            index: last_index,
            snapshot_bytes,
            log_bytes,
        } = self.snapshots;
        let has_many_entries = index >= last_index + self.config.snapshot_entries;
        let is_large = log_bytes >= self.config.snapshot_log_bytes.max(snapshot_bytes);
        if !has_many_entries && !is_large {
            return;
        }
        match self.state.encode() {
            Ok(data) => {
                self.snapshots.record_snapshot(index, data.len());
                self.step_raft(raft::Input::SnapshotTaken { index, data }, outputs);
            }
            Err(error) => self.fail(ControlError::snapshot(index, &error), outputs),
        }
    }

    /// Replaces the state by a snapshot: that of the data folder, or one that the leader sent.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot, outputs: &mut Vec<Output>) {
        match State::decode(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                return self.fail(ControlError::snapshot(snapshot.index, &error), outputs);
            }
        }
        self.state.skip(snapshot.index);
        self.snapshots
            .record_snapshot(snapshot.index, snapshot.data.len());
        self.clock.record_applied(self.now_us);
        self.entries
            .record_applied_revision(&self.state, self.now_us);
        for (request, wait) in self.pending.take_applied(snapshot.index) {
            self.answer_from_state(request, wait, outputs);
        }
    }
}
