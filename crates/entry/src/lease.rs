//! The configuration lease: the right to accept requests under the configuration that the entry
//! runs.
//!
//! A change counts as accepted once a majority of the voters has it in its log. The entry polls
//! every replica. An answer confirms the configuration that the entry runs if the replica's log
//! doesn't go beyond that configuration's index. Once a majority confirmed it in answers to polls
//! sent at or after a time T, the entry has every change that was accepted before T, whichever
//! replica leads, and also while none does. The lease runs for [`CONFIG_LEASE_MS`] from T.

use std::collections::BTreeMap;
use types::{CONFIG_LEASE_MS, ReplicaName, TimeUs};

/// What a replica reported in its answer to the latest poll that it answered.
#[derive(Clone, Copy, Debug)]
struct ReplicaStatus {
    sent_us: TimeUs,
    last_index: u64,
    membership_index: u64,
    voters: u32,
    is_voter: bool,
}

/// Tracks the answers of the replicas and until when the lease is held.
#[derive(Debug, Default)]
pub struct Lease {
    statuses: BTreeMap<ReplicaName, ReplicaStatus>,
    until_us: TimeUs,
}

impl Lease {
    /// A lease that is not held.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the entry may accept requests at `now_us`.
    #[must_use]
    pub const fn is_held(&self, now_us: TimeUs) -> bool {
        !self.until_us.reached(now_us)
    }

    /// When the lease expires; in the past if it was never held.
    #[must_use]
    pub const fn until_us(&self) -> TimeUs {
        self.until_us
    }

    /// Records a replica's answer to a poll sent at `sent_us`, unless a later poll was answered.
    pub fn record(
        &mut self,
        replica: &ReplicaName,
        sent_us: TimeUs,
        answer: &crate::ReplicaAnswer,
    ) {
        let status = ReplicaStatus {
            sent_us,
            last_index: answer.last_index,
            membership_index: answer.membership_index,
            voters: answer.voters,
            is_voter: answer.is_voter,
        };
        let latest = self.statuses.entry(replica.clone()).or_insert(status);
        if latest.sent_us <= sent_us {
            *latest = status;
        }
    }

    /// Extends the lease as far as the answers confirm the configuration at `applied_index`.
    pub fn renew(&mut self, applied_index: u64) {
        let Some(confirmed_us) = self.confirmed_us(applied_index) else {
            return;
        };
        self.until_us = self.until_us.max(confirmed_us.after_ms(CONFIG_LEASE_MS));
    }

    /// The latest time T such that a majority of the newest known membership confirmed
    /// `applied_index` in answers to polls sent at or after T.
    fn confirmed_us(&self, applied_index: u64) -> Option<TimeUs> {
        // A replica that lost its disk knows no membership until it is admitted again.
        let newest = self
            .statuses
            .values()
            .filter(|status| status.voters > 0)
            .max_by_key(|status| status.membership_index)?;
        let quorum = usize::try_from(newest.voters / 2 + 1).ok()?;
        let mut sent_times: Vec<TimeUs> = self
            .statuses
            .values()
            .filter(|status| status.is_voter && status.last_index <= applied_index)
            .filter(|status| status.membership_index == newest.membership_index)
            .map(|status| status.sent_us)
            .collect();
        sent_times.sort_unstable_by(|a, b| b.cmp(a));
        sent_times.get(quorum - 1).copied()
    }
}
