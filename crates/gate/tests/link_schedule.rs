//! The schedule of the chunks of large bodies.

use gate::LinkSchedule;
use types::TimeUs;

const CHUNK_BYTES: usize = 4_096;

const START: TimeUs = TimeUs(1_000_000);

/// The rate in kbit/s at which chunks leave that are all ready at the start.
fn rate_kbps(link_kbps: u64, chunks: usize) -> f64 {
    let mut schedule = LinkSchedule::new(link_kbps, START);
    let mut last_us = START;
    for _ in 0..=chunks {
        last_us = schedule.reserve(CHUNK_BYTES, START);
    }
    (chunks * CHUNK_BYTES * 8) as f64 * 1e3 / last_us.since_us(START) as f64
}

// Uploads that use the whole link leave no room for small requests, which wait behind them.
#[test]
fn large_bodies_leave_a_part_of_the_link_free() {
    for link_kbps in [2_600, 9_600, 1_000_000] {
        let part = rate_kbps(link_kbps, 1_000) / link_kbps as f64;
        assert!((0.6..0.8).contains(&part), "{part} of {link_kbps} kbit/s");
    }
}

// Time in which nothing was sent must not be made up for by a burst, which would fill the link's queue.
#[test]
fn a_pause_allows_no_burst() {
    let mut schedule = LinkSchedule::new(2_600, START);
    schedule.reserve(CHUNK_BYTES, START);
    let later = START.after_ms(10_000);
    assert_eq!(schedule.reserve(CHUNK_BYTES, later), later);
    let next = schedule.reserve(CHUNK_BYTES, later);
    assert!(next.since_us(later) > 10_000, "{next:?}");
}

// The first chunk of a body, with the request's head, must not wait on an idle link.
#[test]
fn the_first_chunk_is_sent_at_once() {
    let mut schedule = LinkSchedule::new(2_600, START);
    assert_eq!(schedule.reserve(CHUNK_BYTES, START), START);
}
