//! How a service's requests are shared out among regions.
//!
//! Each gateway keeps a share for each region and moves it slowly towards the region that is least
//! pressed, so that a change of traffic never moves many requests to other regions at once.

use crate::{rank::rank, slack::SHIFT_WINDOW_S};
use std::collections::BTreeMap;
use types::{RegionName, TimeUs};

/// What a request that runs in another region costs, as a part of a region's load.
const REMOTE_COST: f64 = 0.2;

/// Regions whose pressure differs by less keep their shares.
const PRESSURE_GAP: f64 = 0.06;

/// Below this pressure nothing moves away from the gateway's own region.
const PRESSURE_LOW: f64 = 0.55;

/// The part of the allowed change that a gateway uses, so that chance stays within the rest.
const SHIFT_USED: f64 = 0.5;

/// How fast shares move after upstreams came or went, in shares a second.
const FAST_PER_S: f64 = 0.5;

/// For how long shares move fast after upstreams came or went, in milliseconds.
const FAST_MS: u64 = 3_000;

/// A service without requests for so long is idle, and its shares start anew, in milliseconds.
const USED_MS: u64 = 3_000;

/// A change of a region's slots by less than this part leaves shares slow.
const SLOTS_CHANGE: f64 = 0.1;

/// By how many slacks a region's requests may run ahead of its share, or stay behind.
const CREDIT_SLACKS: f64 = 3.0;

/// What a region's usable upstreams have to do.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure {
    /// Requests that the upstreams can run at once.
    pub(crate) slots: f64,
    /// Requests that they have.
    pub(crate) load: f64,
}

impl Pressure {
    fn ratio(self) -> f64 {
        self.load / self.slots.max(f64::MIN_POSITIVE)
    }
}

/// What the regions' shares keep to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scope {
    /// All regions.
    pub(crate) regions: usize,
    /// By how many requests the usual region of an object goes before others.
    pub(crate) slack: f64,
    /// The largest share of a region's requests that may change region within two seconds.
    pub(crate) shift_max: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    share: f64,
    credit: f64,
    slots: f64,
}

/// The shares of a service's regions at one gateway.
#[derive(Clone, Debug)]
pub(crate) struct RegionShares {
    own: RegionName,
    shares: BTreeMap<RegionName, Share>,
    moved_us: TimeUs,
    fast_until_us: TimeUs,
    /// Requests since the shares moved last.
    requests: u32,
    /// By how many requests the usual region of an object goes before others.
    slack: f64,
    /// Until when the service counts as used.
    used_until_us: TimeUs,
}

impl RegionShares {
    pub(crate) const fn new(own: RegionName, now_us: TimeUs) -> Self {
        Self {
            own,
            shares: BTreeMap::new(),
            moved_us: now_us,
            fast_until_us: now_us,
            requests: 0,
            slack: 1.0,
            used_until_us: now_us,
        }
    }

    /// Moves the shares towards the least pressed region.
    pub(crate) fn follow(
        &mut self,
        pressures: &BTreeMap<RegionName, Pressure>,
        scope: Scope,
        now_us: TimeUs,
    ) {
        let Scope {
            regions, shift_max, ..
        } = scope;
        let elapsed_s = now_us.since_us(self.moved_us) as f64 / 1e6;
        self.moved_us = now_us;
        let requests = std::mem::take(&mut self.requests);
        if requests > 0 {
            self.used_until_us = now_us.after_ms(USED_MS);
        }
        self.slack = scope.slack;
        // A lasting deviation is no change of region, so what lies further back doesn't count.
        let kept = (-elapsed_s / SHIFT_WINDOW_S).exp();
        for share in self.shares.values_mut() {
            share.credit *= kept;
        }
        let is_idle = self.used_until_us.reached(now_us);
        if is_idle || self.shares.values().all(|share| share.share <= 0.0) {
            return self.begin(pressures, regions);
        }
        self.note_slots(pressures, now_us);
        self.leave_empty(pressures);
        let per_s = match self.fast_until_us.reached(now_us) {
            true => shift_max * SHIFT_USED / SHIFT_WINDOW_S,
            false => FAST_PER_S,
        };
        self.step(pressures, per_s * elapsed_s);
    }

    /// The region of the next request among those that `is_allowed`. Requests for one object
    /// mostly go to one region, as far as the shares stay as they are.
    pub(crate) fn next(
        &mut self,
        object: Option<u64>,
        is_allowed: impl Fn(&RegionName) -> bool,
    ) -> Option<RegionName> {
        self.requests += 1;
        let credit_max = CREDIT_SLACKS * self.slack;
        for share in self.shares.values_mut() {
            share.credit = (share.credit + share.share).clamp(-credit_max, credit_max);
        }
        let usual = object.and_then(|object| self.usual(object)).cloned();
        let allowed = self.shares.iter().filter(|(name, _)| is_allowed(name));
        let credit = |name: &RegionName, share: &Share| match usual.as_ref() == Some(name) {
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

    /// The region of an object by weighted rendezvous hashing: when shares move, only as many
    /// objects as must do so change their region.
    fn usual(&self, object: u64) -> Option<&RegionName> {
        let distance = |name: &RegionName, share: f64| {
            let place = (rank(name.as_str(), object) >> 11) as f64 / (1_u64 << 53) as f64;
            -place.max(f64::MIN_POSITIVE).ln() / share
        };
        let shares = self.shares.iter().filter(|(_, share)| share.share > 0.0);
        let distances = shares.map(|(name, share)| (name, distance(name, share.share)));
        let nearest = distances.min_by(|(_, a), (_, b)| a.total_cmp(b));
        nearest.map(|(name, _)| name)
    }

    /// Starts from equal demand in each region: a region keeps what its upstreams can take of its
    /// own part, and what is over goes where slots are over.
    fn begin(&mut self, pressures: &BTreeMap<RegionName, Pressure>, regions: usize) {
        let total: f64 = pressures.values().map(|it| it.slots).sum();
        if total <= 0.0 {
            return;
        }
        let fair = total / regions.max(1) as f64;
        let own_slots = pressures.get(&self.own).map_or(0.0, |it| it.slots);
        let own_share = (own_slots / fair).min(1.0);
        let over = |slots: f64| (slots - fair).max(0.0);
        let others = || pressures.iter().filter(|(name, _)| **name != self.own);
        let total_over: f64 = others().map(|(_, it)| over(it.slots)).sum();
        let total_others: f64 = others().map(|(_, it)| it.slots).sum();
        let part = |slots: f64| match total_over > 0.0 {
            true => over(slots) / total_over,
            false => slots / total_others.max(f64::MIN_POSITIVE),
        };
        let rest = 1.0 - own_share;
        let shares = pressures.iter().map(|(name, it)| {
            let share = match *name == self.own {
                true => own_share,
                false => rest * part(it.slots),
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

    fn note_slots(&mut self, pressures: &BTreeMap<RegionName, Pressure>, now_us: TimeUs) {
        for (name, pressure) in pressures {
            let share = self.shares.entry(name.clone()).or_default();
            if (share.slots - pressure.slots).abs() > SLOTS_CHANGE * share.slots {
                self.fast_until_us = now_us.after_ms(FAST_MS);
            }
            share.slots = pressure.slots;
        }
    }

    /// Gives the shares of regions without usable upstreams to the others, by their slots.
    fn leave_empty(&mut self, pressures: &BTreeMap<RegionName, Pressure>) {
        let slots_of = |name: &RegionName| pressures.get(name).map_or(0.0, |it| it.slots);
        let total: f64 = pressures.values().map(|it| it.slots).sum();
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

    fn step(&mut self, pressures: &BTreeMap<RegionName, Pressure>, most: f64) {
        let ratio = |name: &RegionName| {
            let pressure = pressures.get(name).filter(|it| it.slots > 0.0)?;
            Some(pressure.ratio())
        };
        let ratios = self.shares.keys();
        let ratios = ratios.filter_map(|name| Some((name.clone(), ratio(name)?)));
        let ratios: Vec<(RegionName, f64)> = ratios.collect();
        let pressed = ratios
            .iter()
            .filter(|(name, ratio)| self.shares[name].share > 0.0 && *ratio > PRESSURE_LOW)
            .max_by(|(_, a), (_, b)| a.total_cmp(b));
        match pressed {
            Some((name, ratio)) => self.relieve(name, *ratio, &ratios, most),
            None => self.come_home(&ratios, most),
        }
    }

    /// Moves requests from a pressed region to the one where they cost least.
    fn relieve(
        &mut self,
        pressed: &RegionName,
        ratio: f64,
        ratios: &[(RegionName, f64)],
        most: f64,
    ) {
        let distance = |name: &RegionName| match *name == self.own {
            true => 0.0,
            false => REMOTE_COST,
        };
        let costs = ratios.iter().map(|(name, it)| (name, it + distance(name)));
        let Some((to, cost)) = costs.min_by(|(_, a), (_, b)| a.total_cmp(b)) else {
            return;
        };
        let gap = ratio + distance(pressed) - cost;
        if to == pressed || gap < PRESSURE_GAP {
            return;
        }
        let moved = self.shares[pressed].share.min(most * gap.min(1.0).sqrt());
        self.add(pressed, -moved);
        self.add(to, moved);
    }

    /// While no region is pressed, moves requests to the gateway's own region from all others alike:
    /// gateways whose views of the others differ a little still keep the same shares.
    fn come_home(&mut self, ratios: &[(RegionName, f64)], most: f64) {
        let Some((_, own_ratio)) = ratios.iter().find(|(name, _)| *name == self.own) else {
            return;
        };
        let others = ratios.iter().filter(|(name, _)| *name != self.own);
        let away: f64 = others
            .clone()
            .map(|(name, _)| self.shares[name].share)
            .sum();
        if away <= 0.0 {
            return;
        }
        let weighted = others.map(|(name, ratio)| self.shares[name].share * ratio);
        let gap = weighted.sum::<f64>() / away + REMOTE_COST - own_ratio;
        if gap < PRESSURE_GAP {
            return;
        }
        let moved = away.min(most * gap.min(1.0).sqrt());
        for (name, share) in &mut self.shares {
            share.share += match *name == self.own {
                true => moved,
                false => -moved * share.share / away,
            };
        }
    }

    fn add(&mut self, name: &RegionName, change: f64) {
        if let Some(share) = self.shares.get_mut(name) {
            share.share += change;
        }
    }
}
