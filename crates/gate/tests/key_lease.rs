//! How long a gateway relies on the keys that it knows when it hears nothing of newer ones. A withdrawn
//! key must stop working 5 s after its withdrawal was confirmed, so that the lease lasts 4 s.

mod support;

use control::{GatewayPoll, GatewayPollAnswer};
use gate::{Decision, Gate, Refusal, StateChange};
use plan::{KeyUse, Plan, RetrySafety, Route};
use proptest::prelude::*;
use support::{
    REPLICA, answer, arrival, arrival_with_key, at_ms, gate, instance, plan, refusal, route,
    strict_gate, tenant,
};
use types::TimeUs;

const REVOKE_MS: u64 = 5_000;

const LEASE_MS: u64 = 4_000;

/// A plan with the routes `browse`, which wants a key, and `open`, and a tenant with these keys.
fn keyed_plan(version: u64, keys: &[&str]) -> Plan {
    let parts = [("catalogue", 1_000)];
    let open = Route {
        allow_anonymous: true,
        ..route("open", "/open/", RetrySafety::Idempotent, &parts)
    };
    let keyed = route("browse", "/browse/", RetrySafety::Idempotent, &parts);
    let mut plan = plan(version, vec![keyed, open]);
    plan.tenants = vec![tenant("acme", keys)];
    plan
}

/// The whole state at revision 5, as the answer to a poll.
fn whole(poll: &GatewayPoll) -> GatewayPollAnswer {
    let instances = vec![instance("e-1", "catalogue", "east-a", 1)];
    GatewayPollAnswer {
        number: poll.number,
        ..answer(5, Some(keyed_plan(1, &["k1"])), instances)
    }
}

/// An answer without changes, of a replica at this revision.
fn unchanged(poll: &GatewayPoll, newest: u64) -> GatewayPollAnswer {
    GatewayPollAnswer {
        number: poll.number,
        newest,
        ..answer(poll.revision, None, Vec::new())
    }
}

/// A gateway that has got the whole state by a poll at 0 ms.
fn serving() -> Gate {
    let mut gate = strict_gate();
    let poll = gate.poll_request(REPLICA, at_ms(0));
    gate.handle_poll_answer(REPLICA, whole(&poll), at_ms(20));
    assert!(gate.is_ready(at_ms(20)));
    gate
}

fn is_served(gate: &mut Gate, path: &str, key: Option<&str>, now_us: TimeUs) -> bool {
    let arrival = key.map_or_else(|| arrival(path), |key| arrival_with_key(path, key));
    match gate.handle_arrival(&arrival, now_us) {
        Decision::Forward(target) => gate.client_left(target.request, now_us),
        decision => {
            assert_eq!(
                refusal(&decision),
                Some(Refusal::StaleKeys),
                "{path} {key:?}"
            );
            false
        }
    }
}

/// Checks that the lease ends at this time, and what the gateway does from then on.
fn assert_ends_at(gate: &mut Gate, end_ms: u64) {
    assert!(is_served(gate, "/browse/1", Some("k1"), at_ms(end_ms - 1)));
    assert!(gate.is_ready(at_ms(end_ms - 1)));
    assert_is_over(gate, at_ms(end_ms));
}

fn assert_is_over(gate: &mut Gate, now_us: TimeUs) {
    for (path, key) in [
        ("/browse/1", Some("k1")),
        ("/browse/1", Some("unknown")),
        ("/browse/1", None),
        ("/open/1", Some("k1")),
        ("/open/1", Some("unknown")),
    ] {
        assert!(!is_served(gate, path, key, now_us), "{path} {key:?}");
    }
    assert!(is_served(gate, "/open/1", None, now_us));
    assert!(!gate.is_ready(now_us));
    assert!(!gate.poll_request(REPLICA, now_us).report.takes_clients);
}

fn lease_changes(gate: &mut Gate) -> Vec<StateChange> {
    let changes = gate.take_state_changes().into_iter();
    let is_of_lease =
        |it: &StateChange| matches!(it, StateChange::KeyLeaseGained | StateChange::KeyLeaseLost);
    changes.filter(is_of_lease).collect()
}

#[test]
fn the_lease_ends_by_itself_when_answers_are_lost() {
    let mut gate = serving();
    assert_eq!(lease_changes(&mut gate), [StateChange::KeyLeaseGained]);
    for ms in (400..LEASE_MS).step_by(400) {
        let _lost = gate.poll_request(REPLICA, at_ms(ms));
    }
    assert_ends_at(&mut gate, LEASE_MS);
    assert_eq!(lease_changes(&mut gate), [StateChange::KeyLeaseLost]);
    // It comes back with the next answer.
    let poll = gate.poll_request(REPLICA, at_ms(9_000));
    gate.handle_poll_answer(REPLICA, unchanged(&poll, 5), at_ms(9_020));
    assert_eq!(lease_changes(&mut gate), [StateChange::KeyLeaseGained]);
    assert_ends_at(&mut gate, 9_000 + LEASE_MS);
}

// Answers come in order on a link, but one that is lost must not let the next one count for a later
// poll than its own.
#[test]
fn an_answer_counts_from_the_time_of_its_own_poll() {
    let mut gate = serving();
    let early = gate.poll_request(REPLICA, at_ms(1_000));
    let _lost = gate.poll_request(REPLICA, at_ms(2_000));
    let _lost = gate.poll_request(REPLICA, at_ms(3_000));
    gate.handle_poll_answer(REPLICA, unchanged(&early, 5), at_ms(3_500));
    // A second copy and an answer without a number change nothing.
    gate.handle_poll_answer(REPLICA, unchanged(&early, 5), at_ms(3_600));
    let unnumbered = GatewayPollAnswer {
        number: 0,
        ..unchanged(&early, 5)
    };
    gate.handle_poll_answer(REPLICA, unnumbered, at_ms(3_700));
    assert_ends_at(&mut gate, 1_000 + LEASE_MS);
}

#[test]
fn an_answer_that_comes_after_the_lease_of_its_poll_extends_nothing() {
    let mut gate = serving();
    let late = gate.poll_request(REPLICA, at_ms(400));
    gate.handle_poll_answer(REPLICA, unchanged(&late, 5), at_ms(400 + LEASE_MS));
    assert_is_over(&mut gate, at_ms(400 + LEASE_MS));
}

// A replica that was replaced as the leader, or follows behind a cut, may not know of a withdrawal.
#[test]
fn a_replica_that_is_not_certain_to_lead_extends_nothing() {
    let mut gate = serving();
    for ms in (400..LEASE_MS).step_by(400) {
        let poll = gate.poll_request(REPLICA, at_ms(ms));
        let uncertain = GatewayPollAnswer {
            is_certain: false,
            ..unchanged(&poll, 5)
        };
        gate.handle_poll_answer(REPLICA, uncertain, at_ms(ms + 10));
    }
    assert_ends_at(&mut gate, LEASE_MS);
}

// The withdrawal may be among the changes that are held back, or not fetched yet.
#[test]
fn changes_that_are_held_back_extend_the_lease_only_once_they_are_applied() {
    for is_fetched in [false, true] {
        let mut gate = serving();
        let poll = gate.poll_request(REPLICA, at_ms(1_000));
        let held_back = GatewayPollAnswer {
            held_back: 40,
            ..unchanged(&poll, 9)
        };
        gate.handle_poll_answer(REPLICA, held_back, at_ms(1_010));
        // An older replica's changes are not all of them.
        gate.handle_poll_answer(REPLICA, answer(7, None, Vec::new()), at_ms(1_020));
        if !is_fetched {
            assert_ends_at(&mut gate, LEASE_MS);
            continue;
        }
        // Gateways share an answer with large changes, so that it has no number.
        let shared = GatewayPollAnswer {
            is_certain: false,
            ..answer(9, None, Vec::new())
        };
        gate.handle_poll_answer(REPLICA, shared, at_ms(3_000));
        assert_ends_at(&mut gate, 1_000 + LEASE_MS);
    }
}

// A suspended machine's monotonic clock stands still, and no tick comes before the first request.
#[test]
fn a_freeze_ends_the_lease_at_the_first_request_after_it() {
    let mut gate = serving();
    gate.set_suspended_us(1_000 * (LEASE_MS - 100));
    assert!(is_served(&mut gate, "/browse/1", Some("k1"), at_ms(99)));
    gate.set_suspended_us(1_000 * LEASE_MS);
    // A lower reading, as by a pause between the readings of two clocks, must not bring the lease back.
    gate.set_suspended_us(0);
    assert!(!is_served(&mut gate, "/browse/1", Some("k1"), at_ms(99)));
    assert!(lease_changes(&mut gate).ends_with(&[StateChange::KeyLeaseLost]));
    assert_is_over(&mut gate, at_ms(99));
    let poll = gate.poll_request(REPLICA, at_ms(100));
    gate.handle_poll_answer(REPLICA, unchanged(&poll, 5), at_ms(110));
    assert_ends_at(&mut gate, 100 + LEASE_MS);
}

#[test]
fn an_answer_from_before_a_freeze_extends_nothing_after_it() {
    let mut gate = serving();
    let poll = gate.poll_request(REPLICA, at_ms(100));
    gate.set_suspended_us(1_000 * LEASE_MS);
    gate.handle_poll_answer(REPLICA, unchanged(&poll, 5), at_ms(100));
    assert_is_over(&mut gate, at_ms(100));
}

// A gateway that starts while no leader can be reached takes an old plan after a while, but its keys may
// be outdated.
#[test]
fn a_restarted_gateway_has_no_lease_until_a_leader_answers() {
    let mut gate = strict_gate();
    let poll = gate.poll_request(REPLICA, at_ms(2_500));
    let old = GatewayPollAnswer {
        is_certain: false,
        is_current: false,
        ..whole(&poll)
    };
    assert!(gate.handle_poll_answer(REPLICA, old, at_ms(2_510)));
    assert_is_over(&mut gate, at_ms(2_510));
    assert!(lease_changes(&mut gate).is_empty());
    let poll = gate.poll_request(REPLICA, at_ms(2_600));
    gate.handle_poll_answer(REPLICA, unchanged(&poll, 5), at_ms(2_610));
    assert_ends_at(&mut gate, 2_600 + LEASE_MS);
}

// The answer with the whole state gives no lease, so that the next polls must come soon.
#[test]
fn a_gateway_without_its_first_lease_polls_often() {
    let mut gate = strict_gate();
    gate.tick(at_ms(0));
    let poll = gate.poll_request(REPLICA, at_ms(0));
    let shared = GatewayPollAnswer {
        is_certain: false,
        ..whole(&poll)
    };
    gate.handle_poll_answer(REPLICA, shared, at_ms(20));
    let polls = |gate: &mut Gate, from_ms: u64| {
        let ticks = (from_ms..from_ms + 1_000).step_by(50);
        ticks.map(|ms| gate.tick(at_ms(ms)).len()).sum::<usize>()
    };
    let without_lease = polls(&mut gate, 50);
    let poll = gate.poll_request(REPLICA, at_ms(1_050));
    gate.handle_poll_answer(REPLICA, unchanged(&poll, 5), at_ms(1_060));
    let with_lease = polls(&mut gate, 1_100);
    assert!(
        without_lease >= 2 * with_lease,
        "{without_lease} {with_lease}"
    );
}

#[test]
fn without_strict_revocation_or_tenants_there_is_no_lease() {
    let mut without_tenants = strict_gate();
    let poll = without_tenants.poll_request(REPLICA, at_ms(0));
    let mut answer = whole(&poll);
    if let Some(plan) = &mut answer.changes.plan {
        plan.tenants.clear();
        plan.keys = KeyUse::Unused;
    }
    without_tenants.handle_poll_answer(REPLICA, answer, at_ms(10));
    let mut not_strict = gate();
    let poll = not_strict.poll_request(REPLICA, at_ms(0));
    not_strict.handle_poll_answer(REPLICA, whole(&poll), at_ms(10));
    for mut gate in [without_tenants, not_strict] {
        gate.tick(at_ms(100_000));
        assert!(is_served(
            &mut gate,
            "/browse/1",
            Some("k1"),
            at_ms(100_000)
        ));
        assert!(gate.is_ready(at_ms(100_000)));
        assert!(lease_changes(&mut gate).is_empty());
    }
}

// That nobody holds a key may be outdated too, and then a client must not be told that its key is void.
#[test]
fn an_empty_table_needs_the_lease() {
    let mut gate = strict_gate();
    let poll = gate.poll_request(REPLICA, at_ms(0));
    let mut answer = whole(&poll);
    if let Some(plan) = &mut answer.changes.plan {
        plan.tenants.clear();
    }
    gate.handle_poll_answer(REPLICA, answer, at_ms(10));
    let arrive = |gate: &mut Gate, ms: u64| {
        gate.handle_arrival(&arrival_with_key("/browse/1", "k1"), at_ms(ms))
    };
    assert_eq!(arrive(&mut gate, 20), Decision::Unauthorized);
    let stale = arrive(&mut gate, LEASE_MS + 1_000);
    assert_eq!(refusal(&stale), Some(Refusal::StaleKeys));
    assert!(!gate.is_ready(at_ms(LEASE_MS + 1_000)));
}

/// What happens to a gateway, some time after the event before it.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It polls a replica, which answers from what it knows at that moment. The answer is on its way.
    Poll {
        is_certain: bool,
        is_held_back: bool,
    },
    /// The oldest answer on its way arrives.
    Deliver,
    /// The oldest answer on its way is lost.
    Lose,
    /// The machine is suspended.
    Freeze { ms: u64 },
    /// The key is withdrawn, and the withdrawal confirmed.
    Withdraw,
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let poll = any::<(bool, bool)>().prop_map(|(is_certain, is_held_back)| Event::Poll {
        is_certain,
        is_held_back,
    });
    let event = prop_oneof![
        4 => poll,
        4 => Just(Event::Deliver),
        1 => Just(Event::Lose),
        1 => (1..6_000_u64).prop_map(|ms| Event::Freeze { ms }),
        1 => Just(Event::Withdraw),
    ];
    prop::collection::vec((0..900_u64, event), 1..40)
}

proptest! {
    /// Whatever is lost, late, held back or frozen, a key doesn't work 5 s after its withdrawal.
    #[test]
    fn no_withdrawn_key_works_after_the_revocation_time(events in events()) {
        let mut gate = serving();
        let (mut now_ms, mut suspended_ms) = (20, 0);
        let mut withdrawn_ms = None;
        let mut on_their_way = std::collections::VecDeque::new();
        for (after_ms, event) in events {
            now_ms += after_ms;
            match event {
                Event::Poll { is_certain, is_held_back } => {
                    let poll = gate.poll_request(REPLICA, at_ms(now_ms));
                    let mut answer = unchanged(&poll, 5);
                    // A replica that doesn't lead may not know of the withdrawal.
                    if withdrawn_ms.is_some() && is_certain {
                        answer.newest = 8;
                        if !is_held_back {
                            let changed = keyed_plan(2, &["k2"]);
                            answer.changes.plan = Some(plan::PlanChanges::whole(&changed));
                            answer.revision = 8;
                        }
                    }
                    answer.is_certain = is_certain;
                    on_their_way.push_back(answer);
                }
                Event::Deliver => {
                    if let Some(answer) = on_their_way.pop_front() {
                        gate.handle_poll_answer(REPLICA, answer, at_ms(now_ms));
                    }
                }
                Event::Lose => {
                    on_their_way.pop_front();
                }
                Event::Freeze { ms } => {
                    suspended_ms += ms;
                    gate.set_suspended_us(suspended_ms * 1_000);
                }
                Event::Withdraw => {
                    withdrawn_ms.get_or_insert(now_ms + suspended_ms);
                }
            }
            let is_over = withdrawn_ms.is_some_and(|at_ms| now_ms + suspended_ms >= at_ms + REVOKE_MS);
            if is_over {
                let decision = gate.handle_arrival(&arrival_with_key("/browse/1", "k1"), at_ms(now_ms));
                prop_assert!(!matches!(decision, Decision::Forward(_)));
            }
        }
    }
}
