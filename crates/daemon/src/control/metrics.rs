//! Prometheus metrics of a control replica.

use control::LogSizes;
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use raft::{Role, Status};

/// Metrics of a control replica; the prefix of their names is `oleanderwell_control`.
#[derive(Debug, Default)]
pub struct ControlMetrics {
    /// Requests submitted to the core: of operators, instances and clients.
    pub requests: Counter,
    /// Polls of entries and gateways.
    pub polls: Counter,
    /// Answers to gateways with large changes.
    pub large_answers: Counter,
    /// Those of them that were encoded; the others repeated an earlier one.
    pub encoded_large_answers: Counter,
    /// Writes queued for the data folder.
    pub persists: Counter,
    /// Link frames that could not be decoded or are not meant for a control replica.
    pub malformed_frames: Counter,
    leads: Gauge,
    term: Gauge,
    commit_index: Gauge,
    voters: Gauge,
    snapshot_bytes: Gauge,
    log_bytes: Gauge,
}

impl ControlMetrics {
    /// Creates the metrics, all zero, and registers them in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "requests",
            "Requests of operators",
            metrics.requests.clone(),
        );
        registry.register("polls", "Polls of entries", metrics.polls.clone());
        registry.register(
            "large_answers",
            "Answers to gateways with large changes",
            metrics.large_answers.clone(),
        );
        registry.register(
            "encoded_large_answers",
            "Answers with large changes that no earlier one served",
            metrics.encoded_large_answers.clone(),
        );
        registry.register(
            "persists",
            "Writes to the data folder",
            metrics.persists.clone(),
        );
        let malformed = metrics.malformed_frames.clone();
        registry.register(
            "malformed_frames",
            "Frames that break their rules",
            malformed,
        );
        registry.register("leads", "1 while this replica leads", metrics.leads.clone());
        registry.register("term", "Term of the replicated log", metrics.term.clone());
        let commit = metrics.commit_index.clone();
        registry.register("commit_index", "Last index known to be committed", commit);
        registry.register("voters", "Voters of the group", metrics.voters.clone());
        registry.register(
            "snapshot_bytes",
            "Size of the latest snapshot",
            metrics.snapshot_bytes.clone(),
        );
        registry.register(
            "log_bytes",
            "Size of the commands applied since the latest snapshot",
            metrics.log_bytes.clone(),
        );
        metrics
    }

    /// Sets the gauges from the replica's state.
    pub fn record_status(&self, status: &Status, sizes: LogSizes) {
        self.leads.set(i64::from(status.role == Role::Leader));
        self.term
            .set(i64::try_from(status.term).unwrap_or(i64::MAX));
        self.commit_index
            .set(i64::try_from(status.commit_index).unwrap_or(i64::MAX));
        self.voters.set(gauge(status.membership.voters.len()));
        self.snapshot_bytes.set(gauge(sizes.snapshot_bytes));
        self.log_bytes.set(gauge(sizes.log_bytes));
    }
}

fn gauge(value: usize) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
