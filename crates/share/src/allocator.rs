//! The leader's side of shared pools: grants shares to entries and counts what they may be using.

use crate::{
    counted_ms,
    fair::{Participant, fair_shares},
    pool::{Grant, GrantId, HolderId, Pool, Want},
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use types::TimeUs;

/// A grant whose amount the holder may be using.
#[derive(Clone, Copy, Debug)]
struct OutstandingGrant {
    id: GrantId,
    amount: u64,
    until_us: TimeUs,
}

/// What the leader knows of one holder of a pool.
#[derive(Debug, Default)]
struct HolderState {
    /// [`Want::serial`] of the latest want.
    last_want_serial: u64,
    /// Whether it has applied a grant of this leader, so that it ignores those of earlier leaders.
    joined_term: bool,
    local: bool,
    demand: u64,
    /// What the latest want reported as held; counted until `held_until_us`.
    held: u64,
    held_until_us: TimeUs,
    grants: Vec<OutstandingGrant>,
}

impl HolderState {
    /// The most that the holder may be using, in the pool's unit.
    fn counted(&self) -> u64 {
        let granted = self
            .grants
            .iter()
            .map(|grant| grant.amount)
            .max()
            .unwrap_or(0);
        granted.max(self.held)
    }

    fn record_want(&mut self, want: &Want, term: u64, counted_until_us: TimeUs) {
        self.joined_term |= want.applied.term == term;
        self.last_want_serial = want.serial;
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

    fn is_expired(&self, now_us: TimeUs) -> bool {
        self.grants.is_empty() && self.held_until_us.reached(now_us)
    }
}

#[derive(Debug, Default)]
struct PoolState {
    limit: u64,
    /// Whether the pool was first declared in this term, so that no earlier leader granted any of
    /// it.
    is_new: bool,
    /// The sum of what holders held when they first applied a grant of this leader. They ignore
    /// grants of earlier leaders from then on, so what one of them gives back another may get.
    inherited: u64,
    holders: BTreeMap<HolderId, HolderState>,
}

impl PoolState {
    fn counted(&self) -> u64 {
        self.holders.values().map(HolderState::counted).sum()
    }

    fn expire(&mut self, now_us: TimeUs) {
        self.holders
            .values_mut()
            .for_each(|holder_state| holder_state.expire(now_us));
        self.holders
            .retain(|_, holder_state| !holder_state.is_expired(now_us));
    }

    /// The holder's fair share of `limit`, by the demand of every holder of the pool or only of
    /// those that joined this term.
    fn entitlement(&self, holder: &HolderId, limit: u64, only_joined: bool) -> u64 {
        let sharing = || {
            self.holders
                .iter()
                .filter(|(_, holder_state)| holder_state.joined_term || !only_joined)
        };
        let participants: Vec<Participant> = sharing()
            .map(|(_, holder_state)| Participant {
                demand: holder_state.demand,
                local: holder_state.local,
            })
            .collect();
        let shares = fair_shares(limit, &participants);
        let rank = sharing().position(|(id, _)| id == holder);
        rank.and_then(|rank| shares.get(rank).copied()).unwrap_or(0)
    }
}

/// One pool in the control replica's process dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PoolRow {
    /// The pool that the holders share.
    pub pool: Pool,
    /// The configured limit, in the pool's unit; 0 once it is no longer declared.
    pub limit: u64,
    /// The sum of what holders may be using, in the pool's unit. It exceeds a limit that was
    /// lowered until the earlier grants run out.
    pub counted: u64,
    /// Every incarnation of an entry that may be using a part, in order of name.
    pub holders: Vec<HolderRow>,
}

/// One holder of a pool in the control replica's process dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderRow {
    /// The entry and its incarnation.
    pub holder: HolderId,
    /// The most that it may be using, in the pool's unit.
    pub counted: u64,
    /// The demand in its latest want, in the pool's unit.
    pub demand: u64,
}

/// Divides the configured limits of pools among entries, for one term of leadership.
#[derive(Debug)]
pub struct Allocator {
    term: u64,
    last_serial: u64,
    term_start_us: TimeUs,
    longest_deadline_ms: u64,
    pools: BTreeMap<Pool, PoolState>,
}

impl Allocator {
    /// The allocator of a leader whose `term` began at `now_us`.
    ///
    /// Grants of earlier leaders may be in use until [`counted_ms`] after that. Until then, a
    /// holder that has applied no grant of this leader only gets confirmed what it reports as held.
    /// Holders that have applied one share among them the sum of what they held when they did.
    /// Pools first declared in this term are granted at once; see [`Self::set_first_limit`].
    #[must_use]
    pub fn new(term: u64, now_us: TimeUs, longest_deadline_ms: u64) -> Self {
        Self {
            term,
            last_serial: 0,
            term_start_us: now_us,
            longest_deadline_ms,
            pools: BTreeMap::new(),
        }
    }

    /// Sets the longest deadline of any declared service. A shorter one than before is ignored,
    /// since work may be in flight under the longer one.
    pub fn set_longest_deadline_ms(&mut self, longest_deadline_ms: u64) {
        self.longest_deadline_ms = self.longest_deadline_ms.max(longest_deadline_ms);
    }

    /// Sets the configured limit of a pool, in its unit. Grants beyond a lowered limit aren't
    /// revoked: they run out, or the holder's next grant replaces them.
    pub fn set_limit(&mut self, pool: &Pool, limit: u64) {
        self.pools.entry(pool.clone()).or_default().limit = limit;
    }

    /// Sets the limit of a pool that was first declared in this term, so that nobody can hold a
    /// grant of it from an earlier leader.
    pub fn set_first_limit(&mut self, pool: &Pool, limit: u64) {
        let first = PoolState {
            limit,
            is_new: true,
            ..PoolState::default()
        };
        self.pools.entry(pool.clone()).or_insert(first).limit = limit;
    }

    /// Sets the limit of every pool that is no longer declared to 0, so that no more of it is
    /// granted.
    pub fn zero_undeclared_limits(&mut self, declared: &BTreeSet<Pool>) {
        for (pool, state) in &mut self.pools {
            if !declared.contains(pool) {
                state.limit = 0;
            }
        }
    }

    /// Answers one want of a holder with a grant. `local` tells whether the holder is in the region
    /// that the pool's limit is for; for a link every holder is. Returns `None` if the pool is
    /// unknown, or if this want or a later one was answered before.
    pub fn answer_want(
        &mut self,
        now_us: TimeUs,
        holder: &HolderId,
        local: bool,
        want: &Want,
    ) -> Option<Grant> {
        let counted_until_us = now_us.after_ms(counted_ms(self.longest_deadline_ms));
        let inherit_until_us = self
            .term_start_us
            .after_ms(counted_ms(self.longest_deadline_ms));
        let id = self.next_id();
        let state = self.pools.get_mut(&want.pool)?;
        let may_inherit = !state.is_new && !inherit_until_us.reached(now_us);
        state.expire(now_us);
        let holder_state = state.holders.entry(holder.clone()).or_default();
        if want.serial <= holder_state.last_want_serial {
            return None;
        }
        holder_state.local = local;
        let joined_before = holder_state.joined_term;
        holder_state.record_want(want, self.term, counted_until_us);
        if holder_state.joined_term && !joined_before {
            state.inherited += want.held;
        }
        let confirms = may_inherit && !holder_state.joined_term;
        let amount = match (may_inherit, confirms) {
            (_, true) => want.held.min(state.limit),
            (true, false) => state.offer_among_joined(holder),
            (false, false) => state.offer(holder),
        };
        if let Some(holder_state) = state.holders.get_mut(holder) {
            holder_state.grants.push(OutstandingGrant {
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

    /// The sum of what holders may be using of a pool, in its unit; 0 for an unknown pool.
    #[must_use]
    pub fn counted(&self, pool: &Pool) -> u64 {
        self.pools.get(pool).map_or(0, PoolState::counted)
    }

    /// Every pool with its holders, for the process dump.
    pub fn rows(&self) -> impl Iterator<Item = PoolRow> {
        self.pools.iter().map(|(pool, state)| PoolRow {
            pool: pool.clone(),
            limit: state.limit,
            counted: state.counted(),
            holders: state
                .holders
                .iter()
                .map(|(id, holder_state)| holder_state.row(id))
                .collect(),
        })
    }

    const fn next_id(&mut self) -> GrantId {
        self.last_serial += 1;
        GrantId {
            term: self.term,
            serial: self.last_serial,
        }
    }
}

impl PoolState {
    /// What can be granted to `holder` now: its fair share, up to what the others leave of the
    /// limit.
    fn offer(&self, holder: &HolderId) -> u64 {
        let others = self.holders.iter().filter(|(id, _)| *id != holder);
        let others: u64 = others.map(|(_, holder_state)| holder_state.counted()).sum();
        let room = self.limit.saturating_sub(others);
        self.entitlement(holder, self.limit, false).min(room)
    }

    /// What can be granted to a holder that joined this term while grants of earlier leaders may
    /// still be in use: its fair share of what such holders hold together, up to what the others of
    /// them leave.
    fn offer_among_joined(&self, holder: &HolderId) -> u64 {
        let amount = self.inherited.min(self.limit);
        let others = self
            .holders
            .iter()
            .filter(|(id, holder_state)| *id != holder && holder_state.joined_term);
        let others: u64 = others.map(|(_, holder_state)| holder_state.counted()).sum();
        self.entitlement(holder, amount, true)
            .min(amount.saturating_sub(others))
    }
}
