//! Checks the routers from outside: no more traffic may leave a region than the cap permits.

use route::Cap;

/// Requests of one service at one entry.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    /// Requests that may have left the region so far, in hundredths of a request.
    allowed_hundredths: u64,
    /// Requests that left the region so far.
    remote_requests: u64,
}

/// Counts the requests of every entry and service that arrive and that go to another region.
///
/// The fraction of the arrivals that may leave the region rises by the cap with each interval since
/// the start, up to 100%. Beyond the sum of these fractions one request more may leave, since a
/// request can't be split.
#[derive(Debug)]
pub struct CapCheck {
    cap: Cap,
    services: usize,
    traffic: Vec<Traffic>,
    /// How often a request left the region beyond that limit.
    pub violations: u64,
}

impl CapCheck {
    /// No request has arrived.
    #[must_use]
    pub fn new(cap: Cap, entries: usize, services: usize) -> Self {
        Self {
            cap,
            services,
            traffic: vec![Traffic::default(); entries * services],
            violations: 0,
        }
    }

    /// Counts a request that arrives at an entry.
    pub fn record_arrival(&mut self, now_us: u64, entry: usize, service: usize) {
        let traffic = &mut self.traffic[entry * self.services + service];
        let intervals = now_us / (self.cap.interval_ms * 1_000) + 1;
        traffic.allowed_hundredths += (intervals * u64::from(self.cap.percent)).min(100);
    }

    /// Counts a request that goes to another region for the first time.
    pub fn record_remote_request(&mut self, entry: usize, service: usize) {
        let traffic = &mut self.traffic[entry * self.services + service];
        traffic.remote_requests += 1;
        self.violations +=
            u64::from(traffic.remote_requests * 100 > traffic.allowed_hundredths + 100);
    }
}
