//! A fake of a link, one way: a rate and a delay.

/// Traffic is counted in windows of this length.
const WINDOW_US: u64 = 100_000;

/// A fake of a link, one way.
#[derive(Clone, Debug)]
pub struct Link {
    kbps: u64,
    delay_us: u64,
    busy_until_us: u64,
    window: u64,
    window_bits: u64,
    most_window_bits: u64,
}

impl Link {
    /// A link with nothing on it.
    #[must_use]
    pub const fn new(kbps: u64, delay_us: u64) -> Self {
        Self {
            kbps,
            delay_us,
            busy_until_us: 0,
            window: 0,
            window_bits: 0,
            most_window_bits: 0,
        }
    }

    /// When bytes that are sent now have arrived.
    pub fn send(&mut self, now_us: u64, bytes: u64) -> u64 {
        let bits = bytes * 8;
        let window = now_us / WINDOW_US;
        if window != self.window {
            self.window = window;
            self.window_bits = 0;
        }
        self.window_bits += bits;
        self.most_window_bits = self.most_window_bits.max(self.window_bits);
        self.busy_until_us = self.busy_until_us.max(now_us) + bits * 1_000 / self.kbps;
        self.busy_until_us + self.delay_us
    }

    /// The least part of the rate that was left in a window, in percent; negative when more was
    /// sent than the rate carries.
    #[must_use]
    pub fn least_headroom_percent(&self) -> f64 {
        let window_bits = (self.kbps * WINDOW_US) as f64 / 1e3;
        100.0 - 100.0 * self.most_window_bits as f64 / window_bits
    }
}
