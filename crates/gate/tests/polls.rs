//! Which replicas a gateway polls, whom it asks for large changes, and which answers it takes.

mod support;

use control::GatewayPollAnswer;
use gate::{Gate, StateChange};
use plan::{Plan, RetrySafety};
use support::{answer, at_ms, gate, instance, plan, route};

/// The seeds of the gateway.
const REPLICAS: [&str; 2] = ["10.1.0.1", "10.1.0.2"];

fn a_plan(version: u64) -> Plan {
    let parts = [("catalogue", 1_000)];
    let routes = vec![route("browse", "/browse/", RetrySafety::Idempotent, &parts)];
    plan(version, routes)
}

/// An answer that holds back large changes up to `revision`.
fn held_back(revision: u64, count: usize) -> GatewayPollAnswer {
    GatewayPollAnswer {
        newest: revision,
        revision: 0,
        held_back: count,
        ..answer(revision, None, Vec::new())
    }
}

/// Whether the next poll of this replica asks for large changes.
fn asks_for_large(gate: &mut Gate, replica: &str) -> bool {
    gate.poll_request(replica, at_ms(0)).wants_large
}

fn fetch_timeouts(gate: &mut Gate) -> Vec<String> {
    let changes = gate.take_state_changes().into_iter();
    let late = changes.filter_map(|change| match change {
        StateChange::FetchTimedOut { replica } => Some(replica),
        _ => None,
    });
    late.collect()
}

#[test]
fn a_replica_that_sends_no_large_changes_is_replaced_after_a_second() {
    let mut gate = gate();
    let [first, second] = REPLICAS;
    gate.handle_poll_answer(first, held_back(9, 20), at_ms(0));
    assert!(asks_for_large(&mut gate, first));
    gate.handle_poll_answer(second, held_back(9, 20), at_ms(900));
    assert!(asks_for_large(&mut gate, first));
    gate.handle_poll_answer(second, held_back(9, 20), at_ms(1_100));
    assert!(asks_for_large(&mut gate, second));
    assert_eq!(fetch_timeouts(&mut gate), [first]);
}

// A plan near the largest that is accepted takes longer than that over a slow link. Each second another
// replica was asked for it, and its answer halved what was left of the link for the first one's.
#[test]
fn a_replica_has_time_to_send_a_very_large_plan_over_a_slow_link() {
    const ROUTES: usize = 14_000;
    /// What a route takes on the way, in bits.
    const ROUTE_BITS: u64 = 60 * 8;
    const LINK_BITS_PER_MS: u64 = 5_000;
    let taken_ms = ROUTES as u64 * ROUTE_BITS / LINK_BITS_PER_MS;
    let mut gate = gate();
    let [first, second] = REPLICAS;
    gate.handle_poll_answer(first, held_back(9, ROUTES), at_ms(0));
    for ms in (100..2 * taken_ms).step_by(100) {
        gate.handle_poll_answer(second, held_back(9, ROUTES), at_ms(ms));
        assert!(asks_for_large(&mut gate, first), "after {ms} ms");
    }
    let instances = vec![instance("w-1", "catalogue", "east-a", 9)];
    let whole = answer(9, Some(a_plan(3)), instances);
    assert!(gate.handle_poll_answer(first, whole, at_ms(2 * taken_ms)));
    assert!(!asks_for_large(&mut gate, first));
    assert_eq!(fetch_timeouts(&mut gate), [""; 0]);
}

/// An answer with a plan, of a replica that may not have caught up.
fn answer_of(version: u64, revision: u64, is_current: bool) -> GatewayPollAnswer {
    GatewayPollAnswer {
        is_current,
        ..answer(revision, Some(a_plan(version)), Vec::new())
    }
}

// After a loss of power, a gateway and a replica start together. The replica answered from its
// snapshot, and the gateway took requests under a plan that had been replaced before.
#[test]
fn a_gateway_that_starts_takes_no_plan_of_a_replica_that_has_not_caught_up() {
    let mut gate = gate();
    let [first, second] = REPLICAS;
    assert!(!gate.handle_poll_answer(first, answer_of(3, 5, false), at_ms(10)));
    assert!(!gate.is_ready(at_ms(10)));
    assert!(gate.handle_poll_answer(second, answer_of(4, 9, true), at_ms(700)));
    assert!(gate.is_ready(at_ms(700)));
    assert_eq!(gate.plan_version(), 4);
}

// While no majority of the replicas is there, the wait has an end.
#[test]
fn a_gateway_takes_an_old_plan_rather_than_none() {
    let mut gate = gate();
    let [first, _] = REPLICAS;
    assert!(!gate.handle_poll_answer(first, answer_of(3, 5, false), at_ms(1_900)));
    assert!(gate.handle_poll_answer(first, answer_of(3, 5, false), at_ms(2_100)));
    assert!(gate.is_ready(at_ms(2_100)));
    // From then on, newer changes count whoever sends them.
    assert!(gate.handle_poll_answer(first, answer_of(4, 6, false), at_ms(2_200)));
    assert_eq!(gate.plan_version(), 4);
}
