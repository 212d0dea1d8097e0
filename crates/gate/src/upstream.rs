//! One upstream as a gateway sees it.

use crate::{
    api::{Ending, Load},
    bucket::Bucket,
};
use plan::{Instance, InstanceState};
use std::collections::VecDeque;
use types::{RegionName, TimeUs};

/// What an upstream said of its load fades to what others of its service say within this time.
const REPORT_FADE_US: f64 = 800_000.0;

/// The weight of a new sample of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// The weight of a new sample of time.
const TIME_WEIGHT: f64 = 0.15;

/// A slow upstream's time fades to that of its service within this time.
const TIME_FADE_US: f64 = 6_000_000.0;

/// An upstream that fails so many attempts in a row gets none for a while.
const FAILURES_MAX: u32 = 3;

/// The shortest pause after failures, in milliseconds.
const PAUSE_MIN_MS: u64 = 500;

/// The longest pause after failures, in milliseconds.
const PAUSE_MAX_MS: u64 = 8_000;

/// Objects of which it is remembered that the upstream handled them.
const OBJECTS_MAX: usize = 16;

/// Failures above this part make an upstream the last choice.
const FAILING: f64 = 0.25;

/// One upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) instance: Instance,
    pub(crate) region: RegionName,
    pub(crate) is_evacuated: bool,
    pub(crate) cold_until_us: TimeUs,
    /// Requests of this gateway that it has.
    pub(crate) own: u32,
    /// Requests of other gateways that it had when it last told.
    others: f64,
    others_us: TimeUs,
    failing: f64,
    failures: u32,
    pause_ms: u64,
    paused_until_us: TimeUs,
    /// How much slower than its service it is.
    slowness: f64,
    slowness_us: TimeUs,
    pub(crate) cold_bucket: Bucket,
    /// The objects that this gateway sent there last, the latest at the end.
    objects: VecDeque<u64>,
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
            cold_until_us,
            own: 0,
            others: 0.0,
            others_us: TimeUs(0),
            failing: 0.0,
            failures: 0,
            pause_ms: PAUSE_MIN_MS,
            paused_until_us: now_us,
            slowness: 1.0,
            slowness_us: now_us,
            cold_bucket: Bucket::new(0.0, now_us),
            objects: VecDeque::new(),
        }
    }

    /// Whether new work may go there at all.
    pub(crate) fn takes_work(&self) -> bool {
        self.instance.state == InstanceState::Ready && !self.is_evacuated
    }

    /// Whether failures keep it from getting work now.
    pub(crate) fn is_paused(&self, now_us: TimeUs) -> bool {
        !self.paused_until_us.reached(now_us) || (self.failures >= FAILURES_MAX && self.own > 0)
    }

    pub(crate) fn is_cold(&self, now_us: TimeUs) -> bool {
        !self.cold_until_us.reached(now_us)
    }

    /// Whether it fails so often that others go first.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing > FAILING
    }

    /// Requests that it has, by its last word and by what others of its service have.
    pub(crate) fn load(&self, usual_others: f64, now_us: TimeUs) -> f64 {
        let age_us = now_us.since_us(self.others_us) as f64;
        let known = (-age_us / REPORT_FADE_US).exp();
        f64::from(self.own) + known * self.others + (1.0 - known) * usual_others
    }

    /// How much slower than its service it is, as far as is known now.
    pub(crate) fn slowness(&self, now_us: TimeUs) -> f64 {
        let age_us = now_us.since_us(self.slowness_us) as f64;
        1.0 + (self.slowness - 1.0) * (-age_us / TIME_FADE_US).exp()
    }

    /// Notes what it said of its load; returns how many requests of others it has.
    pub(crate) fn note_load(&mut self, load: Load, now_us: TimeUs) -> f64 {
        let reported = f64::from(load.running + load.waiting);
        // The answered request may still be counted; it is over for this gateway.
        let others = (reported - f64::from(self.own)).max(0.0);
        self.others = others;
        self.others_us = now_us;
        others
    }

    /// Notes how long a request took there beside what its service usually takes.
    pub(crate) fn note_time(&mut self, ratio: f64, now_us: TimeUs) {
        let slowness = self.slowness(now_us);
        self.slowness = slowness + TIME_WEIGHT * (ratio - slowness);
        self.slowness_us = now_us;
    }

    /// Whether this gateway sent an object there lately.
    pub(crate) fn knows(&self, object: u64) -> bool {
        self.objects.contains(&object)
    }

    /// Notes an object that is sent there.
    pub(crate) fn note_object(&mut self, object: u64) {
        self.objects.retain(|known| *known != object);
        if self.objects.len() == OBJECTS_MAX {
            self.objects.pop_front();
        }
        self.objects.push_back(object);
    }

    /// Notes how an attempt ended; whether the upstream gets no work for a while because of it.
    pub(crate) fn note_ending(&mut self, ending: Ending, now_us: TimeUs) -> bool {
        let paused_until_us = self.paused_until_us;
        match ending {
            Ending::Answered => {
                self.failing -= FAILURE_WEIGHT * self.failing;
                self.failures = 0;
                self.pause_ms = PAUSE_MIN_MS;
            }
            Ending::Failed | Ending::Broken | Ending::TimedOut | Ending::NotSent => {
                self.failing += FAILURE_WEIGHT * (1.0 - self.failing);
                self.failures += 1;
                let is_unreachable = ending == Ending::NotSent;
                if is_unreachable || self.failures >= FAILURES_MAX {
                    self.pause(now_us);
                }
            }
            Ending::Misdirected => self.pause(now_us),
            Ending::Full | Ending::Left => {}
        }
        self.paused_until_us != paused_until_us
    }

    fn pause(&mut self, now_us: TimeUs) {
        self.paused_until_us = now_us.after_ms(self.pause_ms);
        self.pause_ms = (2 * self.pause_ms).min(PAUSE_MAX_MS);
    }
}
