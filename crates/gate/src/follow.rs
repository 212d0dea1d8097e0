//! When each control replica is asked for changes.

use std::collections::BTreeMap;
use types::TimeUs;

/// The period of questions before a replica names another, in milliseconds.
const INTERVAL_MS: u64 = 400;

/// The period of questions before a plan has come, in milliseconds.
const FIRST_INTERVAL_MS: u64 = 100;

/// A replica that does not answer with large changes for so long is given up for another, in
/// milliseconds; a plan of a few hundred kilobytes takes half of it over a link of 5 Mbit/s.
const FETCH_MS: u64 = 1_000;

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
    /// The replica that is asked for large changes, and until when its answer is waited for.
    fetch: Option<(String, TimeUs)>,
}

impl Followed {
    pub(crate) fn new(seeds: &[String], now_us: TimeUs) -> Self {
        let mut followed = Self {
            replicas: BTreeMap::new(),
            interval_ms: INTERVAL_MS,
            fetch: None,
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

    /// Asks one replica for large changes at once, unless another is being asked.
    pub(crate) fn fetch(&mut self, replica: &str, now_us: TimeUs) {
        let is_waiting = |(_, until_us): &(String, TimeUs)| !until_us.reached(now_us);
        if self.fetch.as_ref().is_some_and(is_waiting) {
            return;
        }
        if let Some(asked) = self.replicas.get_mut(replica) {
            asked.ask_us = now_us;
            self.fetch = Some((replica.to_owned(), now_us.after_ms(FETCH_MS)));
        }
    }

    /// Notes that large changes have come.
    pub(crate) fn fetched(&mut self) {
        self.fetch = None;
    }

    /// Whether a replica is the one to ask for large changes.
    pub(crate) fn is_fetching_from(&self, replica: &str) -> bool {
        self.fetch.as_ref().is_some_and(|(name, _)| name == replica)
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
