//! Until when a client's connection is kept open, while plans change the limit on idleness.

use plan::{ConnectionPhase, KeepAlive};
use proptest::prelude::*;
use types::TimeUs;

const OPENED_US: TimeUs = TimeUs(5_000_000);

const fn idle_since(since_us: TimeUs) -> ConnectionPhase {
    ConnectionPhase::Idle { since_us }
}

proptest! {
    // A plan raised the limit, and a client that went by it met the close at the limit of an earlier plan.
    #[test]
    fn no_plan_known_to_a_client_allows_it_to_meet_the_close(
        limits_ms in proptest::collection::vec(1_u64..60_000, 1..8),
        idle_us in 0_u64..100_000_000,
    ) {
        let since_us = OPENED_US.after_us(idle_us);
        let mut keep_alive = KeepAlive::new(limits_ms[0]);
        for (index, limit_ms) in limits_ms.iter().enumerate() {
            keep_alive.extend(*limit_ms);
            let closes_us = keep_alive.closes_at(idle_since(since_us));
            for known_ms in &limits_ms[..=index] {
                prop_assert!(closes_us >= Some(since_us.after_ms(*known_ms)));
            }
        }
        let largest_ms = limits_ms.iter().max().copied().unwrap_or_default();
        let closes_us = keep_alive.closes_at(idle_since(since_us));
        prop_assert_eq!(closes_us, Some(since_us.after_ms(largest_ms)));
    }
}

// A connection that is to end was closed in the middle of a head or of an answer.
#[test]
fn a_retiring_connection_ends_once_it_is_idle() {
    let mut keep_alive = KeepAlive::new(15_000);
    assert!(!keep_alive.is_retiring());
    keep_alive.retire();
    keep_alive.extend(30_000);
    assert!(keep_alive.is_retiring());
    assert_eq!(keep_alive.closes_at(ConnectionPhase::Serving), None);
    assert_eq!(keep_alive.closes_at(ConnectionPhase::Receiving), None);
    let closes_us = keep_alive.closes_at(idle_since(OPENED_US));
    assert_eq!(closes_us, Some(OPENED_US));
}
