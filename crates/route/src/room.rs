//! What an entry may use of regions and links.

use crate::Fallback;
use types::TimeUs;

/// A part of a region's capacity.
#[derive(Clone, Copy, Debug)]
struct Share {
    slots: u32,
    expires_us: TimeUs,
}

/// This entry's use of a region.
#[derive(Debug, Default)]
pub(crate) struct RegionRoom {
    share: Option<Share>,
    /// The declared capacity, where one is declared.
    pub(crate) capacity_slots: Option<u32>,
    /// Requests in flight there from this entry.
    pub(crate) in_flight: u32,
    /// The most in flight at once since the entry last said what it wants.
    peak: u32,
}

impl RegionRoom {
    /// Replaces the share.
    pub(crate) fn set_share(&mut self, slots: u32, expires_us: TimeUs) {
        self.share = Some(Share { slots, expires_us });
    }

    /// Requests that this entry may have in flight there, never more than the declared capacity; no
    /// bound gives `u32::MAX`.
    pub(crate) fn allowed_slots(&self, now_us: TimeUs, fallback: Fallback) -> u32 {
        let capacity_slots = self.capacity_slots.unwrap_or(u32::MAX);
        match (self.share, fallback) {
            (Some(share), _) if share.expires_us.reached(now_us) => 0,
            (Some(share), _) => share.slots.min(capacity_slots),
            (None, Fallback::Unlimited) => capacity_slots,
            (None, Fallback::Zero) => 0,
        }
    }

    /// Counts a request that starts there.
    pub(crate) fn begin(&mut self) {
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
    }

    /// The most in flight at once since the last call.
    pub(crate) const fn take_peak(&mut self) -> u32 {
        let peak = self.peak;
        self.peak = self.in_flight;
        peak
    }

    /// Whether one more may start.
    pub(crate) fn has_room(&self, now_us: TimeUs, fallback: Fallback) -> bool {
        self.in_flight < self.allowed_slots(now_us, fallback)
    }
}

/// This entry's use of a link, one way.
#[derive(Debug, Default)]
pub(crate) struct LinkRoom {
    rate: Option<Rate>,
    /// The declared rate, where a link is declared.
    pub(crate) limit_kbps: Option<u64>,
    /// When all that was started has been carried at the share's rate.
    busy_until_us: TimeUs,
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    kbps: u64,
    expires_us: TimeUs,
}

impl LinkRoom {
    /// Replaces the share.
    pub(crate) fn set_share(&mut self, kbps: u64, expires_us: TimeUs) {
        self.rate = Some(Rate { kbps, expires_us });
    }

    /// Whether one more answer may start.
    pub(crate) fn has_room(&self, now_us: TimeUs, fallback: Fallback, burst_us: u64) -> bool {
        match self.rate {
            Some(rate) if rate.expires_us.reached(now_us) || rate.kbps == 0 => false,
            Some(_) => self.busy_until_us <= now_us.after_us(burst_us),
            None if fallback == Fallback::Zero => false,
            None => self.busy_until_us <= now_us.after_us(burst_us),
        }
    }

    /// Counts an answer of this size.
    pub(crate) fn take(&mut self, now_us: TimeUs, bytes: u64) {
        let limit_kbps = self.limit_kbps.unwrap_or(u64::MAX);
        let kbps = self
            .rate
            .map_or(limit_kbps, |rate| rate.kbps.min(limit_kbps));
        let carry_us = (bytes * 8_000).div_ceil(kbps.max(1));
        self.busy_until_us = self.busy_until_us.max(now_us).after_us(carry_us);
    }
}
