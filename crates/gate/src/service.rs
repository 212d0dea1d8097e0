//! The upstreams of one service: which one a request goes to, and how many retries are allowed.
//!
//! The region of a request is chosen first, by the region shares, and then the upstream of that
//! region with the lowest estimated cost. Costs are in microseconds: the expected time to queue and
//! run, and penalties for load, another failure domain, frequent failures and a missed deadline.

use crate::{
    admission::Admission,
    bucket::TokenBucket,
    candidates::{Grouping, Standing, candidates},
    config::GateBounds,
    identity::Homes,
    mean_load::MeanLoad,
    pace::PaceTerms,
    regions::{RebalanceParams, RegionLoad, RegionShares},
    times::RunTimes,
    upstream::Upstream,
};
use plan::ServiceTerms;
use std::collections::BTreeMap;
use types::{DomainName, RegionName, TimeUs, UpstreamName};

/// The weight of a new sample in the moving average of a service's run time.
const TIME_WEIGHT: f64 = 0.05;

/// The run time of a service's requests before the first sample, in microseconds.
const INITIAL_TIME_US: f64 = 200_000.0;

/// The cost of each microsecond that a run takes longer because the upstream is cold, in addition to
/// the time itself: the request occupies a slot that others could use.
const EXTRA_RUN_COST: f64 = 1.0;

/// The safety margin on the expected run time when it is compared with the deadline, as a factor.
const RUN_MARGIN: f64 = 1.2;

/// The cost of each microsecond past a request's deadline, in microseconds.
const LATE_COST: f64 = 3.0;

/// The cost of an upstream outside the gateway's own failure domain, in microseconds.
const DOMAIN_COST_US: f64 = 80_000.0;

/// The cost of each request that an upstream already has, beside queueing, as a fraction of the
/// service's mean run time divided by the upstream's slots.
const LOAD_COST: f64 = 0.25;

/// The cost of an upstream that fails often, in microseconds.
const FAILING_COST_US: f64 = 2_000_000.0;

/// The cost of a request beyond the pace of an upstream, in runs without affinity: the request rather
/// queues elsewhere for two such runs and runs there without affinity.
const OVER_PACE_COST: f64 = 3.0;

/// The fraction of `retry_slack` that gateways use, so that their sum stays below the bound while
/// some of them don't know of each other yet.
const SLACK_USED: f64 = 0.6;

/// The fraction of `retry_ratio` that gateways use. Each earns it with its own requests, however many
/// gateways there are; the rest allows for retries that are sent in the window after the requests.
const RATIO_USED: f64 = 0.85;

/// The factor by which requests run longer at a cold upstream.
pub(crate) const COLD_RATIO: f64 = 2.0;

/// The request, route and gateway properties that the choice of an upstream depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Criteria<'a> {
    /// The hash of the object that the request is for; set on sticky routes only.
    pub(crate) object: Option<u64>,
    /// The regions that may run the request.
    pub(crate) homes: &'a Homes,
    /// Upstreams that earlier attempts went to; they are not chosen again.
    pub(crate) tried: &'a [UpstreamName],
    /// The gateway's own failure domain.
    pub(crate) own_domain: &'a DomainName,
    /// The run times of the route.
    pub(crate) run_times: RunTimes,
    /// The time until the request's deadline.
    pub(crate) remaining_us: f64,
    /// The route's target time, or the time that the client waits when that is shorter.
    pub(crate) target_us: f64,
}

/// A chosen upstream with the estimates for the request there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    /// Its index in [`Service::upstreams`].
    pub(crate) index: usize,
    /// How long the request is expected to queue.
    pub(crate) wait_us: f64,
    /// How long it is expected to run after that.
    pub(crate) run_us: f64,
    /// Whether the upstream has likely handled the object lately; true for requests without object.
    pub(crate) has_affinity: bool,
}

/// A service and its upstreams, as one gateway knows them.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) regions: RegionShares,
    /// Requests per second that all gateways together may send to one cold upstream.
    pub(crate) cold_per_s: f64,
    pub(crate) admission: Admission,
    /// Whether any of its upstreams has stated how long work takes there. Only then are they paced.
    pub(crate) states_slowness: bool,
    /// Gateways of the deployment at the latest choice.
    gateway_count: usize,
    /// Retries that this gateway may still send.
    retry_budget: TokenBucket,
    /// The moving average of the run time, over all routes and upstreams.
    mean_time_us: f64,
    /// The requests that an upstream has from other gateways, on average.
    mean_load: MeanLoad,
}

impl Service {
    pub(crate) fn new(own_region: RegionName, now_us: TimeUs) -> Self {
        Self {
            upstreams: Vec::new(),
            regions: RegionShares::new(own_region, now_us),
            cold_per_s: 0.0,
            admission: Admission::new(now_us),
            states_slowness: false,
            gateway_count: 1,
            retry_budget: TokenBucket::new(1.0, now_us),
            mean_time_us: INITIAL_TIME_US,
            mean_load: MeanLoad::new(now_us),
        }
    }

    /// Sets the declared terms, if there are any.
    pub(crate) fn with_terms(mut self, terms: Option<&ServiceTerms>) -> Self {
        self.set_terms(terms);
        self
    }

    /// Replaces the declared terms.
    pub(crate) fn set_terms(&mut self, terms: Option<&ServiceTerms>) {
        self.cold_per_s = terms.map_or(0.0, |it| it.cold_milli_per_s as f64 / 1e3);
    }

    pub(crate) fn position(&self, id: &UpstreamName) -> Option<usize> {
        self.upstreams
            .iter()
            .position(|upstream| upstream.instance.id == *id)
    }

    /// Rebalances the region shares by the load of the usable upstreams.
    pub(crate) fn rebalance_regions(&mut self, params: RebalanceParams, now_us: TimeUs) {
        let mean_other_requests = self.mean_load.requests(now_us);
        let mut loads: BTreeMap<RegionName, RegionLoad> = BTreeMap::new();
        for upstream in &self.upstreams {
            let region = loads.entry(upstream.region.clone()).or_default();
            if upstream.accepts_requests(now_us)
                && !upstream.is_paused(now_us)
                && !upstream.is_cold(now_us)
            {
                region.slots += f64::from(upstream.instance.slots);
                region.requests += upstream.load(mean_other_requests, now_us);
            }
        }
        self.regions.rebalance(&loads, params, now_us);
    }

    /// Chooses the upstream with the lowest cost for a request; none when no upstream may take it.
    pub(crate) fn choose(
        &mut self,
        criteria: Criteria<'_>,
        gateway_count: usize,
        now_us: TimeUs,
    ) -> Option<Choice> {
        self.refill_cold(gateway_count, now_us);
        let usable: Vec<usize> = self.usable(criteria, now_us);
        let upstreams = &self.upstreams;
        let region = self.regions.next(criteria.object, |region| {
            let mut indices = usable.iter();
            indices.any(|index| upstreams[*index].region == *region)
        });
        let in_region = |index: &usize| match &region {
            Some(region) => self.upstreams[*index].region == *region,
            None => true,
        };
        let in_region: Vec<usize> = usable.iter().copied().filter(in_region).collect();
        // When a run without affinity misses the target, fewer upstreams learn each object.
        let is_tight = criteria.run_times.run_us(false) > criteria.target_us;
        let grouping = match is_tight {
            true => Grouping::Region,
            false => Grouping::FailureDomain,
        };
        let candidates = candidates(&self.upstreams, &in_region, criteria.object, grouping);
        candidates
            .iter()
            .map(|(index, standing)| self.estimate_cost(*index, *standing, criteria, now_us))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, choice)| choice)
    }

    /// Counts a request, refused ones included, which adds this gateway's part of `retry_ratio` to
    /// the retry budget: `retry_ratio * RATIO_USED`.
    pub(crate) fn record_request(&mut self, bounds: &GateBounds, gateway_count: usize) {
        let burst_max = retry_burst_max(bounds, gateway_count);
        self.retry_budget
            .add(bounds.retry_ratio * RATIO_USED, burst_max);
    }

    /// Takes one retry from the budget; returns false when it is used up.
    pub(crate) fn take_retry(
        &mut self,
        bounds: &GateBounds,
        gateway_count: usize,
        now_us: TimeUs,
    ) -> bool {
        let burst_max = retry_burst_max(bounds, gateway_count);
        let per_s = burst_max * 1e3 / bounds.retry_window_ms.max(1) as f64;
        self.retry_budget.refill(per_s, burst_max, now_us);
        self.retry_budget.take_one()
    }

    /// Records an attempt that is sent to an upstream.
    pub(crate) fn record_sent(&mut self, index: usize, object: Option<u64>, now_us: TimeUs) {
        let upstream = &mut self.upstreams[index];
        if let Some(object) = object {
            upstream.record_object(object);
        }
        upstream.own_requests += 1;
        if let Some(pace) = &mut upstream.pace {
            pace.record_sent(now_us);
        }
        if upstream.is_cold(now_us) {
            upstream.cold_bucket.take_one();
        }
    }

    /// Records the run time of a request that did not queue; `usual_us` is the usual run time of
    /// its route.
    pub(crate) fn record_time(
        &mut self,
        index: usize,
        taken_us: f64,
        usual_us: f64,
        now_us: TimeUs,
    ) {
        self.mean_time_us += TIME_WEIGHT * (taken_us - self.mean_time_us);
        let upstream = &mut self.upstreams[index];
        if !upstream.is_cold(now_us) {
            upstream.slowness.record_run(taken_us / usual_us, now_us);
        }
    }

    /// Records the load that an upstream reported.
    pub(crate) fn record_load(&mut self, index: usize, load: crate::Load, now_us: TimeUs) {
        self.states_slowness |= load.slowness_percent.is_some();
        let other_requests = self.upstreams[index].record_load(load, now_us);
        self.mean_load.record(other_requests, now_us);
    }

    /// Whether an upstream is expected to run another request without queueing it.
    pub(crate) fn has_free_slot(&self, index: usize, now_us: TimeUs) -> bool {
        let upstream = &self.upstreams[index];
        let load = upstream.load(self.mean_load.requests(now_us), now_us);
        load + 1.0 <= f64::from(upstream.instance.slots)
    }

    /// This gateway's part of the slots, if all gateways have an equal part.
    pub(crate) fn slots_of_gateway(&self, gateway_count: usize, now_us: TimeUs) -> f64 {
        let usable = self.upstreams.iter();
        let usable = usable.filter(|it| it.accepts_requests(now_us) && !it.is_cold(now_us));
        let slots: f64 = usable.map(|it| f64::from(it.instance.slots)).sum();
        slots / gateway_count.max(1) as f64
    }

    /// The requests for each slot at the usable upstreams of a region.
    pub(crate) fn utilisation(&self, region: &RegionName, now_us: TimeUs) -> f64 {
        let mean_other_requests = self.mean_load.requests(now_us);
        let usable = self.upstreams.iter().filter(|it| {
            it.region == *region && it.accepts_requests(now_us) && !it.is_paused(now_us)
        });
        let loads = usable.map(|it| {
            let load = it.load(mean_other_requests, now_us);
            (load, f64::from(it.instance.slots))
        });
        let (load, slots) = loads.fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        load / f64::max(slots, 1.0)
    }

    /// The earliest end of a backoff that an upstream asked for, if there is one.
    pub(crate) fn backoff_end_us(&self, now_us: TimeUs) -> Option<TimeUs> {
        let withheld = self.upstreams.iter().map(|upstream| upstream.withheld);
        let backing_off = withheld.filter(|it| !it.is_leaving && it.is_withheld(now_us));
        backing_off.map(|it| it.backoff_until_us).min()
    }

    fn refill_cold(&mut self, gateway_count: usize, now_us: TimeUs) {
        self.gateway_count = gateway_count;
        let per_s = self.cold_per_s / gateway_count.max(1) as f64;
        for upstream in &mut self.upstreams {
            if upstream.is_cold(now_us) {
                upstream.cold_bucket.refill(per_s, 1.0, now_us);
            }
        }
    }

    /// The upstreams that may take a request; paused ones are used only when no other is left.
    fn usable(&self, criteria: Criteria<'_>, now_us: TimeUs) -> Vec<usize> {
        let allowed = |index: &usize| {
            let upstream = &self.upstreams[*index];
            let in_home_region = criteria.homes.contain(&upstream.region);
            let cold_rate_allows = !upstream.is_cold(now_us) || upstream.cold_bucket.has_one();
            let was_tried = criteria.tried.contains(&upstream.instance.id);
            upstream.accepts_requests(now_us) && in_home_region && cold_rate_allows && !was_tried
        };
        let all: Vec<usize> = (0..self.upstreams.len()).filter(allowed).collect();
        let not_paused = |index: &usize| !self.upstreams[*index].is_paused(now_us);
        let usable: Vec<usize> = all.iter().copied().filter(not_paused).collect();
        match usable.is_empty() {
            true => all,
            false => usable,
        }
    }

    /// The cost of sending the request to an upstream, and the estimates behind it.
    fn estimate_cost(
        &self,
        index: usize,
        standing: Standing,
        criteria: Criteria<'_>,
        now_us: TimeUs,
    ) -> (f64, Choice) {
        let upstream = &self.upstreams[index];
        let slots = f64::from(upstream.instance.slots.max(1));
        let load = upstream.load(self.mean_load.requests(now_us), now_us);
        let knows_object = |object| upstream.recently_sent(object);
        let has_affinity = match standing {
            Standing::Any | Standing::First => true,
            Standing::Next => criteria.object.is_some_and(knows_object),
        };
        let queue = (load + 1.0 - slots).max(0.0);
        let usual_wait_us = queue * self.mean_time_us / slots;
        let wait_us = usual_wait_us * upstream.slowness.mean_over(usual_wait_us, now_us);
        let run_slowness = upstream.slowness.after(wait_us, now_us);
        let mut run_us = criteria.run_times.run_us(has_affinity) * run_slowness;
        // The first slow run at a next upstream is not wasted: what overflows later finds affinity.
        let usual_us = run_us;
        if upstream.is_cold(now_us) {
            run_us *= COLD_RATIO;
        }
        let extra_us = run_us - usual_us;
        let mut cost = wait_us
            + run_us
            + EXTRA_RUN_COST * extra_us
            + LOAD_COST * self.mean_time_us * load / slots;
        if upstream.instance.failure_domain != *criteria.own_domain {
            cost += DOMAIN_COST_US;
        }
        // While it is paced, failures bound its requests by pauses and by the window.
        if self.states_slowness && upstream.pace.is_some() {
            let terms = PaceTerms {
                gateway_count: self.gateway_count,
                run_us: self.mean_time_us,
                is_for_any: standing == Standing::Any,
                now_us,
            };
            if upstream.is_over_pace(terms) {
                cost += OVER_PACE_COST * criteria.run_times.run_us(false);
            }
        } else if upstream.is_failing() {
            cost += FAILING_COST_US;
        }
        // An answer after the deadline is of no use to the client.
        cost += LATE_COST * (wait_us + run_us * RUN_MARGIN - criteria.remaining_us).max(0.0);
        let choice = Choice {
            index,
            wait_us,
            run_us,
            has_affinity,
        };
        (cost, choice)
    }
}

/// The most retries that one gateway may save up: half of its part of `retry_slack`, since a full
/// bucket can be used up and refilled within one window.
fn retry_burst_max(bounds: &GateBounds, gateway_count: usize) -> f64 {
    (bounds.retry_slack * SLACK_USED / 2.0 / gateway_count.max(1) as f64).max(1.0)
}
