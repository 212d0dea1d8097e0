//! The leader's side: who may use how much.

use crate::{
    counted_ms,
    fair::{Claim, fair_shares},
    pool::{Grant, GrantId, HolderId, Pool, Want},
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use types::TimeUs;

/// An amount that a holder may be using.
#[derive(Clone, Copy, Debug)]
struct Counted {
    id: GrantId,
    amount: u64,
    until_us: TimeUs,
}

/// One holder's part in a pool.
#[derive(Debug, Default)]
struct Party {
    asked: u64,
    /// Whether it has applied a grant of this leader, so that it ignores those of earlier ones.
    joined: bool,
    near: bool,
    demand: u64,
    held: u64,
    held_until_us: TimeUs,
    grants: Vec<Counted>,
}

impl Party {
    /// The most that the holder may be using.
    fn counted(&self) -> u64 {
        let granted = self
            .grants
            .iter()
            .map(|grant| grant.amount)
            .max()
            .unwrap_or(0);
        granted.max(self.held)
    }

    fn hear(&mut self, want: &Want, term: u64, counted_until_us: TimeUs) {
        self.joined |= want.applied.term == term;
        self.asked = want.asked;
        self.demand = want.demand;
        self.held = want.held;
        self.held_until_us = counted_until_us;
        self.grants.retain(|grant| grant.id >= want.applied);
    }

    fn expire(&mut self, now_us: TimeUs) {
        self.grants.retain(|grant| !grant.until_us.reached(now_us));
        if self.held_until_us.reached(now_us) {
            self.held = 0;
        }
    }

    fn row(&self, holder: &HolderId) -> HolderRow {
        HolderRow {
            holder: holder.clone(),
            counted: self.counted(),
            demand: self.demand,
        }
    }

    fn is_gone(&self, now_us: TimeUs) -> bool {
        self.grants.is_empty() && self.held_until_us.reached(now_us)
    }
}

#[derive(Debug, Default)]
struct PoolState {
    limit: u64,
    /// Whether no earlier leader can have granted anything of it.
    is_new: bool,
    /// What holders held when they began to follow this leader. No earlier leader's grant can add
    /// to what they use, so that whatever one of them gives back another may have.
    inherited: u64,
    parties: BTreeMap<HolderId, Party>,
}

impl PoolState {
    fn counted(&self) -> u64 {
        self.parties.values().map(Party::counted).sum()
    }

    fn expire(&mut self, now_us: TimeUs) {
        self.parties
            .values_mut()
            .for_each(|party| party.expire(now_us));
        self.parties.retain(|_, party| !party.is_gone(now_us));
    }

    /// What `holder` should have of `limit`, by the demand of every holder that shares it.
    fn entitlement(&self, holder: &HolderId, limit: u64, only_joined: bool) -> u64 {
        let sharing = || {
            self.parties
                .iter()
                .filter(|(_, party)| party.joined || !only_joined)
        };
        let claims: Vec<Claim> = sharing()
            .map(|(_, party)| Claim {
                demand: party.demand,
                near: party.near,
            })
            .collect();
        let shares = fair_shares(limit, &claims);
        let rank = sharing().position(|(id, _)| id == holder);
        rank.and_then(|rank| shares.get(rank).copied()).unwrap_or(0)
    }
}

/// One pool as the process dump shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PoolRow {
    /// The pool.
    pub pool: Pool,
    /// The operators' figure.
    pub limit: u64,
    /// The sum of what holders may be using.
    pub counted: u64,
    /// The holders.
    pub holders: Vec<HolderRow>,
}

/// One holder of a pool as the process dump shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderRow {
    /// The holder.
    pub holder: HolderId,
    /// What it may be using.
    pub counted: u64,
    /// What it would use.
    pub demand: u64,
}

/// Divides the operators' figures among entries, for one term of leadership.
#[derive(Debug)]
pub struct Allocator {
    term: u64,
    serial: u64,
    began_us: TimeUs,
    longest_deadline_ms: u64,
    pools: BTreeMap<Pool, PoolState>,
}

impl Allocator {
    /// The allocator of a leader whose `term` began at `now_us`.
    ///
    /// Until every grant of earlier leaders is void it only confirms what holders report to hold.
    #[must_use]
    pub fn new(term: u64, now_us: TimeUs, longest_deadline_ms: u64) -> Self {
        Self {
            term,
            serial: 0,
            began_us: now_us,
            longest_deadline_ms,
            pools: BTreeMap::new(),
        }
    }

    /// Notes the longest deadline of any declared service; a shorter one than before changes
    /// nothing, since work may be in flight under the longer one.
    pub fn set_longest_deadline_ms(&mut self, longest_deadline_ms: u64) {
        self.longest_deadline_ms = self.longest_deadline_ms.max(longest_deadline_ms);
    }

    /// Sets the operators' figure of a pool. Grants beyond a lowered figure run out by themselves.
    pub fn set_limit(&mut self, pool: &Pool, limit: u64) {
        self.pools.entry(pool.clone()).or_default().limit = limit;
    }

    /// Sets the figure of a pool that was first declared under this leadership, so that nobody can
    /// hold a grant of it from an earlier leader.
    pub fn set_first_limit(&mut self, pool: &Pool, limit: u64) {
        let first = PoolState {
            limit,
            is_new: true,
            ..PoolState::default()
        };
        self.pools.entry(pool.clone()).or_insert(first).limit = limit;
    }

    /// Grants nothing more of pools that are not among these.
    pub fn keep_only(&mut self, declared: &BTreeSet<Pool>) {
        for (pool, state) in &mut self.pools {
            if !declared.contains(pool) {
                state.limit = 0;
            }
        }
    }

    /// Answers one want of a holder, unless its pool is unknown or a later want has overtaken it.
    /// `near` tells whether the holder stands where the pool's limit holds.
    pub fn ask(
        &mut self,
        now_us: TimeUs,
        holder: &HolderId,
        near: bool,
        want: &Want,
    ) -> Option<Grant> {
        let counted_until_us = now_us.after_ms(counted_ms(self.longest_deadline_ms));
        let inherits_until_us = self.began_us.after_ms(counted_ms(self.longest_deadline_ms));
        let id = self.next_id();
        let state = self.pools.get_mut(&want.pool)?;
        let inherits = !state.is_new && !inherits_until_us.reached(now_us);
        state.expire(now_us);
        let party = state.parties.entry(holder.clone()).or_default();
        if want.asked <= party.asked {
            return None;
        }
        party.near = near;
        let had_joined = party.joined;
        party.hear(want, self.term, counted_until_us);
        if party.joined && !had_joined {
            state.inherited += want.held;
        }
        let confirms = inherits && !party.joined;
        let amount = match (inherits, confirms) {
            (_, true) => want.held.min(state.limit),
            (true, false) => state.offer_among_joined(holder),
            (false, false) => state.offer(holder),
        };
        if let Some(party) = state.parties.get_mut(holder) {
            party.grants.push(Counted {
                id,
                amount,
                until_us: counted_until_us,
            });
        }
        Some(Grant {
            pool: want.pool.clone(),
            id,
            amount,
            confirms,
        })
    }

    /// The sum of what holders may be using of a pool.
    #[must_use]
    pub fn counted(&self, pool: &Pool) -> u64 {
        self.pools.get(pool).map_or(0, PoolState::counted)
    }

    /// Every pool, for the process dump.
    pub fn rows(&self) -> impl Iterator<Item = PoolRow> {
        self.pools.iter().map(|(pool, state)| PoolRow {
            pool: pool.clone(),
            limit: state.limit,
            counted: state.counted(),
            holders: state
                .parties
                .iter()
                .map(|(id, party)| party.row(id))
                .collect(),
        })
    }

    const fn next_id(&mut self) -> GrantId {
        self.serial += 1;
        GrantId {
            term: self.term,
            serial: self.serial,
        }
    }
}

impl PoolState {
    /// What can be granted to `holder` now: its entitlement, as far as others leave room.
    fn offer(&self, holder: &HolderId) -> u64 {
        let others = self.parties.iter().filter(|(id, _)| *id != holder);
        let others: u64 = others.map(|(_, party)| party.counted()).sum();
        let room = self.limit.saturating_sub(others);
        self.entitlement(holder, self.limit, false).min(room)
    }

    /// The same while grants of earlier leaders may be in use: only what holders that follow this
    /// leader hold goes round among them.
    fn offer_among_joined(&self, holder: &HolderId) -> u64 {
        let amount = self.inherited.min(self.limit);
        let others = self
            .parties
            .iter()
            .filter(|(id, party)| *id != holder && party.joined);
        let others: u64 = others.map(|(_, party)| party.counted()).sum();
        self.entitlement(holder, amount, true)
            .min(amount.saturating_sub(others))
    }
}
