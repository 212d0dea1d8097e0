//! The right to take work under the configuration that the entry runs.
//!
//! A change counts as accepted once a majority of the voters has it in its log. The entry polls
//! every replica; an answer supports the configuration that the entry runs when the end of the
//! replica's log is not beyond it. Once a majority supports it with answers to polls sent at or
//! after some time, no change accepted before that time is missing here, whoever leads, and also
//! while nobody leads. The lease runs from that time.

use std::collections::BTreeMap;
use types::{CONFIG_LEASE_MS, ReplicaName, TimeUs};

/// What a replica's latest answer says.
#[derive(Clone, Copy, Debug)]
struct Support {
    asked_us: TimeUs,
    last_index: u64,
    membership_index: u64,
    voters: u32,
    votes: bool,
}

/// The configuration lease.
#[derive(Debug, Default)]
pub struct Lease {
    supports: BTreeMap<ReplicaName, Support>,
    until_us: TimeUs,
}

impl Lease {
    /// A lease that is not held.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the entry may take work at `now_us`.
    #[must_use]
    pub const fn is_held(&self, now_us: TimeUs) -> bool {
        !self.until_us.reached(now_us)
    }

    /// When the lease runs out.
    #[must_use]
    pub const fn until_us(&self) -> TimeUs {
        self.until_us
    }

    /// Notes a replica's answer to a poll sent at `asked_us`.
    pub fn record(
        &mut self,
        replica: &ReplicaName,
        asked_us: TimeUs,
        answer: &crate::ReplicaAnswer,
    ) {
        let support = Support {
            asked_us,
            last_index: answer.last_index,
            membership_index: answer.membership_index,
            voters: answer.voters,
            votes: answer.votes,
        };
        let latest = self.supports.entry(replica.clone()).or_insert(support);
        if latest.asked_us <= asked_us {
            *latest = support;
        }
    }

    /// Extends the lease as far as the answers support a configuration up to `applied_index`.
    pub fn renew(&mut self, applied_index: u64) {
        let Some(confirmed_us) = self.confirmed_us(applied_index) else {
            return;
        };
        self.until_us = self.until_us.max(confirmed_us.after_ms(CONFIG_LEASE_MS));
    }

    /// The latest time such that a majority of the newest known membership answered later polls
    /// and supports `applied_index`.
    fn confirmed_us(&self, applied_index: u64) -> Option<TimeUs> {
        // A replica that lost its disk knows no membership before it is admitted.
        let newest = self
            .supports
            .values()
            .filter(|support| support.voters > 0)
            .max_by_key(|support| support.membership_index)?;
        let quorum = usize::try_from(newest.voters / 2 + 1).ok()?;
        let mut asked: Vec<TimeUs> = self
            .supports
            .values()
            .filter(|support| support.votes && support.last_index <= applied_index)
            .filter(|support| support.membership_index == newest.membership_index)
            .map(|support| support.asked_us)
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked.get(quorum - 1).copied()
    }
}
