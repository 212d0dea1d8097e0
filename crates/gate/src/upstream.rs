//! One upstream: its load, speed and failures, as a gateway estimates them.

use crate::{
    api::{Ending, Load, PaceCause},
    bucket::TokenBucket,
    pace::{OtherLoad, Pace, PaceTerms},
    slowness::Slowness,
    withheld::Withheld,
};
use plan::{Instance, InstanceState};
use std::collections::VecDeque;
use types::{RegionName, TimeUs};

/// The time constant with which the estimated load decays from the upstream's last report to the
/// mean of its service, in microseconds.
const REPORT_DECAY_US: f64 = 800_000.0;

/// The largest load that is counted, in requests for each slot. A request would queue there for seven
/// runs, longer than any may; a larger number changes no decision, and would take longer to forget.
const REQUESTS_PER_SLOT_MAX: f64 = 8.0;

/// The weight of a new sample in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// An upstream is paused after this many failed attempts in a row.
const FAILURES_MAX: u32 = 3;

/// The first pause after failures, in milliseconds; each further one is twice as long until an
/// attempt is answered.
pub(crate) const PAUSE_MIN_MS: u64 = 500;

/// The longest pause after failures, in milliseconds.
pub(crate) const PAUSE_MAX_MS: u64 = 8_000;

/// How many recent objects are remembered for each upstream.
const RECENT_OBJECTS_MAX: usize = 16;

/// A failure rate above this fraction makes an upstream the last choice.
const FAILING_RATE: f64 = 0.25;

/// An instance that requests may go to, with what this gateway measured there.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) instance: Instance,
    pub(crate) region: RegionName,
    pub(crate) is_evacuated: bool,
    /// What this run of it asked for in its answers.
    pub(crate) withheld: Withheld,
    /// When it stops being cold. An instance says at registration how long it is cold; until then
    /// it gets at most the plan's rate of requests for cold upstreams.
    pub(crate) cold_until_us: TimeUs,
    /// Attempts of this gateway that have not ended.
    pub(crate) own_requests: u32,
    /// Requests that it had from other gateways when it last reported its load.
    other_requests: f64,
    /// Whether requests were queued there when it last reported its load.
    is_queueing: bool,
    /// When it last reported its load; 0 before the first report.
    reported_us: TimeUs,
    /// The moving average of failed attempts, from 0 to 1.
    failure_rate: f64,
    consecutive_failures: u32,
    /// The length of the next pause.
    pause_ms: u64,
    pub(crate) paused_until_us: TimeUs,
    /// How long work takes here, compared with the usual time.
    pub(crate) slowness: Slowness,
    /// Limits its requests after a start or a pause; none once it is filled.
    pub(crate) pace: Option<Pace>,
    /// From 0 to 1, different at each gateway: when within an interval this one sends its first
    /// request to a paced upstream.
    pub(crate) phase: f64,
    /// Limits the requests that are sent while it is cold.
    pub(crate) cold_bucket: TokenBucket,
    /// The objects of the latest requests that this gateway sent there, the latest at the end.
    recent_objects: VecDeque<u64>,
}

impl Upstream {
    pub(crate) fn new(
        instance: Instance,
        region: RegionName,
        cold_until_us: TimeUs,
        now_us: TimeUs,
    ) -> Self {
        Self {
            instance,
            region,
            is_evacuated: false,
            withheld: Withheld::default(),
            cold_until_us,
            own_requests: 0,
            other_requests: 0.0,
            is_queueing: false,
            reported_us: TimeUs(0),
            failure_rate: 0.0,
            consecutive_failures: 0,
            pause_ms: PAUSE_MIN_MS,
            paused_until_us: now_us,
            slowness: Slowness::new(now_us),
            pace: None,
            phase: 0.0,
            cold_bucket: TokenBucket::new(0.0, now_us),
            recent_objects: VecDeque::new(),
        }
    }

    /// Whether it accepts new requests: neither draining, nor leaving, nor in an evacuated failure
    /// domain, nor within a backoff that it asked for.
    pub(crate) fn accepts_requests(&self, now_us: TimeUs) -> bool {
        self.instance.state == InstanceState::Ready
            && !self.is_evacuated
            && !self.withheld.is_withheld(now_us)
    }

    /// Whether failures keep requests away now; it gets them only when no other upstream is usable.
    /// After `FAILURES_MAX` failures in a row and the pause that follows, it gets one request at a
    /// time until one succeeds.
    pub(crate) fn is_paused(&self, now_us: TimeUs) -> bool {
        !self.paused_until_us.reached(now_us)
            || (self.consecutive_failures >= FAILURES_MAX && self.own_requests > 0)
    }

    pub(crate) fn is_cold(&self, now_us: TimeUs) -> bool {
        !self.cold_until_us.reached(now_us)
    }

    /// Whether it fails so often that others are preferred.
    pub(crate) fn is_failing(&self) -> bool {
        self.failure_rate > FAILING_RATE
    }

    /// Estimates how many requests it has, from its last load report and the mean of its service.
    /// The older the report, the more the mean counts.
    pub(crate) fn load(&self, mean_other_requests: f64, now_us: TimeUs) -> f64 {
        let age_us = now_us.since_us(self.reported_us) as f64;
        let freshness = (-age_us / REPORT_DECAY_US).exp();
        f64::from(self.own_requests)
            + freshness * self.other_requests
            + (1.0 - freshness) * mean_other_requests
    }

    /// What it last stated of its requests from other gateways; none before the first report.
    pub(crate) fn other_load(&self) -> Option<OtherLoad> {
        let other_load = OtherLoad {
            requests: self.other_requests,
            is_queueing: self.is_queueing,
            reported_us: self.reported_us,
        };
        (self.reported_us != TimeUs(0)).then_some(other_load)
    }

    /// Paces it from now on, unless it is paced already. `trouble` is the load at which it had
    /// trouble.
    pub(crate) fn start_pace(&mut self, cause: PaceCause, trouble: f64, now_us: TimeUs) {
        let pace = Pace::new(cause, trouble, self.phase, now_us);
        self.pace.get_or_insert(pace);
    }

    /// Whether its pace allows no further request of this gateway now.
    pub(crate) fn is_over_pace(&self, terms: PaceTerms) -> bool {
        let (own, others, slots) = (self.own_requests, self.other_load(), self.instance.slots);
        let pace = self.pace.as_ref();
        pace.is_some_and(|it| !it.allows(own, others, slots, terms))
    }

    /// Records a load report; returns how many requests it has from other gateways, as far as its
    /// slots make that credible.
    pub(crate) fn record_load(&mut self, load: Load, now_us: TimeUs) -> f64 {
        let reported = f64::from(load.running) + f64::from(load.waiting);
        let credible_max = REQUESTS_PER_SLOT_MAX * f64::from(self.instance.slots.max(1));
        // The report may still count the request that it came with, which this gateway no longer
        // counts, so the estimate may be one too high.
        let other_requests = (reported - f64::from(self.own_requests)).clamp(0.0, credible_max);
        self.other_requests = other_requests;
        self.is_queueing = load.waiting > 0;
        self.reported_us = now_us;
        if let Some(percent) = load.slowness_percent {
            self.slowness.record_stated(percent, now_us);
        }
        other_requests
    }

    /// Whether this gateway lately sent a request for an object there.
    pub(crate) fn recently_sent(&self, object: u64) -> bool {
        self.recent_objects.contains(&object)
    }

    /// Records that a request for an object is sent there.
    pub(crate) fn record_object(&mut self, object: u64) {
        self.recent_objects.retain(|known| *known != object);
        if self.recent_objects.len() == RECENT_OBJECTS_MAX {
            self.recent_objects.pop_front();
        }
        self.recent_objects.push_back(object);
    }

    /// Records how an attempt ended; returns whether a pause starts or is extended because of it.
    pub(crate) fn record_ending(&mut self, ending: Ending, now_us: TimeUs) -> bool {
        let paused_until_us = self.paused_until_us;
        match ending {
            Ending::Answered => {
                self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
                self.consecutive_failures = 0;
                self.pause_ms = PAUSE_MIN_MS;
            }
            Ending::Failed
            | Ending::Ambiguous
            | Ending::Broken
            | Ending::TimedOut
            | Ending::NotSent => {
                self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
                self.consecutive_failures += 1;
                let is_unreachable = ending == Ending::NotSent;
                if is_unreachable || self.consecutive_failures >= FAILURES_MAX {
                    self.pause(now_us);
                }
            }
            Ending::Misdirected => self.pause(now_us),
            Ending::Full | Ending::Left => {}
        }
        self.paused_until_us != paused_until_us
    }

    /// Pauses it, and doubles the next pause up to the maximum.
    fn pause(&mut self, now_us: TimeUs) {
        self.paused_until_us = now_us.after_ms(self.pause_ms);
        self.pause_ms = (2 * self.pause_ms).min(PAUSE_MAX_MS);
    }
}
