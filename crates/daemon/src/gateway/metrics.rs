//! Prometheus metrics of a gateway.

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

/// Upper bound of the first latency bucket, in seconds.
const LATENCY_FIRST_S: f64 = 0.005;

/// Ratio of the upper bounds of two neighbouring latency buckets.
const LATENCY_FACTOR: f64 = 1.6;

/// Number of latency buckets.
const LATENCY_BUCKETS: u16 = 16;

/// Labels of refused requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    cause: &'static str,
    /// The priority that the request counts with; `none` when it is refused for another reason than a lack
    /// of capacity.
    priority: &'static str,
}

/// Label of the counter of attempts by how they ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    cause: &'static str,
}

/// Labels of the latency histogram: the request's route and the service that ran it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LatencyLabels {
    route: String,
    service: String,
}

/// Metrics of a gateway; the prefix of their names is `oleanderwell_gateway`.
#[derive(Debug)]
pub struct GatewayMetrics {
    /// Requests received from clients.
    pub requests: Counter,
    /// Time in seconds from a request's arrival to its successful answer, retries included.
    answered_s: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    /// Retries: attempts after the first of a request.
    pub retries: Counter,
    /// Connections to upstreams that the gateway tried to open.
    pub connections: Counter,
    /// Control replicas that did not send large changes in time.
    pub fetch_timeouts: Counter,
    /// Version of the plan in force.
    pub plan_version: Gauge,
    small_body_room: Gauge,
    large_body_room: Gauge,
    refused: Family<RefusalLabels, Counter>,
    ended: Family<CauseLabel, Counter>,
}

impl GatewayMetrics {
    /// Creates the metrics, all zero, and registers them in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Counter::default(),
            answered_s: Family::new_with_constructor(latency_histogram),
            retries: Counter::default(),
            connections: Counter::default(),
            fetch_timeouts: Counter::default(),
            plan_version: Gauge::default(),
            small_body_room: Gauge::default(),
            large_body_room: Gauge::default(),
            refused: Family::default(),
            ended: Family::default(),
        };
        let (requests, retries) = (metrics.requests.clone(), metrics.retries.clone());
        let (refused, ended) = (metrics.refused.clone(), metrics.ended.clone());
        let connections = metrics.connections.clone();
        registry.register("requests", "Requests of clients", requests);
        registry.register(
            "answered_seconds",
            "Time of answers passed on",
            metrics.answered_s.clone(),
        );
        registry.register("repeats", "Attempts beyond the first", retries);
        registry.register("connections", "Connections to upstreams", connections);
        registry.register(
            "refused",
            "Requests not forwarded, by cause and priority",
            refused,
        );
        registry.register("attempts", "Attempts, by how they ended", ended);
        registry.register(
            "fetch_timeouts",
            "Control replicas that did not send large changes in time",
            metrics.fetch_timeouts.clone(),
        );
        registry.register(
            "plan_version",
            "Version of the plan that runs",
            metrics.plan_version.clone(),
        );
        registry.register(
            "small_body_room_bytes",
            "Room left for small bodies of requests, when one was last read",
            metrics.small_body_room.clone(),
        );
        registry.register(
            "large_body_room_bytes",
            "Room left for large bodies of requests, when one was last read",
            metrics.large_body_room.clone(),
        );
        metrics
    }

    /// Records the room that is left for small and for large bodies, in bytes.
    pub fn record_body_room(&self, [small_bytes, large_bytes]: [usize; 2]) {
        let gauge = |bytes| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.small_body_room.set(gauge(small_bytes));
        self.large_body_room.set(gauge(large_bytes));
    }

    /// Records the latency of a successful answer, in microseconds since the request arrived.
    pub fn observe_answer(&self, target: &Target, latency_us: u64) {
        let labels = LatencyLabels {
            route: target.route.clone(),
            service: target.service.to_string(),
        };
        let histogram = self.answered_s.get_or_create(&labels);
        histogram.observe(latency_us as f64 / 1e6);
    }

    /// Counts a request that is refused without being forwarded, with its priority if that counted.
    pub fn count_refused(&self, refusal: Refusal, priority: Option<u32>) {
        let labels = RefusalLabels {
            cause: refusal.as_str(),
            priority: priority.map_or("none", priority_label),
        };
        self.refused.get_or_create(&labels).inc();
    }

    /// Counts an attempt by how it ended.
    pub fn count_attempt_end(&self, ending: Ending) {
        let cause = ending.as_str();
        self.ended.get_or_create(&CauseLabel { cause }).inc();
    }
}

/// The label of a priority; there is a fixed number of them, whatever plans declare.
const fn priority_label(priority: u32) -> &'static str {
    match priority {
        0 => "0",
        1 => "1",
        2 => "2",
        3 => "3",
        _ => "4+",
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        LATENCY_FIRST_S,
        LATENCY_FACTOR,
        LATENCY_BUCKETS,
    ))
}
