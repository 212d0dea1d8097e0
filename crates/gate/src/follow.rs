//! When each control replica is asked for changes.

use std::collections::BTreeMap;
use types::TimeUs;

/// The period of questions before a replica names another, in milliseconds.
const INTERVAL_MS: u64 = 400;

/// The period of questions before a plan has come, in milliseconds.
const FIRST_INTERVAL_MS: u64 = 100;

/// A replica that no answer names as a member is asked for so long, in milliseconds.
const FORGET_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Replica {
    ask_us: TimeUs,
    /// When it is forgotten unless it is named again; seeds never are.
    forget_us: Option<TimeUs>,
}

/// The replicas that a gateway follows, asked in turn.
#[derive(Debug)]
pub(crate) struct Followed {
    replicas: BTreeMap<String, Replica>,
    interval_ms: u64,
}

impl Followed {
    pub(crate) fn new(seeds: &[String], now_us: TimeUs) -> Self {
        let mut followed = Self {
            replicas: BTreeMap::new(),
            interval_ms: INTERVAL_MS,
        };
        followed.reseed(seeds, now_us);
        followed
    }

    /// Takes over other seeds.
    pub(crate) fn reseed(&mut self, seeds: &[String], now_us: TimeUs) {
        for replica in self.replicas.values_mut() {
            replica.forget_us = replica.forget_us.or(Some(now_us.after_ms(FORGET_MS)));
        }
        for seed in seeds {
            let ask_us = self.replicas.get(seed).map_or(now_us, |it| it.ask_us);
            let forget_us = None;
            self.replicas
                .insert(seed.clone(), Replica { ask_us, forget_us });
        }
    }

    /// Notes the members that a replica named, and how often it wants to be asked.
    pub(crate) fn note(&mut self, members: &[String], interval_ms: u64, now_us: TimeUs) {
        self.interval_ms = interval_ms.max(1);
        let forget_us = now_us.after_ms(FORGET_MS);
        for member in members {
            let replica = self.replicas.entry(member.clone()).or_insert(Replica {
                ask_us: now_us,
                forget_us: Some(forget_us),
            });
            if replica.forget_us.is_some() {
                replica.forget_us = Some(forget_us);
            }
        }
        self.replicas
            .retain(|_, it| it.forget_us.is_none_or(|at| !at.reached(now_us)));
    }

    /// The replicas that are due; those due together are spread over the next period, which is short
    /// while the gateway has no plan.
    pub(crate) fn due(&mut self, has_plan: bool, now_us: TimeUs) -> Vec<String> {
        let interval_ms = match has_plan {
            true => self.interval_ms,
            false => FIRST_INTERVAL_MS,
        };
        let due = self
            .replicas
            .iter_mut()
            .filter(|(_, replica)| replica.ask_us.reached(now_us));
        let mut due: Vec<(&String, &mut Replica)> = due.collect();
        let count = due.len() as u64;
        for (rank, (_, replica)) in due.iter_mut().enumerate() {
            let part_ms = interval_ms * (rank as u64 + 1) / count;
            replica.ask_us = now_us.after_ms(part_ms);
        }
        due.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Lets every replica be asked at once.
    pub(crate) fn ask_all(&mut self, now_us: TimeUs) {
        self.replicas
            .values_mut()
            .for_each(|replica| replica.ask_us = now_us);
    }

    /// The names of the followed replicas.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.replicas.keys().map(String::as_str)
    }
}
