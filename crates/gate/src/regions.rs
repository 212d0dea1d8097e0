//! How a gateway distributes a service's requests among regions.
//!
//! Each gateway keeps, for each region, the share of its requests that go there. It moves the
//! shares slowly from the busiest region to the least busy one, so that a change of traffic never
//! moves many requests to other regions at once. Requests follow the shares by a weighted round
//! robin, in which the preferred region of an object has a head start of some requests, the slack.

use crate::{rank::rank, slack::SHIFT_WINDOW_S};
use std::collections::BTreeMap;
use types::{RegionName, TimeUs};

/// The cost of running a request outside the gateway's own region, in units of utilisation.
const REMOTE_COST: f64 = 0.2;

/// Shares move only when the utilisations of two regions, with `REMOTE_COST`, differ by this or
/// more.
const UTILISATION_GAP_MIN: f64 = 0.06;

/// Up to this utilisation no region loses share for being busy.
const UTILISATION_LOW: f64 = 0.55;

/// The fraction of the allowed change that moving shares use; random deviations stay within the
/// rest.
const SHIFT_USED: f64 = 0.5;

/// The rate at which shares move after the slots of a region's usable upstreams changed by more
/// than `SLOTS_CHANGE_MIN`, per second; 1 is all requests.
const FAST_PER_S: f64 = 0.5;

/// How long shares move at that rate after such a change, in milliseconds.
const FAST_MS: u64 = 3_000;

/// A service without requests for this long is idle and its shares are reset, in milliseconds.
const IDLE_AFTER_MS: u64 = 3_000;

/// Shares move fast when a region's slots change by more than this fraction.
const SLOTS_CHANGE_MIN: f64 = 0.1;

/// The largest credit of a region, ahead of or behind its share, as a multiple of the slack.
const CREDIT_MAX_SLACKS: f64 = 3.0;

/// The load of a region's usable upstreams of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionLoad {
    /// Requests that the upstreams can run at once.
    pub(crate) slots: f64,
    /// Requests that the upstreams have, running or queued.
    pub(crate) requests: f64,
}

impl RegionLoad {
    /// Requests per slot; above 1 when requests queue.
    fn utilisation(self) -> f64 {
        self.requests / self.slots.max(f64::MIN_POSITIVE)
    }
}

/// The inputs of a rebalance that are the same for every service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RebalanceParams {
    /// How many regions the deployment has.
    pub(crate) region_count: usize,
    /// The credit, in requests, that the preferred region of an object gets over others.
    pub(crate) slack: f64,
    /// The largest fraction of a region's requests that may change region within two seconds.
    pub(crate) shift_max: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// The fraction of this gateway's requests that go to the region, from 0 to 1.
    share: f64,
    /// By how many requests the region is behind its share; negative when ahead.
    credit: f64,
    /// The slots of the region's usable upstreams at the last rebalance.
    slots: f64,
}

/// The region shares of one service at one gateway.
#[derive(Clone, Debug)]
pub(crate) struct RegionShares {
    own_region: RegionName,
    shares: BTreeMap<RegionName, Share>,
    rebalanced_us: TimeUs,
    /// Until when shares move at `FAST_PER_S`.
    fast_until_us: TimeUs,
    /// Requests since the last rebalance.
    requests: u32,
    /// The credit, in requests, that the preferred region of an object gets over others.
    slack: f64,
    /// The service is idle after this time, unless further requests arrive.
    active_until_us: TimeUs,
}

impl RegionShares {
    pub(crate) const fn new(own_region: RegionName, now_us: TimeUs) -> Self {
        Self {
            own_region,
            shares: BTreeMap::new(),
            rebalanced_us: now_us,
            fast_until_us: now_us,
            requests: 0,
            slack: 1.0,
            active_until_us: now_us,
        }
    }

    /// Moves the shares by the loads and the time since the last rebalance.
    pub(crate) fn rebalance(
        &mut self,
        loads: &BTreeMap<RegionName, RegionLoad>,
        params: RebalanceParams,
        now_us: TimeUs,
    ) {
        let RebalanceParams {
            region_count,
            shift_max,
            ..
        } = params;
        let elapsed_s = now_us.since_us(self.rebalanced_us) as f64 / 1e6;
        self.rebalanced_us = now_us;
        let requests = std::mem::take(&mut self.requests);
        if requests > 0 {
            self.active_until_us = now_us.after_ms(IDLE_AFTER_MS);
        }
        self.slack = params.slack;
        // Only changes of region are limited. A deviation from the shares that stays the same is no
        // change, so old credit decays.
        let decay = (-elapsed_s / SHIFT_WINDOW_S).exp();
        for share in self.shares.values_mut() {
            share.credit *= decay;
        }
        let is_idle = self.active_until_us.reached(now_us);
        if is_idle || self.shares.values().all(|share| share.share <= 0.0) {
            return self.reset(loads, region_count);
        }
        self.record_slots(loads, now_us);
        self.reassign_empty_regions(loads);
        let per_s = match self.fast_until_us.reached(now_us) {
            true => shift_max * SHIFT_USED / SHIFT_WINDOW_S,
            false => FAST_PER_S,
        };
        self.shift_shares(loads, per_s * elapsed_s);
    }

    /// Chooses the region of the next request among those for which `is_allowed` holds: the one
    /// with the highest credit. Requests for one object mostly go to one region while the shares
    /// don't change.
    pub(crate) fn next(
        &mut self,
        object: Option<u64>,
        is_allowed: impl Fn(&RegionName) -> bool,
    ) -> Option<RegionName> {
        self.requests += 1;
        let credit_max = CREDIT_MAX_SLACKS * self.slack;
        for share in self.shares.values_mut() {
            share.credit = (share.credit + share.share).clamp(-credit_max, credit_max);
        }
        let preferred = object
            .and_then(|object| self.preferred_region(object))
            .cloned();
        let allowed = self.shares.iter().filter(|(name, _)| is_allowed(name));
        let credit = |name: &RegionName, share: &Share| match preferred.as_ref() == Some(name) {
            true => share.credit + self.slack,
            false => share.credit,
        };
        let chosen = allowed
            .filter(|(_, share)| share.share > 0.0)
            .map(|(name, share)| (name, credit(name, share)))
            .max_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(name, _)| name.clone());
        if let Some(share) = chosen.as_ref().and_then(|name| self.shares.get_mut(name)) {
            share.credit -= 1.0;
        }
        chosen
    }

    /// The preferred region of an object by weighted rendezvous hashing: when shares change, no
    /// more objects than necessary get another preferred region.
    fn preferred_region(&self, object: u64) -> Option<&RegionName> {
        let distance = |name: &RegionName, share: f64| {
            let uniform = (rank(name.as_str(), object) >> 11) as f64 / (1_u64 << 53) as f64;
            -uniform.max(f64::MIN_POSITIVE).ln() / share
        };
        let shares = self.shares.iter().filter(|(_, share)| share.share > 0.0);
        let distances = shares.map(|(name, share)| (name, distance(name, share.share)));
        let nearest = distances.min_by(|(_, a), (_, b)| a.total_cmp(b));
        nearest.map(|(name, _)| name)
    }

    /// Sets the shares for equal demand in each region: the own region keeps as much as its slots
    /// can take of its demand, and the rest goes to the regions with more slots than the average.
    fn reset(&mut self, loads: &BTreeMap<RegionName, RegionLoad>, region_count: usize) {
        let total: f64 = loads.values().map(|it| it.slots).sum();
        if total <= 0.0 {
            return;
        }
        let fair_slots = total / region_count.max(1) as f64;
        let own_slots = loads.get(&self.own_region).map_or(0.0, |it| it.slots);
        let own_share = (own_slots / fair_slots).min(1.0);
        let excess = |slots: f64| (slots - fair_slots).max(0.0);
        let others = || loads.iter().filter(|(name, _)| **name != self.own_region);
        let total_excess: f64 = others().map(|(_, it)| excess(it.slots)).sum();
        let total_others: f64 = others().map(|(_, it)| it.slots).sum();
        let fraction = |slots: f64| match total_excess > 0.0 {
            true => excess(slots) / total_excess,
            false => slots / total_others.max(f64::MIN_POSITIVE),
        };
        let rest = 1.0 - own_share;
        let shares = loads.iter().map(|(name, it)| {
            let share = match *name == self.own_region {
                true => own_share,
                false => rest * fraction(it.slots),
            };
            let credit = 0.0;
            let slots = it.slots;
            (
                name.clone(),
                Share {
                    share,
                    credit,
                    slots,
                },
            )
        });
        self.shares = shares.collect();
    }

    /// Records the slots of the regions; shares move fast for a while when they changed much.
    fn record_slots(&mut self, loads: &BTreeMap<RegionName, RegionLoad>, now_us: TimeUs) {
        for (name, load) in loads {
            let share = self.shares.entry(name.clone()).or_default();
            if (share.slots - load.slots).abs() > SLOTS_CHANGE_MIN * share.slots {
                self.fast_until_us = now_us.after_ms(FAST_MS);
            }
            share.slots = load.slots;
        }
    }

    /// Distributes the shares of regions without usable upstreams among the others by their slots.
    fn reassign_empty_regions(&mut self, loads: &BTreeMap<RegionName, RegionLoad>) {
        let slots_of = |name: &RegionName| loads.get(name).map_or(0.0, |it| it.slots);
        let total: f64 = loads.values().map(|it| it.slots).sum();
        if total <= 0.0 {
            return;
        }
        let mut freed = 0.0;
        for (name, share) in &mut self.shares {
            if slots_of(name) <= 0.0 {
                freed += std::mem::take(&mut share.share);
            }
        }
        for (name, share) in &mut self.shares {
            share.share += freed * slots_of(name) / total;
        }
    }

    /// Moves at most `step_max` of all requests, from the busiest region or back to the own region.
    fn shift_shares(&mut self, loads: &BTreeMap<RegionName, RegionLoad>, step_max: f64) {
        let utilisation = |name: &RegionName| {
            let load = loads.get(name).filter(|it| it.slots > 0.0)?;
            Some(load.utilisation())
        };
        let utilisations = self.shares.keys();
        let utilisations = utilisations.filter_map(|name| Some((name.clone(), utilisation(name)?)));
        let utilisations: Vec<(RegionName, f64)> = utilisations.collect();
        let busiest = utilisations
            .iter()
            .filter(|(name, utilisation)| {
                self.shares[name].share > 0.0 && *utilisation > UTILISATION_LOW
            })
            .max_by(|(_, a), (_, b)| a.total_cmp(b));
        match busiest {
            Some((name, utilisation)) => {
                self.shift_from_busiest(name, *utilisation, &utilisations, step_max)
            }
            None => self.shift_home(&utilisations, step_max),
        }
    }

    /// Moves requests from the busiest region to the one where they cost least.
    fn shift_from_busiest(
        &mut self,
        busiest: &RegionName,
        utilisation: f64,
        utilisations: &[(RegionName, f64)],
        step_max: f64,
    ) {
        let remote_cost = |name: &RegionName| match *name == self.own_region {
            true => 0.0,
            false => REMOTE_COST,
        };
        let costs = utilisations
            .iter()
            .map(|(name, it)| (name, it + remote_cost(name)));
        let Some((to, cost)) = costs.min_by(|(_, a), (_, b)| a.total_cmp(b)) else {
            return;
        };
        let gap = utilisation + remote_cost(busiest) - cost;
        if to == busiest || gap < UTILISATION_GAP_MIN {
            return;
        }
        let moved = self.shares[busiest]
            .share
            .min(step_max * gap.min(1.0).sqrt());
        self.add_share(busiest, -moved);
        self.add_share(to, moved);
    }

    /// Moves requests back to the own region while no region is busy. They come from all other
    /// regions in proportion to their shares, so that gateways keep the same shares even when their
    /// estimates of the other regions' load differ a little.
    fn shift_home(&mut self, utilisations: &[(RegionName, f64)], step_max: f64) {
        let Some((_, own_utilisation)) = utilisations
            .iter()
            .find(|(name, _)| *name == self.own_region)
        else {
            return;
        };
        let others = utilisations
            .iter()
            .filter(|(name, _)| *name != self.own_region);
        let away: f64 = others
            .clone()
            .map(|(name, _)| self.shares[name].share)
            .sum();
        if away <= 0.0 {
            return;
        }
        let weighted = others.map(|(name, utilisation)| self.shares[name].share * utilisation);
        let gap = weighted.sum::<f64>() / away + REMOTE_COST - own_utilisation;
        if gap < UTILISATION_GAP_MIN {
            return;
        }
        let moved = away.min(step_max * gap.min(1.0).sqrt());
        for (name, share) in &mut self.shares {
            share.share += match *name == self.own_region {
                true => moved,
                false => -moved * share.share / away,
            };
        }
    }

    fn add_share(&mut self, name: &RegionName, change: f64) {
        if let Some(share) = self.shares.get_mut(name) {
            share.share += change;
        }
    }
}
