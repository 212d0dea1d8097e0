//! Until when a client's connection is kept open.

use plan::{ConnectionPhase, KeepAlive};
use types::TimeUs;

const OPENED_US: TimeUs = TimeUs(5_000_000);

const fn idle_since(since_us: TimeUs) -> ConnectionPhase {
    ConnectionPhase::Idle { since_us }
}

// A connection that is to end was closed in the middle of a head or of an answer.
#[test]
fn a_retiring_connection_ends_once_it_is_idle() {
    let mut keep_alive = KeepAlive::new(15_000);
    assert!(!keep_alive.is_retiring());
    keep_alive.retire();
    assert!(keep_alive.is_retiring());
    assert_eq!(keep_alive.closes_at(ConnectionPhase::Serving), None);
    assert_eq!(keep_alive.closes_at(ConnectionPhase::Receiving), None);
    let closes_us = keep_alive.closes_at(idle_since(OPENED_US));
    assert_eq!(closes_us, Some(OPENED_US));
}
