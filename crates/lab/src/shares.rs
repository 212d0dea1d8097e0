//! A fake of the leader that grants shares of a region; it never grants more than the capacity.

/// Time from the grant of a share to its expiry.
pub const SHARE_LIFETIME_US: u64 = 1_000_000;

/// The share that one entry holds of a region, and what it has in flight there.
#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    slots: u32,
    expires_us: u64,
    in_flight: u32,
}

/// The capacity of one region and the grants of all entries, by index.
#[derive(Clone, Debug)]
pub struct RegionShares {
    capacity_slots: u32,
    grants: Vec<Grant>,
}

impl RegionShares {
    /// A region of which nothing is granted yet.
    #[must_use]
    pub fn new(capacity_slots: u32, entries: usize) -> Self {
        Self {
            capacity_slots,
            grants: vec![Grant::default(); entries],
        }
    }

    /// Counts a request that an entry sends to the region.
    pub fn start_request(&mut self, entry: usize) {
        self.grants[entry].in_flight += 1;
    }

    /// Counts the end of a request that an entry sent to the region.
    pub fn end_request(&mut self, entry: usize) {
        self.grants[entry].in_flight -= 1;
    }

    /// Requests of all entries in flight to the region.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.grants.iter().map(|grant| grant.in_flight).sum()
    }

    /// Drops the requests that a lost entry had in flight.
    pub fn clear_entry(&mut self, entry: usize) {
        self.grants[entry].in_flight = 0;
    }

    /// Capacity that no request in flight takes, in percent; negative when more are in flight than
    /// the region has slots.
    #[must_use]
    pub fn headroom_percent(&self) -> f64 {
        self.headroom_of(self.in_flight())
    }

    /// Capacity that this number of requests leaves free, in percent.
    #[must_use]
    pub fn headroom_of(&self, requests: u32) -> f64 {
        100.0 - 100.0 * f64::from(requests) / f64::from(self.capacity_slots)
    }

    /// Grants the whole capacity to the entries that are up, by the slots that each wants; returns
    /// entries and slots.
    ///
    /// What lost entries hold stays reserved until it expires. Where an entry has more in flight
    /// than its new share, the excess stays reserved until those requests end; the others get it
    /// only then.
    pub fn grant(
        &mut self,
        now_us: u64,
        up: &[bool],
        wanted: &[u32],
        local: &[bool],
    ) -> Vec<(usize, u32)> {
        let unexpired_slots: u32 = (0..up.len())
            .filter(|&entry| !up[entry] && self.grants[entry].expires_us > now_us)
            .map(|entry| self.grants[entry].slots)
            .sum();
        let entries: Vec<usize> = (0..up.len()).filter(|&entry| up[entry]).collect();
        let capacity = self.capacity_slots.saturating_sub(unexpired_slots);
        let wanted: Vec<u32> = entries.iter().map(|&e| wanted[e]).collect();
        let local: Vec<bool> = entries.iter().map(|&e| local[e]).collect();
        let targets = fair_shares(capacity, &wanted, &local);
        let in_use: u32 = entries.iter().map(|&e| self.grants[e].in_flight).sum();
        let mut free = capacity.saturating_sub(in_use);
        let mut granted = Vec::new();
        for (&entry, &target) in entries.iter().zip(&targets) {
            let grant = &mut self.grants[entry];
            let raise = target.saturating_sub(grant.in_flight).min(free);
            free -= raise;
            grant.slots = target.min(grant.in_flight + raise);
            grant.expires_us = now_us + SHARE_LIFETIME_US;
            granted.push((entry, grant.slots));
        }
        granted
    }
}

/// Divides a capacity: first among local entries, then among the others, each group by max-min
/// fairness. Of the slots that nobody wants, half go to the local entries, the rest to all.
fn fair_shares(capacity: u32, wanted: &[u32], local: &[bool]) -> Vec<u32> {
    let mut shares = vec![0; wanted.len()];
    let mut free = capacity;
    for is_local in [true, false] {
        let unsatisfied = |shares: &[u32]| {
            let unsatisfied =
                (0..wanted.len()).filter(|&e| local[e] == is_local && shares[e] < wanted[e]);
            unsatisfied.min_by_key(|&e| shares[e])
        };
        while free > 0
            && let Some(entry) = unsatisfied(&shares)
        {
            shares[entry] += 1;
            free -= 1;
        }
    }
    let local_entries: Vec<usize> = (0..local.len()).filter(|&entry| local[entry]).collect();
    let mut turn = 0;
    while free > 0 {
        let entry = match turn % 2 {
            0 if !local_entries.is_empty() => local_entries[turn / 2 % local_entries.len()],
            _ => turn / 2 % shares.len(),
        };
        shares[entry] += 1;
        free -= 1;
        turn += 1;
    }
    shares
}
