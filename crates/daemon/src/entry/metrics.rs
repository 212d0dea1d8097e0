//! The counters of an entry.

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};
use route::{Ending, Settled};
use types::{Outcome, Refusal};

/// How requests ended, by outcome and refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Settlement {
    outcome: OutcomeLabel,
    refusal: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum OutcomeLabel {
    Finished,
    DidNotRun,
    Unknown,
    CutShort,
    Cancelled,
}

impl Settlement {
    /// The labels of a request that no upstream answered.
    pub fn of(settled: Settled) -> Self {
        let outcome = match settled.outcome {
            Outcome::Finished => OutcomeLabel::Finished,
            Outcome::DidNotRun => OutcomeLabel::DidNotRun,
            Outcome::Unknown => OutcomeLabel::Unknown,
        };
        let refusal = settled.refusal.map_or("", Refusal::into);
        Self {
            outcome,
            refusal: refusal.to_owned(),
        }
    }

    /// The labels of a request that this ending ends; none when it may be tried again.
    pub const fn ended(ending: Ending) -> Option<Self> {
        let outcome = match ending {
            Ending::Finished { .. } => OutcomeLabel::Finished,
            Ending::CutShort => OutcomeLabel::CutShort,
            Ending::Cancelled => OutcomeLabel::Cancelled,
            Ending::NotSent | Ending::Refused | Ending::Broken => return None,
        };
        Some(Self {
            outcome,
            refusal: String::new(),
        })
    }
}

/// The counters of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    requests: Family<Settlement, Counter>,
    /// Look-ups answered.
    pub lookups: Counter,
    /// Announcements that were the latest of their upstream.
    pub announcements: Counter,
    /// Announcements that an already known one outdates.
    pub outdated_announcements: Counter,
    /// Requests answered with the kept answer of an earlier one with the same key.
    pub replays: Counter,
    /// Frames that break their rules.
    pub malformed_frames: Counter,
    /// Whether the configuration lease is held.
    pub lease_held: Gauge,
    /// The index of the configuration in use.
    pub applied_index: Gauge,
    /// Time from a request's head to its answer's head.
    pub answer_seconds: Histogram,
}

impl EntryMetrics {
    /// Counters that start at zero, registered in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Family::default(),
            lookups: Counter::default(),
            announcements: Counter::default(),
            outdated_announcements: Counter::default(),
            replays: Counter::default(),
            malformed_frames: Counter::default(),
            lease_held: Gauge::default(),
            applied_index: Gauge::default(),
            answer_seconds: Histogram::new(exponential_buckets(0.000_5, 2.0, 16)),
        };
        metrics.register(registry);
        metrics
    }

    /// Counts the end of a request.
    pub fn count(&self, settlement: Settlement) {
        self.requests.get_or_create(&settlement).inc();
    }

    fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests by outcome and refusal",
            self.requests.clone(),
        );
        registry.register("lookups", "Look-ups answered", self.lookups.clone());
        registry.register(
            "announcements",
            "Latest announcements",
            self.announcements.clone(),
        );
        let outdated = self.outdated_announcements.clone();
        registry.register(
            "outdated_announcements",
            "Announcements already outdated",
            outdated,
        );
        registry.register(
            "replays",
            "Requests answered with a kept answer",
            self.replays.clone(),
        );
        let malformed = self.malformed_frames.clone();
        registry.register(
            "malformed_frames",
            "Frames that break their rules",
            malformed,
        );
        registry.register(
            "configuration_lease_held",
            "1 while the configuration lease is held",
            self.lease_held.clone(),
        );
        registry.register(
            "configuration_applied_index",
            "Index of the configuration in use",
            self.applied_index.clone(),
        );
        registry.register_with_unit(
            "answer",
            "Time from a request's head to its answer's head",
            Unit::Seconds,
            self.answer_seconds.clone(),
        );
    }
}
