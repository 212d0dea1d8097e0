//! A gateway's own part of every quota, for the time in which it is out of touch with the leader.

use super::{PLEDGE_MS, STATIC_LIFE_MS, budget::QuotaTerms};
use types::TimeUs;

/// How long the number of gateways must not have grown before a gateway has a static part, in
/// milliseconds. A replica that has just started counts too few.
const STABLE_MS: u64 = 5_000;

/// Whether a gateway has a static part, and of which size.
#[derive(Debug)]
pub(super) struct StaticRights {
    window_ms: u64,
    /// The largest number of gateways known in the current and in the last epoch of
    /// [`STATIC_LIFE_MS`]. The part of a gateway that is silent for less must not be given to others.
    parts: [usize; 2],
    epoch_end_us: TimeUs,
    /// When the number last grew.
    grown_us: TimeUs,
    /// When a leader was last heard of; none before the first time.
    touched_us: Option<TimeUs>,
    pledged_until_us: TimeUs,
    used_us: Option<TimeUs>,
}

impl StaticRights {
    pub const fn new(terms: &QuotaTerms, now_us: TimeUs) -> Self {
        Self {
            window_ms: terms.window_ms,
            parts: [0, 0],
            epoch_end_us: now_us.after_ms(STATIC_LIFE_MS),
            grown_us: now_us,
            touched_us: None,
            pledged_until_us: now_us,
            used_us: None,
        }
    }

    /// Records the number of gateways that a replica in touch with a leader has told.
    pub fn record_gateways(&mut self, gateways: usize, now_us: TimeUs) {
        if self.epoch_end_us.reached(now_us) {
            self.epoch_end_us = now_us.after_ms(STATIC_LIFE_MS);
            self.parts = [0, self.parts[0]];
        }
        if gateways > self.parts() {
            self.grown_us = now_us;
        }
        self.parts[0] = self.parts[0].max(gateways);
        self.touched_us = Some(now_us);
    }

    /// Among how many gateways the static part is divided.
    pub fn parts(&self) -> usize {
        self.parts[0].max(self.parts[1])
    }

    /// Pledges to take no static token for a while, unless one was taken within the last window. Returns
    /// whether it did.
    pub fn pledge(&mut self, now_us: TimeUs) -> bool {
        let used_us = self.used_us;
        let may_pledge = used_us.is_none_or(|at| at.after_ms(self.window_ms).reached(now_us));
        if may_pledge {
            self.pledged_until_us = now_us.after_ms(PLEDGE_MS);
        }
        may_pledge
    }

    /// From when on static tokens accrue; none while there is no static part.
    pub fn accrues_since_us(&self, now_us: TimeUs) -> Option<TimeUs> {
        let touched_us = self.touched_us?;
        let has_ended = touched_us.after_ms(STATIC_LIFE_MS).reached(now_us);
        let since_us = self.pledged_until_us.max(self.grown_us.after_ms(STABLE_MS));
        (!has_ended && since_us.reached(now_us)).then_some(since_us)
    }

    /// How long it takes until there is a static part, in milliseconds.
    pub fn wait_ms(&self, now_us: TimeUs) -> u64 {
        let since_us = self.pledged_until_us.max(self.grown_us.after_ms(STABLE_MS));
        since_us.since_us(now_us) / 1_000
    }

    pub fn record_used(&mut self, now_us: TimeUs) {
        self.used_us = Some(now_us);
    }
}
