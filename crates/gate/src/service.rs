//! The choice among the upstreams of one service.

use crate::{
    bucket::Bucket,
    config::GateBounds,
    rank::rank,
    regions::{Pressure, RegionShares, Scope},
    times::RunTimes,
    upstream::Upstream,
};
use std::collections::BTreeMap;
use types::{DomainName, RegionName, TimeUs, UpstreamName};

/// The weight of a new sample of a service's time.
const TIME_WEIGHT: f64 = 0.05;

/// What a service's requests take before any was seen, in microseconds.
const TIME_UNKNOWN_US: f64 = 200_000.0;

/// What the longer run at an upstream that does not know an object costs others, as a part of the
/// time that it is longer.
const SLOT_COST: f64 = 1.0;

/// How much longer than usual a request may well run.
const RUN_SPREAD: f64 = 1.2;

/// What a microsecond past a request's time costs, in microseconds.
const LATE_COST: f64 = 3.0;

/// The weight of a new sample of how many requests of others an upstream has.
const OTHERS_WEIGHT: f64 = 0.1;

/// What an upstream in another failure domain costs, in microseconds.
const DOMAIN_COST_US: f64 = 80_000.0;

/// What a request that an upstream already has costs beside waiting, as a part of the service's
/// time over its slots.
const BUSY_COST: f64 = 0.25;

/// What an upstream that fails often costs, in microseconds.
const FAILING_COST_US: f64 = 2_000_000.0;

/// The part of the allowed repeats that gateways use, so that their sum keeps below the bound
/// while some of them don't know of each other.
const REPEATS_USED: f64 = 0.6;

/// The services of a cold upstream take this many times longer.
const COLD_RATIO: f64 = 2.0;

/// What a choice rests on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wish<'a> {
    /// Tells objects apart, where the route is sticky.
    pub(crate) object: Option<u64>,
    /// The only regions allowed; any when empty.
    pub(crate) homes: &'a [RegionName],
    /// Upstreams that were tried already.
    pub(crate) tried: &'a [UpstreamName],
    /// The gateway's own failure domain.
    pub(crate) domain: &'a DomainName,
    /// How long the route's requests run.
    pub(crate) times: RunTimes,
    /// How long the request may still take.
    pub(crate) left_us: f64,
    /// How long it may take to be worth most.
    pub(crate) target_us: f64,
}

/// A chosen upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    /// Its index.
    pub(crate) index: usize,
    /// How long the request would wait there.
    pub(crate) wait_us: f64,
    /// How long it would run.
    pub(crate) run_us: f64,
    /// Whether the upstream is taken to have handled the object.
    pub(crate) is_familiar: bool,
}

/// A service and its upstreams.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) regions: RegionShares,
    pub(crate) cold_per_s: f64,
    /// Repeats that may still be sent.
    repeats: Bucket,
    /// What a request takes, over all routes.
    time_us: f64,
    usual_others: f64,
}

impl Service {
    pub(crate) fn new(own_region: RegionName, cold_per_s: f64, now_us: TimeUs) -> Self {
        Self {
            upstreams: Vec::new(),
            regions: RegionShares::new(own_region, now_us),
            cold_per_s,
            repeats: Bucket::new(1.0, now_us),
            time_us: TIME_UNKNOWN_US,
            usual_others: 0.0,
        }
    }

    pub(crate) fn position(&self, id: &UpstreamName) -> Option<usize> {
        self.upstreams
            .iter()
            .position(|upstream| upstream.instance.id == *id)
    }

    /// Moves the shares of the regions.
    pub(crate) fn follow_regions(&mut self, scope: Scope, now_us: TimeUs) {
        let mut pressures: BTreeMap<RegionName, Pressure> = BTreeMap::new();
        for upstream in &self.upstreams {
            let pressure = pressures.entry(upstream.region.clone()).or_default();
            if upstream.takes_work() && !upstream.is_paused(now_us) && !upstream.is_cold(now_us) {
                pressure.slots += f64::from(upstream.instance.slots);
                pressure.load += upstream.load(self.usual_others, now_us);
            }
        }
        self.regions.follow(&pressures, scope, now_us);
    }

    /// The best upstream for a request; none when none may take it.
    pub(crate) fn choose(
        &mut self,
        wish: Wish<'_>,
        gateways: usize,
        now_us: TimeUs,
    ) -> Option<Choice> {
        self.fill_cold(gateways, now_us);
        let usable: Vec<usize> = self.usable(wish, now_us);
        let upstreams = &self.upstreams;
        let region = self.regions.next(wish.object, |region| {
            let mut indices = usable.iter();
            indices.any(|index| upstreams[*index].region == *region)
        });
        let in_region = |index: &usize| match &region {
            Some(region) => self.upstreams[*index].region == *region,
            None => true,
        };
        let candidates: Vec<usize> = usable.iter().copied().filter(in_region).collect();
        let firsts = self.firsts(&candidates, wish);
        let cost = |index: usize| self.rate(index, wish, &firsts, now_us);
        candidates
            .iter()
            .map(|index| cost(*index))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, choice)| choice)
    }

    /// Notes a request's first attempt, which adds to the repeats that are allowed.
    pub(crate) fn note_first(&mut self, bounds: &GateBounds, gateways: usize) {
        let most = repeats_most(bounds, gateways);
        self.repeats.add(bounds.retry_ratio * REPEATS_USED, most);
    }

    /// Takes one of the allowed repeats, when there is one.
    pub(crate) fn take_repeat(
        &mut self,
        bounds: &GateBounds,
        gateways: usize,
        now_us: TimeUs,
    ) -> bool {
        let most = repeats_most(bounds, gateways);
        let per_s = most * 1e3 / bounds.retry_window_ms.max(1) as f64;
        self.repeats.fill(per_s, most, now_us);
        self.repeats.take_one()
    }

    /// Notes an attempt that is sent to an upstream.
    pub(crate) fn send(&mut self, index: usize, object: Option<u64>, now_us: TimeUs) {
        let upstream = &mut self.upstreams[index];
        if let Some(object) = object {
            upstream.note_object(object);
        }
        upstream.own += 1;
        if upstream.is_cold(now_us) {
            upstream.cold_bucket.take_one();
        }
    }

    /// Notes how long a request ran that did not wait, beside what its route usually takes.
    pub(crate) fn note_time(&mut self, index: usize, taken_us: f64, usual_us: f64, now_us: TimeUs) {
        self.time_us += TIME_WEIGHT * (taken_us - self.time_us);
        let upstream = &mut self.upstreams[index];
        if !upstream.is_cold(now_us) {
            upstream.note_time(taken_us / usual_us, now_us);
        }
    }

    pub(crate) fn note_load(&mut self, index: usize, load: crate::Load, now_us: TimeUs) {
        let others = self.upstreams[index].note_load(load, now_us);
        self.usual_others += OTHERS_WEIGHT * (others - self.usual_others);
    }

    /// Whether an upstream would run another request at once, as far as is known.
    pub(crate) fn has_free_slot(&self, index: usize, now_us: TimeUs) -> bool {
        let upstream = &self.upstreams[index];
        let load = upstream.load(self.usual_others, now_us);
        load + 1.0 <= f64::from(upstream.instance.slots)
    }

    fn fill_cold(&mut self, gateways: usize, now_us: TimeUs) {
        let per_s = self.cold_per_s / gateways.max(1) as f64;
        for upstream in &mut self.upstreams {
            if upstream.is_cold(now_us) {
                upstream.cold_bucket.fill(per_s, 1.0, now_us);
            }
        }
    }

    /// The upstreams that may take a request: those that failed lately only when no other is left.
    fn usable(&self, wish: Wish<'_>, now_us: TimeUs) -> Vec<usize> {
        let allowed = |index: &usize| {
            let upstream = &self.upstreams[*index];
            let at_home = wish.homes.is_empty() || wish.homes.contains(&upstream.region);
            let is_open = !upstream.is_cold(now_us) || upstream.cold_bucket.has_one();
            let was_tried = wish.tried.contains(&upstream.instance.id);
            upstream.takes_work() && at_home && is_open && !was_tried
        };
        let all: Vec<usize> = (0..self.upstreams.len()).filter(allowed).collect();
        let sound = |index: &usize| !self.upstreams[*index].is_paused(now_us);
        let usable: Vec<usize> = all.iter().copied().filter(sound).collect();
        match usable.is_empty() {
            true => all,
            false => usable,
        }
    }

    /// The upstreams that an object's requests go to first, one in each failure domain, or in each
    /// region where a run at an upstream that doesn't know the object takes too long; every gateway
    /// names the same ones.
    fn firsts(&self, candidates: &[usize], wish: Wish<'_>) -> Vec<usize> {
        let Some(object) = wish.object else {
            return Vec::new();
        };
        let is_tight = wish.times.run_us(false) > wish.target_us;
        let mut firsts: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
        for index in candidates {
            let upstream = &self.upstreams[*index];
            let ranked = (rank(upstream.instance.id.as_str(), object), *index);
            let place = match is_tight {
                true => upstream.region.as_str(),
                false => upstream.instance.failure_domain.as_str(),
            };
            let first = firsts.entry(place).or_insert(ranked);
            *first = ranked.max(*first);
        }
        firsts.into_values().map(|(_, index)| index).collect()
    }

    fn rate(
        &self,
        index: usize,
        wish: Wish<'_>,
        firsts: &[usize],
        now_us: TimeUs,
    ) -> (f64, Choice) {
        let upstream = &self.upstreams[index];
        let slots = f64::from(upstream.instance.slots.max(1));
        let load = upstream.load(self.usual_others, now_us);
        let slowness = upstream.slowness(now_us);
        let is_familiar = match wish.object {
            Some(object) => upstream.knows(object) || firsts.contains(&index),
            None => true,
        };
        let mut run_us = wish.times.run_us(is_familiar) * slowness;
        let queue = (load + 1.0 - slots).max(0.0);
        let wait_us = queue * self.time_us * slowness / slots;
        if upstream.is_cold(now_us) {
            run_us *= COLD_RATIO;
        }
        let extra_us = run_us - wish.times.run_us(true) * slowness;
        let mut cost =
            wait_us + run_us + SLOT_COST * extra_us + BUSY_COST * self.time_us * load / slots;
        if upstream.instance.failure_domain != *wish.domain {
            cost += DOMAIN_COST_US;
        }
        if upstream.is_failing() {
            cost += FAILING_COST_US;
        }
        // What ends after the request's time helps nobody.
        cost += LATE_COST * (wait_us + run_us * RUN_SPREAD - wish.left_us).max(0.0);
        let choice = Choice {
            index,
            wait_us,
            run_us,
            is_familiar,
        };
        (cost, choice)
    }
}

/// The most repeats that one gateway may save up: half of its part of the slack, since within one
/// span a full bucket can be used up and filled again.
fn repeats_most(bounds: &GateBounds, gateways: usize) -> f64 {
    (bounds.retry_slack * REPEATS_USED / 2.0 / gateways.max(1) as f64).max(1.0)
}
