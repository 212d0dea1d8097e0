//! What upstreams state as their load: nonsense from one or all of them must not take a service away
//! for longer than it is stated.

mod support;

use gate::{Decision, Ending, Gate, Load, Refusal};
use plan::RetrySafety;
use proptest::prelude::*;
use std::collections::BTreeSet;
use support::{REPLICA, answer, arrival, at_ms, gate, instance, plan, route};

const UPSTREAMS: usize = 6;

/// Requests that are sent at once, a third of what the upstreams run without queueing.
const AT_ONCE: usize = 6;

/// How long requests run, and how often they are sent.
const RUN_MS: u64 = 40;
const PERIOD_MS: u64 = 50;

/// How long after the last nonsensical report every request must be admitted again.
const RECOVERY_MS: u64 = 5_000;

const SOUND: Load = Load {
    running: 1,
    waiting: 0,
    slots: 3,
    slowness_percent: None,
};

const NONSENSE: Load = Load {
    running: u32::MAX,
    waiting: u32::MAX,
    slots: 8,
    slowness_percent: None,
};

fn serving() -> Gate {
    let mut gate = gate();
    let parts = [("catalogue", 1_000)];
    let routes = vec![route("browse", "/browse/", RetrySafety::Idempotent, &parts)];
    let instances = (0..UPSTREAMS as u64)
        .map(|n| instance(&format!("w-{n}"), "catalogue", "east-a", 10 + n))
        .collect();
    gate.handle_poll_answer(
        REPLICA,
        answer(20, Some(plan(1, routes)), instances),
        at_ms(0),
    );
    gate
}

/// What became of the requests of a span of time.
#[derive(Debug, Default)]
struct Served {
    refused: usize,
    upstreams: BTreeSet<String>,
}

/// Sends requests from `from_ms` until `until_ms`; `load` gives what the upstream that served a request
/// states.
fn send(
    gate: &mut Gate,
    from_ms: u64,
    until_ms: u64,
    mut load: impl FnMut(&str) -> Load,
) -> Served {
    let mut served = Served::default();
    for ms in (from_ms..until_ms).step_by(PERIOD_MS as usize) {
        gate.tick(at_ms(ms));
        let mut targets = Vec::new();
        for _ in 0..AT_ONCE {
            match gate.handle_arrival(&arrival("/browse/1"), at_ms(ms)) {
                Decision::Forward(target) => targets.push(target),
                Decision::Refuse { refusal, .. } => {
                    assert_eq!(refusal, Refusal::Overloaded);
                    served.refused += 1;
                }
                Decision::NoRoute | Decision::Unauthorized | Decision::Wait => {
                    panic!("no route matches")
                }
            }
        }
        for target in targets {
            let load = load(target.upstream.as_str());
            let ended = at_ms(ms + RUN_MS);
            gate.attempt_ended(target.request, Ending::Answered, Some(load), ended);
            served.upstreams.insert(target.upstream.to_string());
        }
    }
    served
}

fn assert_served_again(gate: &mut Gate, since_ms: u64) {
    send(gate, since_ms, since_ms + RECOVERY_MS, |_| SOUND);
    let from_ms = since_ms + RECOVERY_MS;
    let served = send(gate, from_ms, from_ms + RECOVERY_MS, |_| SOUND);
    assert_eq!(served.refused, 0);
    assert_eq!(served.upstreams.len(), UPSTREAMS, "{:?}", served.upstreams);
}

// The mean load of a service took any number and changed only with answers, so that one upstream that
// stated nonsense for two seconds had all requests of its service refused until a restart.
#[test]
fn one_upstream_that_states_nonsense_takes_nothing_from_the_others() {
    let mut gate = serving();
    send(&mut gate, 0, 1_000, |_| SOUND);
    let lies = |upstream: &str| match upstream {
        "w-3" => NONSENSE,
        _ => SOUND,
    };
    let meanwhile = send(&mut gate, 1_000, 3_000, lies);
    assert_eq!(meanwhile.refused, 0);
    assert_served_again(&mut gate, 3_000);
}

#[test]
fn a_service_whose_upstreams_all_stated_nonsense_is_served_again() {
    let mut gate = serving();
    send(&mut gate, 0, 1_000, |_| SOUND);
    send(&mut gate, 1_000, 3_000, |_| NONSENSE);
    assert_served_again(&mut gate, 3_000);
}

// While every request is refused, no answer tells that the load has fallen.
#[test]
fn an_overload_that_has_passed_unseen_is_found_to_be_over() {
    const OVERLOADED: Load = Load {
        running: 3,
        waiting: 18,
        slots: 3,
        slowness_percent: None,
    };
    let mut gate = serving();
    let overloaded = send(&mut gate, 0, 4_000, |_| OVERLOADED);
    assert!(overloaded.refused > 0);
    assert_served_again(&mut gate, 4_000);
}

// The estimate must not forget an overload that reports go on to confirm.
#[test]
fn a_lasting_overload_is_still_refused() {
    const OVERLOADED: Load = Load {
        running: 3,
        waiting: 18,
        slots: 3,
        slowness_percent: None,
    };
    let mut gate = serving();
    send(&mut gate, 0, 5_000, |_| OVERLOADED);
    let served = send(&mut gate, 5_000, 15_000, |_| OVERLOADED);
    let requests = 10_000 / PERIOD_MS as usize * AT_ONCE;
    assert!(served.refused > requests * 3 / 4, "{}", served.refused);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn any_reports_are_forgotten_within_seconds_of_sound_ones(
        reports in proptest::collection::vec(
            (any::<u32>(), any::<u32>(), any::<u32>()),
            1..80,
        ),
    ) {
        let mut gate = serving();
        let mut reports = reports.into_iter();
        send(&mut gate, 0, 2_000, |_| match reports.next() {
            Some((running, waiting, slots)) => Load { running, waiting, slots,
        slowness_percent: None,
},
            None => SOUND,
        });
        assert_served_again(&mut gate, 2_000);
    }
}
