//! When refused clients are told to return.
//!
//! Each refusal is given the next time at which there will be room for one more request, so that no
//! more clients return at a time than can be admitted then. No place is kept for them: they may
//! return at another gateway, and what returns is late more often than what has just arrived.

use types::{TimeUs, fnv1a};

/// Clients wait for `retry-after` up to this fraction of the time that they have left.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// The shortest time after which a refused client is told to return, in microseconds. A shorter one
/// brings the request back into the same queue.
const RETRY_AFTER_MIN_US: f64 = 50_000.0;

/// When room is expected later than clients wait, they return within this last part of that time.
const LATE_SPREAD: f64 = 0.5;

/// What the time of a return depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    /// The request, to spread those that are refused at the same time.
    pub(crate) request: u64,
    /// How long until the queue is short enough.
    pub(crate) drain_us: f64,
    /// How often there is room for one more request of this kind.
    pub(crate) spacing_us: f64,
    /// How long the client still waits for its answer.
    pub(crate) remaining_us: f64,
}

/// The times at which refused requests return, one after another.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Returns {
    /// When there is room for the last request that was told to return.
    last_us: TimeUs,
}

impl Returns {
    /// Says in how many microseconds a refused client should return.
    pub(crate) fn next_us(&mut self, refused: Refused, now_us: TimeUs) -> f64 {
        let spread = spread(refused.request, now_us);
        let after_last_us = self.last_us.since_us(now_us) as f64 + refused.spacing_us;
        let room_us = refused.drain_us.max(after_last_us);
        let in_us = (room_us + refused.spacing_us * (spread - 0.5)).max(RETRY_AFTER_MIN_US);
        let honoured_us = refused.remaining_us * HONOURED_FRACTION;
        if in_us > honoured_us {
            return honoured_us * (1.0 - LATE_SPREAD * spread);
        }
        self.last_us = now_us.after_us(room_us as u64);
        in_us
    }
}

/// A number from 0 to 1 that differs between requests.
fn spread(request: u64, now_us: TimeUs) -> f64 {
    let bytes = request.to_le_bytes().into_iter();
    let hash = fnv1a(bytes.chain(now_us.0.to_le_bytes()));
    // FNV-1a mixes its last bytes poorly into the high bits.
    f64::from(((hash ^ (hash >> 32)) & 0xffff) as u32) / f64::from(0xffff_u32)
}
