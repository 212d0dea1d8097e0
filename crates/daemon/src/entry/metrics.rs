//! Prometheus metrics of an entry.

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

/// Labels of the counter `requests`: the outcome, and the refusal or an empty string.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
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

impl EndLabels {
    /// The labels of a request that the core ended without relaying an answer.
    pub fn from_settled(settled: Settled) -> Self {
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

    /// The labels of a request that ended with this attempt; `None` when the core may retry it.
    pub const fn from_ending(ending: Ending) -> Option<Self> {
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

/// Metrics of an entry; the prefix of their names is `oleanderwell_entry`.
#[derive(Debug)]
pub struct EntryMetrics {
    requests: Family<EndLabels, Counter>,
    /// Look-ups received, also those of unknown services.
    pub lookups: Counter,
    /// Announcements accepted as the newest of their upstream.
    pub announcements: Counter,
    /// Announcements ignored because a newer one of the upstream is known.
    pub outdated_announcements: Counter,
    /// Requests answered with the stored answer of an earlier request with the same idempotency
    /// key.
    pub replays: Counter,
    /// Link frames that could not be decoded or are not meant for an entry.
    pub malformed_frames: Counter,
    /// 1 while the configuration lease is held, else 0.
    pub lease_held: Gauge,
    /// Log index of the configuration in use.
    pub applied_index: Gauge,
    /// Time from the head of a forwarded request to the head of its answer, in seconds.
    pub answer_seconds: Histogram,
}

impl EntryMetrics {
    /// Creates the metrics, all zero, and registers them in `registry`.
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

    /// Counts a request by how it ended.
    pub fn count_end(&self, labels: EndLabels) {
        self.requests.get_or_create(&labels).inc();
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
