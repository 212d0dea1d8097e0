//! States of the cores and real processes at chosen sizes, for benches and counted costs.

pub mod cluster;
pub mod entries;
pub mod frames;
pub mod group;
pub mod page;
pub mod process;
pub mod report;
pub mod shares;
pub mod upstreams;

use types::TimeUs;

/// A time so many milliseconds after the first one.
#[must_use]
pub const fn at_ms(ms: u64) -> TimeUs {
    TimeUs(1_000_000).after_ms(ms)
}
