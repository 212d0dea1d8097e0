//! A fake of the leader that hands out shares of regions and links without ever overshooting.

/// How long a share lasts.
pub const SHARE_US: u64 = 1_000_000;
/// Weight of an entry that has used nothing of a region.
const FLOOR_WEIGHT: f64 = 0.5;

/// What one entry holds of a region.
#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    slots: u32,
    expires_us: u64,
    in_flight: u32,
    peak: u32,
}

/// One region's grants.
#[derive(Clone, Debug)]
pub struct RegionShares {
    capacity_slots: u32,
    grants: Vec<Grant>,
}

impl RegionShares {
    /// Nothing granted.
    #[must_use]
    pub fn new(capacity_slots: u32, entries: usize) -> Self {
        Self {
            capacity_slots,
            grants: vec![Grant::default(); entries],
        }
    }

    /// Counts a request that an entry starts there.
    pub fn begin(&mut self, entry: usize) {
        let grant = &mut self.grants[entry];
        grant.in_flight += 1;
        grant.peak = grant.peak.max(grant.in_flight);
    }

    /// Counts the end of a request.
    pub fn end(&mut self, entry: usize) {
        self.grants[entry].in_flight -= 1;
    }

    /// Requests in flight there.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.grants.iter().map(|grant| grant.in_flight).sum()
    }

    /// Forgets what a lost entry had in flight.
    pub fn lose(&mut self, entry: usize) {
        self.grants[entry].in_flight = 0;
    }

    /// The part of the capacity that is not in use, in percent.
    #[must_use]
    pub fn headroom_percent(&self) -> f64 {
        self.headroom_of(self.in_flight())
    }

    /// The part of the capacity that so many requests leave, in percent.
    #[must_use]
    pub fn headroom_of(&self, requests: u32) -> f64 {
        100.0 - 100.0 * f64::from(requests) / f64::from(self.capacity_slots)
    }

    /// Hands out the whole capacity to the entries that are up, by use.
    pub fn grant(&mut self, now_us: u64, up: &[bool]) -> Vec<(usize, u32)> {
        let held: u32 = (0..up.len())
            .filter(|&entry| !up[entry] && self.grants[entry].expires_us > now_us)
            .map(|entry| self.grants[entry].slots)
            .sum();
        let entries: Vec<usize> = (0..up.len()).filter(|&entry| up[entry]).collect();
        let in_use: u32 = entries.iter().map(|&e| self.grants[e].in_flight).sum();
        let mut free = self.capacity_slots.saturating_sub(held + in_use);
        let mut weight_left: f64 = entries.iter().map(|&e| self.weight(e)).sum();
        let mut granted = Vec::new();
        for &entry in &entries {
            let weight = self.weight(entry);
            let part = (f64::from(free) * weight / weight_left).round() as u32;
            weight_left -= weight;
            free -= part.min(free);
            let grant = &mut self.grants[entry];
            grant.slots = grant.in_flight + part;
            grant.expires_us = now_us + SHARE_US;
            grant.peak = grant.in_flight;
            granted.push((entry, grant.slots));
        }
        granted
    }

    fn weight(&self, entry: usize) -> f64 {
        f64::from(self.grants[entry].peak) + FLOOR_WEIGHT
    }
}
