//! The schedule by which a gateway polls the control replicas for changes.
//!
//! Every replica is polled once per interval, but only one at a time is asked for large changes:
//! those that a replica holds back unless the poll asks for them.

use std::collections::BTreeMap;
use types::TimeUs;

/// The poll interval until a replica sets another one, in milliseconds.
const POLL_INTERVAL_MS: u64 = 400;

/// The poll interval until the first plan arrives, in milliseconds.
const NO_PLAN_INTERVAL_MS: u64 = 100;

/// How long one replica may take to send large changes before another one may be asked, in
/// milliseconds, beside the time for the bytes. Answers of two replicas at the same time would each
/// take twice as long.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// How many changes a slow link carries in a millisecond. A changed route or instance takes up to a
/// hundred bytes deflated, a link of 5 Mbit/s that is half in use carries some 300 in that time.
const CHANGES_PER_MS: u64 = 3;

/// How long a replica is still polled after the last answer that named it as a member, in
/// milliseconds. Seeds are always polled.
const REPLICA_EXPIRY_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Replica {
    next_poll_us: TimeUs,
    /// When it is dropped, unless an answer names it again before; none for seeds.
    expires_us: Option<TimeUs>,
}

/// The control replicas that a gateway polls, and when each is due.
#[derive(Debug)]
pub(crate) struct PollSchedule {
    replicas: BTreeMap<String, Replica>,
    interval_ms: u64,
    /// The replica that is asked for large changes, and until when no other may be asked.
    fetch: Option<(String, TimeUs)>,
}

impl PollSchedule {
    pub(crate) fn new(seeds: &[String], now_us: TimeUs) -> Self {
        let mut schedule = Self {
            replicas: BTreeMap::new(),
            interval_ms: POLL_INTERVAL_MS,
            fetch: None,
        };
        schedule.set_seeds(seeds, now_us);
        schedule
    }

    /// Replaces the seeds. Former seeds expire unless an answer names them as members.
    pub(crate) fn set_seeds(&mut self, seeds: &[String], now_us: TimeUs) {
        for replica in self.replicas.values_mut() {
            replica.expires_us = replica
                .expires_us
                .or(Some(now_us.after_ms(REPLICA_EXPIRY_MS)));
        }
        for seed in seeds {
            let next_poll_us = self.replicas.get(seed).map_or(now_us, |it| it.next_poll_us);
            let expires_us = None;
            self.replicas.insert(
                seed.clone(),
                Replica {
                    next_poll_us,
                    expires_us,
                },
            );
        }
    }

    /// Records the members and the poll interval that a replica's answer named, and drops expired
    /// replicas.
    pub(crate) fn record_members(&mut self, members: &[String], interval_ms: u64, now_us: TimeUs) {
        self.interval_ms = interval_ms.max(1);
        let expires_us = now_us.after_ms(REPLICA_EXPIRY_MS);
        for member in members {
            let replica = self.replicas.entry(member.clone()).or_insert(Replica {
                next_poll_us: now_us,
                expires_us: Some(expires_us),
            });
            if replica.expires_us.is_some() {
                replica.expires_us = Some(expires_us);
            }
        }
        self.replicas
            .retain(|_, it| it.expires_us.is_none_or(|at| !at.reached(now_us)));
    }

    /// Returns the replicas to poll now and schedules their next polls. Replicas that are due
    /// together are spread evenly over the next interval, which is short while the gateway has no
    /// plan.
    pub(crate) fn due(&mut self, has_plan: bool, now_us: TimeUs) -> Vec<String> {
        let interval_ms = match has_plan {
            true => self.interval_ms,
            false => NO_PLAN_INTERVAL_MS,
        };
        let due = self
            .replicas
            .iter_mut()
            .filter(|(_, replica)| replica.next_poll_us.reached(now_us));
        let mut due: Vec<(&String, &mut Replica)> = due.collect();
        let count = due.len() as u64;
        for (rank, (_, replica)) in due.iter_mut().enumerate() {
            let delay_ms = interval_ms * (rank as u64 + 1) / count;
            replica.next_poll_us = now_us.after_ms(delay_ms);
        }
        due.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Makes a replica due now and asks it for large changes, of about `count` routes and instances,
    /// unless another one is still being asked. Returns the replica that was asked before and did not send them in time.
    pub(crate) fn start_fetch(
        &mut self,
        replica: &str,
        count: usize,
        now_us: TimeUs,
    ) -> Option<String> {
        let is_waiting = |(_, until_us): &(String, TimeUs)| !until_us.reached(now_us);
        if self.fetch.as_ref().is_some_and(is_waiting) {
            return None;
        }
        let target = self.replicas.get_mut(replica)?;
        target.next_poll_us = now_us;
        let timeout_ms = FETCH_TIMEOUT_MS + count as u64 / CHANGES_PER_MS;
        let fetch = (replica.to_owned(), now_us.after_ms(timeout_ms));
        self.fetch.replace(fetch).map(|(late, _)| late)
    }

    /// Records that newer changes have arrived, so that no replica is asked for large ones.
    pub(crate) fn finish_fetch(&mut self) {
        self.fetch = None;
    }

    /// Whether this replica is the one that is asked for large changes.
    pub(crate) fn is_fetching_from(&self, replica: &str) -> bool {
        self.fetch.as_ref().is_some_and(|(name, _)| name == replica)
    }

    /// Makes every replica due now.
    pub(crate) fn poll_all_now(&mut self, now_us: TimeUs) {
        self.replicas
            .values_mut()
            .for_each(|replica| replica.next_poll_us = now_us);
    }

    /// The names of the polled replicas.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.replicas.keys().map(String::as_str)
    }
}
