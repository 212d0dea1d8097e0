//! The entry's side of shared pools: the grants it applied, and its requests for new ones.

use crate::{
    LEASE_MS,
    pool::{Grant, GrantId, Pool, Want},
};
use serde::Serialize;
use std::collections::BTreeMap;
use types::TimeUs;

/// The latest grant of a pool that the entry applied.
#[derive(Clone, Copy, Debug, Default)]
struct AppliedGrant {
    id: GrantId,
    amount: u64,
    until_us: TimeUs,
}

/// The shares that one incarnation of an entry holds.
#[derive(Debug, Default)]
pub struct Holder {
    /// [`Want::serial`] of the latest want of any pool.
    last_want_serial: u64,
    held: BTreeMap<Pool, AppliedGrant>,
}

impl Holder {
    /// A holder without any share.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The next want of a pool. `in_use` is the work in flight and `demand` what the entry would
    /// use if nothing limited it, both in the pool's unit.
    pub fn want(&mut self, now_us: TimeUs, pool: &Pool, in_use: u64, demand: u64) -> Want {
        self.last_want_serial += 1;
        let held = self.held.get(pool).copied().unwrap_or_default();
        let usable = if held.until_us.reached(now_us) {
            0
        } else {
            held.amount
        };
        Want {
            pool: pool.clone(),
            serial: self.last_want_serial,
            applied: held.id,
            held: usable.max(in_use),
            demand,
        }
    }

    /// Applies a grant that answers the want sent at `sent_us`. Returns false when it is ignored:
    /// its lease has run out, or the same or a later grant was applied before.
    pub fn apply(&mut self, now_us: TimeUs, sent_us: TimeUs, grant: &Grant) -> bool {
        let until_us = sent_us.after_ms(LEASE_MS);
        let held = self.held.entry(grant.pool.clone()).or_default();
        if grant.id <= held.id || until_us.reached(now_us) {
            return false;
        }
        let usable = if held.until_us.reached(now_us) {
            0
        } else {
            held.amount
        };
        let amount = if grant.confirms {
            grant.amount.min(usable)
        } else {
            grant.amount
        };
        *held = AppliedGrant {
            id: grant.id,
            amount,
            until_us,
        };
        true
    }

    /// What may be used of a pool, in its unit, and until when. The time may have passed. The
    /// amount is zero when nothing was granted.
    #[must_use]
    pub fn usable(&self, pool: &Pool) -> (u64, TimeUs) {
        self.held
            .get(pool)
            .map_or((0, TimeUs::default()), |held| (held.amount, held.until_us))
    }

    /// The pools of which some may be used now, for the process dump.
    pub fn rows(&self, now_us: TimeUs) -> impl Iterator<Item = HeldRow<'_>> {
        let usable = move |held: &AppliedGrant| held.amount > 0 && !held.until_us.reached(now_us);
        self.held
            .iter()
            .filter(move |(_, held)| usable(held))
            .map(move |(pool, held)| HeldRow {
                pool,
                amount: held.amount,
                left_ms: held.until_us.since_us(now_us) / 1_000,
            })
    }
}

/// One pool in an entry's process dump: `amount` in the pool's unit may be used for `left_ms` more.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldRow<'a> {
    pool: &'a Pool,
    amount: u64,
    left_ms: u64,
}
