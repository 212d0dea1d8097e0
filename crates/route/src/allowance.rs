//! What this entry may use of regions and links (shares and declared limits), and what it uses now.

use crate::Fallback;
use types::TimeUs;

/// This entry's share of a region's capacity.
#[derive(Clone, Copy, Debug)]
struct SlotShare {
    slots: u32,
    expires_us: TimeUs,
}

/// This entry's limit in a region and its use of it.
#[derive(Debug, Default)]
pub(crate) struct RegionAllowance {
    share: Option<SlotShare>,
    /// The region's declared capacity, if any.
    pub(crate) capacity_slots: Option<u32>,
    /// Requests in flight there from this entry.
    pub(crate) in_flight: u32,
    /// The most requests in flight at once since the last `take_peak`.
    peak: u32,
}

impl RegionAllowance {
    /// Replaces the share.
    pub(crate) fn set_share(&mut self, slots: u32, expires_us: TimeUs) {
        self.share = Some(SlotShare { slots, expires_us });
    }

    /// Requests that this entry may have in flight there, never more than the declared capacity;
    /// `u32::MAX` without a limit. An expired share allows none.
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
    pub(crate) fn start_request(&mut self) {
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
    }

    /// Returns the most requests in flight at once since the last call.
    pub(crate) const fn take_peak(&mut self) -> u32 {
        let peak = self.peak;
        self.peak = self.in_flight;
        peak
    }

    /// Whether one more request may start.
    pub(crate) fn has_room(&self, now_us: TimeUs, fallback: Fallback) -> bool {
        self.in_flight < self.allowed_slots(now_us, fallback)
    }
}

/// This entry's limit on a link in one direction and its use of it.
#[derive(Debug, Default)]
pub(crate) struct LinkAllowance {
    share: Option<RateShare>,
    /// The link's declared rate, if a link is declared.
    pub(crate) limit_kbps: Option<u64>,
    /// When the answers reserved so far will have been transferred, each at the rate that
    /// was allowed when it was reserved.
    busy_until_us: TimeUs,
}

#[derive(Clone, Copy, Debug)]
struct RateShare {
    kbps: u64,
    expires_us: TimeUs,
}

impl LinkAllowance {
    /// Replaces the share.
    pub(crate) fn set_share(&mut self, kbps: u64, expires_us: TimeUs) {
        self.share = Some(RateShare { kbps, expires_us });
    }

    /// Whether one more answer may be reserved: the share is valid and above 0, or there never was
    /// one and the fallback is unlimited, and the pending transfers take no longer than `burst_us`.
    pub(crate) fn has_room(&self, now_us: TimeUs, fallback: Fallback, burst_us: u64) -> bool {
        match self.share {
            Some(share) if share.expires_us.reached(now_us) || share.kbps == 0 => false,
            Some(_) => self.busy_until_us <= now_us.after_us(burst_us),
            None if fallback == Fallback::Zero => false,
            None => self.busy_until_us <= now_us.after_us(burst_us),
        }
    }

    /// Reserves the transfer time of an answer of this size.
    pub(crate) fn reserve(&mut self, now_us: TimeUs, bytes: u64) {
        let limit_kbps = self.limit_kbps.unwrap_or(u64::MAX);
        let kbps = self
            .share
            .map_or(limit_kbps, |share| share.kbps.min(limit_kbps));
        let transfer_us = (bytes * 8_000).div_ceil(kbps.max(1));
        self.busy_until_us = self.busy_until_us.max(now_us).after_us(transfer_us);
    }
}
