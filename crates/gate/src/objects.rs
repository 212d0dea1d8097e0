//! Estimates how many objects the requests for a service are about, and so how many upstreams of a region
//! may share each of them.
//!
//! An upstream remembers only some objects. Two upstreams for each object share its load and can stand in
//! for one another without a slow first run, but only as long as they can remember twice as many objects.

use std::collections::HashSet;
use types::TimeUs;

/// How long the objects of requests are collected before the count starts anew, in milliseconds.
const PERIOD_MS: u64 = 10_000;

/// With fewer requests in a period their objects tell nothing of the number of objects.
const REQUESTS_MIN: u64 = 32;

/// The most objects that are told apart; with more of them an object has one upstream anyway.
const OBJECTS_MAX: usize = 4_096;

/// How many objects an upstream is given on average. Hashing gives some upstreams twice as many, and an
/// upstream remembers some 17.
const OBJECTS_PER_UPSTREAM: f64 = 8.0;

/// The most upstreams that share an object.
const COPIES_MAX: f64 = 2.0;

/// The objects of the latest requests for a service in one region.
#[derive(Clone, Debug)]
pub(crate) struct ObjectCount {
    objects: HashSet<u64>,
    requests: u64,
    period_end_us: TimeUs,
    /// The estimate of the last period with enough requests.
    estimate: Option<f64>,
}

impl ObjectCount {
    pub(crate) fn new(now_us: TimeUs) -> Self {
        Self {
            objects: HashSet::new(),
            requests: 0,
            period_end_us: now_us.after_ms(PERIOD_MS),
            estimate: None,
        }
    }

    /// Counts a request for an object.
    pub(crate) fn record(&mut self, object: u64, now_us: TimeUs) {
        if self.period_end_us.reached(now_us) {
            self.estimate = self.current().or(self.estimate);
            self.objects.clear();
            self.requests = 0;
            self.period_end_us = now_us.after_ms(PERIOD_MS);
        }
        self.requests += 1;
        if self.objects.len() < OBJECTS_MAX {
            self.objects.insert(object);
        }
    }

    /// How many upstreams of a region with this many of them may share an object, at least 1.
    pub(crate) fn copies(&self, upstreams: usize) -> usize {
        let Some(objects) = self.estimate.or_else(|| self.current()) else {
            return 1;
        };
        let copies = OBJECTS_PER_UPSTREAM * upstreams as f64 / objects.max(1.0);
        copies.clamp(1.0, COPIES_MAX) as usize
    }

    /// The estimate from this period; none with too few requests.
    fn current(&self) -> Option<f64> {
        let is_enough = self.requests >= REQUESTS_MIN;
        is_enough.then(|| extrapolate(self.objects.len() as f64, self.requests as f64))
    }
}

/// How many equally popular objects there are when `requests` of them named `distinct` different ones: the
/// solution `n` of `distinct = n * (1 - exp(-requests / n))`.
fn extrapolate(distinct: f64, requests: f64) -> f64 {
    const STEPS: usize = 40;
    let expected = |objects: f64| objects * (1.0 - (-requests / objects).exp());
    let (mut low, mut high) = (distinct, distinct * requests);
    for _ in 0..STEPS {
        let middle = (low + high) / 2.0;
        match expected(middle) < distinct {
            true => low = middle,
            false => high = middle,
        }
    }
    (low + high) / 2.0
}
