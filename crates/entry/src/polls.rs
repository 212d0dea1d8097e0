//! Schedules the polls of the control replicas and tracks those in flight.

use crate::peers::Outstanding;
use std::collections::BTreeMap;
use types::{ReplicaName, TimeUs};

/// The polls of one replica.
#[derive(Debug)]
struct ReplicaPolls {
    outstanding: Outstanding,
    /// When the next poll is due.
    next_us: TimeUs,
}

/// The polls of every control replica.
///
/// The replicas are polled in turn, spread over the period. So a majority of the answers is younger
/// than the period as long as no answer is lost, and a lost answer shortens the lease only a
/// little.
#[derive(Debug)]
pub struct Polls {
    replicas: BTreeMap<ReplicaName, ReplicaPolls>,
}

impl Polls {
    /// A schedule by which every replica is due at once.
    pub fn new(replicas: &[ReplicaName], now_us: TimeUs) -> Self {
        let new_polls = |name: &ReplicaName| {
            let polls = ReplicaPolls {
                outstanding: Outstanding::default(),
                next_us: now_us,
            };
            (name.clone(), polls)
        };
        Self {
            replicas: replicas.iter().map(new_polls).collect(),
        }
    }

    /// Makes the poll of every replica due now.
    pub fn make_all_due(&mut self, now_us: TimeUs) {
        self.replicas
            .values_mut()
            .for_each(|polls| polls.next_us = now_us);
    }

    /// The replicas whose poll is due, ordered by name. Their next polls are spread over the next
    /// period.
    pub fn take_due(&mut self, now_us: TimeUs, period_ms: u64) -> Vec<ReplicaName> {
        let due = self
            .replicas
            .iter_mut()
            .filter(|(_, polls)| polls.next_us.reached(now_us));
        let mut due: Vec<(&ReplicaName, &mut ReplicaPolls)> = due.collect();
        let count = due.len() as u64;
        for (rank, (_, polls)) in due.iter_mut().enumerate() {
            polls.next_us = now_us.after_ms(period_ms * (rank as u64 + 1) / count);
        }
        due.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Records that a poll was sent.
    pub fn record_sent(&mut self, replica: &ReplicaName, serial: u64, now_us: TimeUs) {
        if let Some(polls) = self.replicas.get_mut(replica) {
            polls.outstanding.record_sent(serial, now_us);
        }
    }

    /// Matches an answer to its poll and returns when that was sent; `None` if it is not in flight.
    pub fn match_answer(&mut self, replica: &ReplicaName, serial: u64) -> Option<TimeUs> {
        self.replicas
            .get_mut(replica)?
            .outstanding
            .match_answer(serial)
    }
}
