//! Builds states of the cores and runs real daemons at chosen sizes, for benches and for tests that
//! count messages and bytes; turns the benches' results into a page.

pub mod cluster;
pub mod entries;
pub mod frames;
pub mod group;
pub mod page;
pub mod process;
pub mod quotas;
pub mod report;
pub mod shares;
pub mod upstreams;

use types::TimeUs;

/// The time `ms` milliseconds after the common start of all benches.
#[must_use]
pub const fn at_ms(ms: u64) -> TimeUs {
    TimeUs(1_000_000).after_ms(ms)
}
