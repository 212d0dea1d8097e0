//! A fake of the leader that hands out shares of regions and links without ever overshooting.

/// How long a share lasts.
pub const SHARE_US: u64 = 1_000_000;

/// What one entry holds of a region.
#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    slots: u32,
    expires_us: u64,
    in_flight: u32,
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
        self.grants[entry].in_flight += 1;
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

    /// Hands out the whole capacity to the entries that are up, by what each wants.
    ///
    /// An entry that has more in flight than its new share keeps that much reserved; the others get
    /// the rest only once it is free.
    pub fn grant(
        &mut self,
        now_us: u64,
        up: &[bool],
        wanted: &[u32],
        near: &[bool],
    ) -> Vec<(usize, u32)> {
        let held: u32 = (0..up.len())
            .filter(|&entry| !up[entry] && self.grants[entry].expires_us > now_us)
            .map(|entry| self.grants[entry].slots)
            .sum();
        let entries: Vec<usize> = (0..up.len()).filter(|&entry| up[entry]).collect();
        let capacity = self.capacity_slots.saturating_sub(held);
        let wanted: Vec<u32> = entries.iter().map(|&e| wanted[e]).collect();
        let near: Vec<bool> = entries.iter().map(|&e| near[e]).collect();
        let targets = fair_parts(capacity, &wanted, &near);
        let in_use: u32 = entries.iter().map(|&e| self.grants[e].in_flight).sum();
        let mut free = capacity.saturating_sub(in_use);
        let mut granted = Vec::new();
        for (&entry, &target) in entries.iter().zip(&targets) {
            let grant = &mut self.grants[entry];
            let raise = target.saturating_sub(grant.in_flight).min(free);
            free -= raise;
            grant.slots = target.min(grant.in_flight + raise);
            grant.expires_us = now_us + SHARE_US;
            granted.push((entry, grant.slots));
        }
        granted
    }
}

/// Parts of a capacity: entries that stand there first, each group by max-min fairness; half of what
/// nobody wants goes to those that stand there, the rest to all.
fn fair_parts(capacity: u32, wanted: &[u32], near: &[bool]) -> Vec<u32> {
    let mut parts = vec![0; wanted.len()];
    let mut free = capacity;
    for first in [true, false] {
        let hungry = |parts: &[u32]| {
            let hungry = (0..wanted.len()).filter(|&e| near[e] == first && parts[e] < wanted[e]);
            hungry.min_by_key(|&e| parts[e])
        };
        while free > 0
            && let Some(entry) = hungry(&parts)
        {
            parts[entry] += 1;
            free -= 1;
        }
    }
    let near_entries: Vec<usize> = (0..near.len()).filter(|&entry| near[entry]).collect();
    let mut turn = 0;
    while free > 0 {
        let entry = match turn % 2 {
            0 if !near_entries.is_empty() => near_entries[turn / 2 % near_entries.len()],
            _ => turn / 2 % parts.len(),
        };
        parts[entry] += 1;
        free -= 1;
        turn += 1;
    }
    parts
}
