//! Checks from outside that no more traffic leaves a region than the cap lets.

use route::Cap;

/// What one entry has seen of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    allowed_percent: u64,
    moved: u64,
}

/// Counts arrivals and moves of every entry and service.
///
/// A part that rises by the cap with each interval since the start bounds what may have moved,
/// plus one request that can't be split.
#[derive(Debug)]
pub struct CapCheck {
    cap: Cap,
    services: usize,
    traffic: Vec<Traffic>,
    /// Times that more had moved.
    pub passed: u64,
}

impl CapCheck {
    /// Nothing has moved.
    #[must_use]
    pub fn new(cap: Cap, entries: usize, services: usize) -> Self {
        Self {
            cap,
            services,
            traffic: vec![Traffic::default(); entries * services],
            passed: 0,
        }
    }

    /// Counts an arrival.
    pub fn arrived(&mut self, now_us: u64, entry: usize, service: usize) {
        let traffic = &mut self.traffic[entry * self.services + service];
        let intervals = now_us / (self.cap.interval_ms * 1_000) + 1;
        traffic.allowed_percent += (intervals * u64::from(self.cap.percent)).min(100);
    }

    /// Counts a request that goes to another region.
    pub fn moved(&mut self, entry: usize, service: usize) {
        let traffic = &mut self.traffic[entry * self.services + service];
        traffic.moved += 1;
        self.passed += u64::from(traffic.moved * 100 > traffic.allowed_percent + 100);
    }
}
