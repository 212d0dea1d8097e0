//! Which requests a stopping gateway still takes, so that none is cut off when the process ends.

use types::TimeUs;

/// The fraction of the grace period during which a stopping gateway still accepts new requests.
const ACCEPT_FRACTION: f64 = 0.45;

/// The fraction of the grace period by which a stopping gateway has answered every request. The rest is
/// for writing the answers and closing the connections.
pub const STOP_ANSWER_FRACTION: f64 = 0.95;

/// The safety margin on the expected time of a request, as a factor.
const EXPECTED_MARGIN: f64 = 1.25;

/// The deadlines of a gateway that is stopping.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopping {
    /// No new requests are accepted after this time.
    pub(crate) accepts_until_us: TimeUs,
    /// Every request has its answer by then.
    answers_until_us: TimeUs,
}

impl Stopping {
    pub(crate) fn new(grace_ms: u64, now_us: TimeUs) -> Self {
        let after = |fraction: f64| now_us.after_ms((grace_ms as f64 * fraction) as u64);
        Self {
            accepts_until_us: after(ACCEPT_FRACTION),
            answers_until_us: after(STOP_ANSWER_FRACTION),
        }
    }

    /// Whether an attempt that starts now ends in time: by its deadline, or as is expected.
    pub(crate) fn leaves_time(
        &self,
        deadline_us: TimeUs,
        expected_us: f64,
        now_us: TimeUs,
    ) -> bool {
        let left_us = self.answers_until_us.since_us(now_us) as f64;
        deadline_us <= self.answers_until_us || expected_us * EXPECTED_MARGIN <= left_us
    }
}
