//! When each control replica is asked, and the questions under way.

use crate::peers::Outstanding;
use std::collections::BTreeMap;
use types::{ReplicaName, TimeUs};

#[derive(Debug)]
struct ReplicaPolls {
    outstanding: Outstanding,
    next_us: TimeUs,
}

/// The polls of every control replica.
///
/// The replicas are asked in turn, spread over the period, so that a majority of the answers is
/// always younger than the period and a lost one costs little of the lease.
#[derive(Debug)]
pub struct Polls {
    replicas: BTreeMap<ReplicaName, ReplicaPolls>,
}

impl Polls {
    /// Polls that are due at once.
    pub fn new(replicas: &[ReplicaName], now_us: TimeUs) -> Self {
        let due = |name: &ReplicaName| {
            let polls = ReplicaPolls {
                outstanding: Outstanding::default(),
                next_us: now_us,
            };
            (name.clone(), polls)
        };
        Self {
            replicas: replicas.iter().map(due).collect(),
        }
    }

    /// Lets every replica be asked now.
    pub fn ask_all(&mut self, now_us: TimeUs) {
        self.replicas
            .values_mut()
            .for_each(|polls| polls.next_us = now_us);
    }

    /// The replicas that are due; those due together are spread over the next period.
    pub fn due(&mut self, now_us: TimeUs, period_ms: u64) -> Vec<ReplicaName> {
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

    /// Notes a question.
    pub fn ask(&mut self, replica: &ReplicaName, serial: u64, now_us: TimeUs) {
        if let Some(polls) = self.replicas.get_mut(replica) {
            polls.outstanding.ask(serial, now_us);
        }
    }

    /// When the question was asked that this answers.
    pub fn answered(&mut self, replica: &ReplicaName, serial: u64) -> Option<TimeUs> {
        self.replicas.get_mut(replica)?.outstanding.answered(serial)
    }
}
