//! When the chunks of large bodies are sent, so that they don't hold up small requests on a slow link.

use types::TimeUs;

/// The fraction of the link's rate that large bodies use together. The rest keeps the link's queue short for
/// all other traffic.
const BULK_FRACTION: f64 = 0.7;

/// The schedule of the chunks of all large bodies that a gateway sends.
#[derive(Clone, Copy, Debug)]
pub struct LinkSchedule {
    us_per_byte: f64,
    /// When the link has room for the next chunk.
    free_us: TimeUs,
}

impl LinkSchedule {
    /// The schedule of a link with this rate.
    #[must_use]
    pub fn new(link_kbps: u64, now_us: TimeUs) -> Self {
        let kbps = link_kbps.max(1) as f64 * BULK_FRACTION;
        Self {
            us_per_byte: 8e3 / kbps,
            free_us: now_us,
        }
    }

    /// Reserves the link for a chunk; returns when it may be sent.
    pub fn reserve(&mut self, chunk_bytes: usize, now_us: TimeUs) -> TimeUs {
        let start_us = self.free_us.max(now_us);
        self.free_us = start_us.after_us((chunk_bytes as f64 * self.us_per_byte) as u64);
        start_us
    }
}
