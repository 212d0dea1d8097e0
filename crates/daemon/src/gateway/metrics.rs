//! The counters of a gateway.

use gate::{Ending, Refusal, Target};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The first bucket of the latencies, in seconds.
const LATENCY_FIRST_S: f64 = 0.005;

/// Each bucket of the latencies ends at this many times the one before.
const LATENCY_FACTOR: f64 = 1.6;

/// The buckets of the latencies.
const LATENCY_BUCKETS: u16 = 16;

/// The label of a counter that has one for each cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Cause {
    cause: &'static str,
}

/// The labels of a latency: the route of the request and the service that ran it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Answered {
    route: String,
    service: String,
}

/// The counters of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    /// Requests of clients.
    pub requests: Counter,
    /// Answers of upstreams that were passed on, by their time in seconds.
    answered_s: Family<Answered, Histogram, fn() -> Histogram>,
    /// Attempts beyond the first of a request.
    pub repeats: Counter,
    /// Connections that were opened to upstreams.
    pub connections: Counter,
    /// The version of the plan that runs.
    pub plan_version: Gauge,
    refused: Family<Cause, Counter>,
    ended: Family<Cause, Counter>,
}

impl GatewayMetrics {
    /// Counters that start at zero, registered in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Counter::default(),
            answered_s: Family::new_with_constructor(latencies),
            repeats: Counter::default(),
            connections: Counter::default(),
            plan_version: Gauge::default(),
            refused: Family::default(),
            ended: Family::default(),
        };
        let (requests, repeats) = (metrics.requests.clone(), metrics.repeats.clone());
        let (refused, ended) = (metrics.refused.clone(), metrics.ended.clone());
        let connections = metrics.connections.clone();
        registry.register("requests", "Requests of clients", requests);
        registry.register(
            "answered_seconds",
            "Time of answers passed on",
            metrics.answered_s.clone(),
        );
        registry.register("repeats", "Attempts beyond the first", repeats);
        registry.register("connections", "Connections to upstreams", connections);
        registry.register("refused", "Requests not forwarded, by cause", refused);
        registry.register("attempts", "Attempts, by how they ended", ended);
        registry.register(
            "plan_version",
            "Version of the plan that runs",
            metrics.plan_version.clone(),
        );
        metrics
    }

    /// Notes an answer that is passed on.
    pub fn note_answered(&self, target: &Target, taken_us: u64) {
        let labels = Answered {
            route: target.route.clone(),
            service: target.service.to_string(),
        };
        let histogram = self.answered_s.get_or_create(&labels);
        histogram.observe(taken_us as f64 / 1e6);
    }

    /// Counts a request that is not forwarded.
    pub fn count_refused(&self, refusal: Refusal) {
        let cause = refusal.as_str();
        self.refused.get_or_create(&Cause { cause }).inc();
    }

    /// Counts the end of an attempt.
    pub fn count_ended(&self, ending: Ending) {
        let cause = ending.as_str();
        self.ended.get_or_create(&Cause { cause }).inc();
    }
}

fn latencies() -> Histogram {
    Histogram::new(exponential_buckets(
        LATENCY_FIRST_S,
        LATENCY_FACTOR,
        LATENCY_BUCKETS,
    ))
}
