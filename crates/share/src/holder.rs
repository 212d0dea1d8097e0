//! The entry's side: what it may use until when.

use crate::{
    LEASE_MS,
    pool::{Grant, GrantId, Pool, Want},
};
use serde::Serialize;
use std::collections::BTreeMap;
use types::TimeUs;

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    id: GrantId,
    amount: u64,
    until_us: TimeUs,
}

/// What an entry holds of each pool.
#[derive(Debug, Default)]
pub struct Holder {
    asked: u64,
    held: BTreeMap<Pool, Held>,
}

impl Holder {
    /// Holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What to ask of a pool, given the work in flight and the demand.
    pub fn want(&mut self, now_us: TimeUs, pool: &Pool, in_use: u64, demand: u64) -> Want {
        self.asked += 1;
        let held = self.held.get(pool).copied().unwrap_or_default();
        let usable = if held.until_us.reached(now_us) {
            0
        } else {
            held.amount
        };
        Want {
            pool: pool.clone(),
            asked: self.asked,
            applied: held.id,
            held: usable.max(in_use),
            demand,
        }
    }

    /// Takes a grant that answers a question asked at `asked_us`; returns whether it is in use.
    pub fn apply(&mut self, now_us: TimeUs, asked_us: TimeUs, grant: &Grant) -> bool {
        let until_us = asked_us.after_ms(LEASE_MS);
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
        *held = Held {
            id: grant.id,
            amount,
            until_us,
        };
        true
    }

    /// What may be used of a pool, and until when; zero when nothing is granted.
    #[must_use]
    pub fn usable(&self, pool: &Pool) -> (u64, TimeUs) {
        self.held
            .get(pool)
            .map_or((0, TimeUs::default()), |held| (held.amount, held.until_us))
    }

    /// What may be used now, for the process dump.
    pub fn rows(&self, now_us: TimeUs) -> impl Iterator<Item = HeldRow<'_>> {
        let usable = move |held: &Held| held.amount > 0 && !held.until_us.reached(now_us);
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

/// What an entry may use of a pool, as the process dump shows it.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldRow<'a> {
    pool: &'a Pool,
    amount: u64,
    left_ms: u64,
}
