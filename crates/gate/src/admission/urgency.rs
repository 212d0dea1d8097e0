//! How long requests may queue, by what else uses the service.
//!
//! Upstreams run what waits in order of arrival. Without a bound, requests of little urgency and with
//! a long target fill the queues until more urgent ones are refused. So a request may queue less long
//! than those of more urgent routes. Only priorities with a fair part of the service's latest requests
//! count, so that a few requests bound nobody.

use types::TimeUs;

/// How long a request may queue, as a multiple of its target. The estimate of the wait is rough, and
/// an answer after the target is still of use to the client.
const WAIT_TARGETS: f64 = 1.5;

/// How long a request may queue, as a fraction of what the most restricted one of a more urgent
/// priority may. The difference keeps room in the queues for the more urgent.
const LESS_URGENT_FRACTION: f64 = 0.75;

/// How long a request of a party above its share may queue, as a fraction of the shortest bound of its
/// priority. The difference keeps room in the queues for parties below their share. At 0.5 the requests
/// of those below are late in lasting overload; at 0.35 upstreams are as busy, and they are in time.
pub(crate) const ABOVE_SHARE_FRACTION: f64 = 0.35;

/// The time constant with which requests of a route are forgotten, in microseconds.
const DECAY_US: f64 = 2_000_000.0;

/// A priority with a smaller part of the service's latest requests bounds no other, nor does a route
/// with a smaller part of its priority's.
const PART_MIN: f64 = 0.05;

/// A route whose decayed count of requests is below this is dropped.
const REQUESTS_MIN: f64 = 0.01;

/// Routes that are counted, by priority. When there are more, that with the fewest requests is dropped.
const ROUTES_MAX: usize = 64;

/// How long a request with this target may queue, in microseconds, when no other route uses the
/// service.
pub(crate) fn queue_max_us(target_us: u64) -> f64 {
    target_us as f64 * WAIT_TARGETS
}

/// How long a request may queue, by what uses the service beside it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// What more urgent requests leave; infinite when there are none.
    pub(crate) urgency_us: f64,
    /// The same while the capacity of the service is short: less than what a more urgent party above its
    /// share may queue.
    pub(crate) short_urgency_us: f64,
    /// The shortest bound of the routes of its priority, its own included, without what more urgent
    /// requests leave.
    pub(crate) shortest_us: f64,
}

#[derive(Clone, Debug)]
struct ActiveRoute {
    name: String,
    /// 0 is the most urgent.
    priority: u32,
    wait_max_us: f64,
    /// The count of its requests, each weighted with `exp(-age / DECAY_US)`, as of `counted_us`.
    requests: f64,
    counted_us: TimeUs,
}

impl ActiveRoute {
    fn requests(&self, now_us: TimeUs) -> f64 {
        let age_us = now_us.since_us(self.counted_us) as f64;
        self.requests * (-age_us / DECAY_US).exp()
    }
}

/// The routes whose requests a service got lately, in the order of their priorities.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveRoutes {
    routes: Vec<ActiveRoute>,
}

impl ActiveRoutes {
    /// Counts a request of a route with this priority and target; returns the bounds on its wait.
    pub(crate) fn record(
        &mut self,
        name: &str,
        priority: u32,
        route_target_us: u64,
        now_us: TimeUs,
    ) -> Bounds {
        let own_us = queue_max_us(route_target_us);
        self.count(name, priority, own_us, now_us);
        let total: f64 = self.routes.iter().map(|route| route.requests(now_us)).sum();
        let mut urgency_us = f64::INFINITY;
        let mut short_urgency_us = f64::INFINITY;
        let mut shortest_us = own_us;
        for routes in self.routes.chunk_by(|a, b| a.priority == b.priority) {
            let of_priority: f64 = routes.iter().map(|it| it.requests(now_us)).sum();
            let counting = routes
                .iter()
                .filter(|it| it.requests(now_us) >= PART_MIN * of_priority);
            let shortest = counting.map(|it| it.wait_max_us);
            let shortest = shortest.fold(f64::INFINITY, f64::min);
            let is_counting = of_priority >= PART_MIN * total;
            if routes[0].priority == priority {
                shortest_us = own_us.min(shortest);
            } else if routes[0].priority < priority && is_counting {
                urgency_us = urgency_us.min(shortest) * LESS_URGENT_FRACTION;
                let most_restricted_us = short_urgency_us.min(shortest) * ABOVE_SHARE_FRACTION;
                short_urgency_us = most_restricted_us * LESS_URGENT_FRACTION;
            }
        }
        Bounds {
            urgency_us,
            short_urgency_us,
            shortest_us,
        }
    }

    fn count(&mut self, name: &str, priority: u32, wait_max_us: f64, now_us: TimeUs) {
        let is_it = |route: &ActiveRoute| route.priority == priority && route.name == name;
        let known = self.routes.iter().find(|route| is_it(route));
        let requests = known.map_or(0.0, |route| route.requests(now_us));
        let is_kept = |route: &ActiveRoute| !is_it(route) && route.requests(now_us) >= REQUESTS_MIN;
        self.routes.retain(is_kept);
        if self.routes.len() >= ROUTES_MAX {
            let counts = self.routes.iter().map(|route| route.requests(now_us));
            let fewest = counts.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b));
            if let Some((index, _)) = fewest {
                self.routes.remove(index);
            }
        }
        let position = self
            .routes
            .partition_point(|route| route.priority <= priority);
        let route = ActiveRoute {
            name: name.to_owned(),
            priority,
            wait_max_us,
            requests: requests + 1.0,
            counted_us: now_us,
        };
        self.routes.insert(position, route);
    }
}
