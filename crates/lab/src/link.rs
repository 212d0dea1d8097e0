//! A fake of one direction of a link, with a rate and a delay.

/// Length of the windows in which the use of the link is measured.
const WINDOW_US: u64 = 100_000;

/// One direction of a link: sends bytes one after the other, then delays them.
#[derive(Clone, Debug)]
pub struct Link {
    kbps: u64,
    delay_us: u64,
    busy_until_us: u64,
    window: u64,
    window_bits: u64,
    max_window_bits: u64,
}

impl Link {
    /// An idle link.
    #[must_use]
    pub const fn new(kbps: u64, delay_us: u64) -> Self {
        Self {
            kbps,
            delay_us,
            busy_until_us: 0,
            window: 0,
            window_bits: 0,
            max_window_bits: 0,
        }
    }

    /// Sends bytes and returns the time at which the last of them arrives.
    pub fn send(&mut self, now_us: u64, bytes: u64) -> u64 {
        let bits = bytes * 8;
        let window = now_us / WINDOW_US;
        if window != self.window {
            self.window = window;
            self.window_bits = 0;
        }
        self.window_bits += bits;
        self.max_window_bits = self.max_window_bits.max(self.window_bits);
        self.busy_until_us = self.busy_until_us.max(now_us) + bits * 1_000 / self.kbps;
        self.busy_until_us + self.delay_us
    }

    /// Rate that was left unused in the busiest window so far, in percent; negative when more was
    /// sent in it than the rate carries.
    #[must_use]
    pub fn min_headroom_percent(&self) -> f64 {
        let window_bits = (self.kbps * WINDOW_US) as f64 / 1e3;
        100.0 - 100.0 * self.max_window_bits as f64 / window_bits
    }
}
