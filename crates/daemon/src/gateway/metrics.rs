//! Prometheus metrics of a gateway.

use crate::gateway::tenants::TenantRequests;
use gate::{Ending, Load, PaceChange, Refusal, Target};
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

/// First bucket of the slowness that upstreams state; 1 is the usual time.
const SLOWNESS_FIRST: f64 = 0.5;

/// Ratio of the upper bounds of two neighbouring slowness buckets.
const SLOWNESS_FACTOR: f64 = 1.25;

/// Number of slowness buckets; the last one ends at nine times the usual time.
const SLOWNESS_BUCKETS: u16 = 14;

/// Larger figures are counted as this one, in percent, so that a nonsensical one doesn't spoil the sum.
const SLOWNESS_MAX_PERCENT: u32 = 1_000;

/// Labels of the counter of runs for objects. Routes and services are those of the plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ObjectRunLabels {
    route: String,
    service: String,
    /// Whether the upstream had likely handled the object lately: `yes` or `no`.
    affinity: &'static str,
}

/// Label of the counter of pace changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PaceLabel {
    change: &'static str,
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
    /// Tokens of tenants' quotas that the leader granted.
    pub granted_tokens: Counter,
    /// Requests that waited for a token.
    pub token_waits: Counter,
    /// Version of the plan in force.
    pub plan_version: Gauge,
    /// Requests of tenants by name.
    pub tenant_requests: TenantRequests,
    /// 1 while the gateway holds the lease on keys, else 0.
    pub holds_keys: Gauge,
    /// How often the lease on keys ended.
    pub key_leases_lost: Counter,
    small_body_room: Gauge,
    large_body_room: Gauge,
    refused: Family<RefusalLabels, Counter>,
    ended: Family<CauseLabel, Counter>,
    pace_changes: Family<PaceLabel, Counter>,
    object_runs: Family<ObjectRunLabels, Counter>,
    stated_slowness: Histogram,
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
            granted_tokens: Counter::default(),
            token_waits: Counter::default(),
            plan_version: Gauge::default(),
            tenant_requests: TenantRequests::default(),
            holds_keys: Gauge::default(),
            key_leases_lost: Counter::default(),
            small_body_room: Gauge::default(),
            large_body_room: Gauge::default(),
            refused: Family::default(),
            ended: Family::default(),
            pace_changes: Family::default(),
            object_runs: Family::default(),
            stated_slowness: Histogram::new(exponential_buckets(
                SLOWNESS_FIRST,
                SLOWNESS_FACTOR,
                SLOWNESS_BUCKETS,
            )),
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
            "pace_changes",
            "Changes of the pace of upstreams that started or recovered",
            metrics.pace_changes.clone(),
        );
        registry.register(
            "object_runs",
            "Answered requests that name an object, by whether their upstream likely knew it",
            metrics.object_runs.clone(),
        );
        registry.register(
            "stated_slowness_ratio",
            "How long upstreams said that work takes, as a multiple of the usual time",
            metrics.stated_slowness.clone(),
        );
        registry.register(
            "fetch_timeouts",
            "Control replicas that did not send large changes in time",
            metrics.fetch_timeouts.clone(),
        );
        registry.register(
            "granted_tokens",
            "Tokens of quotas that the leader granted",
            metrics.granted_tokens.clone(),
        );
        registry.register(
            "token_waits",
            "Requests that waited for a token of a quota",
            metrics.token_waits.clone(),
        );
        registry.register(
            "plan_version",
            "Version of the plan that runs",
            metrics.plan_version.clone(),
        );
        registry.register(
            "tenant_requests",
            "Requests with a known key, by tenant and decision",
            metrics.tenant_requests.clone(),
        );
        registry.register(
            "key_lease_held",
            "Whether the gateway may rely on the keys that it knows",
            metrics.holds_keys.clone(),
        );
        registry.register(
            "key_leases_lost",
            "How often the lease on keys ended",
            metrics.key_leases_lost.clone(),
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

    /// Records the latency of a successful answer, in microseconds since the request arrived, and
    /// whether the upstream likely knew the request's object.
    pub fn observe_answer(&self, target: &Target, latency_us: u64) {
        if let Some(has_affinity) = target.has_affinity {
            let labels = ObjectRunLabels {
                route: target.route.clone(),
                service: target.service.to_string(),
                affinity: if has_affinity { "yes" } else { "no" },
            };
            self.object_runs.get_or_create(&labels).inc();
        }
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

    /// Counts a request that is answered with 401.
    pub fn count_unauthorized(&self, cause: &'static str) {
        let priority = "none";
        let labels = RefusalLabels { cause, priority };
        self.refused.get_or_create(&labels).inc();
    }

    /// Records how long an upstream says that work takes there, if it says so.
    pub fn observe_load(&self, load: Option<Load>) {
        if let Some(percent) = load.and_then(|it| it.slowness_percent) {
            let percent = percent.min(SLOWNESS_MAX_PERCENT);
            self.stated_slowness.observe(f64::from(percent) / 100.0);
        }
    }

    /// Counts a change of an upstream's pace.
    pub fn count_pace_change(&self, change: PaceChange) {
        let change = change.as_str();
        self.pace_changes.get_or_create(&PaceLabel { change }).inc();
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
