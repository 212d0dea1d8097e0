//! How long a gateway may rely on the keys that it knows.

use std::collections::VecDeque;
use types::TimeUs;

/// The part of the revocation time for which the lease lasts, in percent. The rest allows for clock
/// rates, and for the time from the check of a key to the send to an upstream.
const LEASE_PERCENT: u64 = 80;

/// The most polls, and the most answers, that are remembered. A gateway that polls seven replicas
/// every 100 ms sends 280 polls in a lease of 4 s.
const REMEMBERED_MAX: usize = 512;

/// A poll that may be answered yet.
#[derive(Clone, Copy, Debug)]
struct SentPoll {
    number: u64,
    /// When a lease ends that this poll extends.
    lease_until_us: TimeUs,
}

/// An answer of a replica that certainly led, with changes that are not applied yet.
#[derive(Clone, Copy, Debug)]
struct UnappliedAnswer {
    /// The log index of the latest change that the replica had applied.
    newest: u64,
    /// When the lease ends that it gives once that change is applied here.
    lease_until_us: TimeUs,
}

/// The lease on the keys that a gateway knows, when revocation is strict. All times are those of a clock
/// that counts the time in which the machine was suspended.
///
/// Each poll has a number, which its answer repeats. So an answer extends the lease from the time at
/// which its own poll was sent, also after earlier answers were lost or when it comes late.
#[derive(Debug)]
pub(crate) struct KeyLease {
    /// How long after a poll the lease ends that its answer extends; none without strict revocation.
    length_us: Option<u64>,
    until_us: TimeUs,
    last_number: u64,
    /// By ascending number.
    sent: VecDeque<SentPoll>,
    unapplied: VecDeque<UnappliedAnswer>,
}

impl KeyLease {
    /// A lease that has not begun; `revoke_ms` is the time in which a withdrawn key must stop working,
    /// if there is one.
    pub(crate) fn new(revoke_ms: Option<u64>) -> Self {
        // LEASE_PERCENT of a millisecond is that many times 10 µs.
        let length_us = revoke_ms.map(|ms| ms.saturating_mul(LEASE_PERCENT * 10));
        Self {
            length_us,
            until_us: TimeUs::default(),
            last_number: 0,
            sent: VecDeque::new(),
            unapplied: VecDeque::new(),
        }
    }

    /// Records that a poll is about to be sent; returns its number, which is above 0.
    pub(crate) fn record_poll(&mut self, now_us: TimeUs) -> u64 {
        self.last_number += 1;
        if let Some(length_us) = self.length_us {
            self.sent.retain(|it| !it.lease_until_us.reached(now_us));
            self.unapplied
                .retain(|it| !it.lease_until_us.reached(now_us));
            push_bounded(
                &mut self.sent,
                SentPoll {
                    number: self.last_number,
                    lease_until_us: now_us.after_us(length_us),
                },
            );
        }
        self.last_number
    }

    /// Records the answer of a replica that certainly led: whatever was confirmed before the poll of
    /// this number was sent is part of the changes up to `newest`. An unknown number changes nothing.
    pub(crate) fn record_certain_answer(&mut self, number: u64, newest: u64) {
        let Some(index) = self.sent.iter().position(|it| it.number == number) else {
            return;
        };
        let Some(poll) = self.sent.remove(index) else {
            return;
        };
        push_bounded(
            &mut self.unapplied,
            UnappliedAnswer {
                newest,
                lease_until_us: poll.lease_until_us,
            },
        );
    }

    /// Extends the lease by the answers all of whose changes are applied at this revision.
    pub(crate) fn record_revision(&mut self, revision: u64) {
        let applied = self.unapplied.iter().filter(|it| it.newest <= revision);
        let latest_us = applied.map(|it| it.lease_until_us).max();
        self.until_us = latest_us.map_or(self.until_us, |it| it.max(self.until_us));
        self.unapplied.retain(|it| it.newest > revision);
    }

    /// Whether the keys may be outdated. Never without strict revocation.
    pub(crate) const fn is_over(&self, now_us: TimeUs) -> bool {
        self.length_us.is_some() && self.until_us.reached(now_us)
    }
}

/// Adds an item, in place of the oldest one when there are [`REMEMBERED_MAX`].
fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= REMEMBERED_MAX {
        queue.pop_front();
    }
    queue.push_back(item);
}
