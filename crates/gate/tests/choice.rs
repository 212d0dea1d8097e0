//! The choice of region and upstream for a request, and the refusal when the wait is too long.

mod support;

use gate::{Arrival, Decision, Ending, Gate, Load};
use plan::{RetrySafety, Route};
use std::collections::{BTreeMap, BTreeSet};
use support::{
    REPLICA, answer, arrival, at_ms, forwarded, gate, gate_among, gate_in, instance, plan, route,
};

fn sticky_route() -> Route {
    let parts = [("catalogue", 1_000)];
    let mut browse = route("browse", "/browse/", RetrySafety::Idempotent, &parts);
    browse.sticky = true;
    browse
}

/// Gives a gateway two upstreams in each failure domain of region east, and a sticky route with
/// this target time.
fn sticky(mut gate: Gate, target_ms: u64) -> Gate {
    let mut browse = sticky_route();
    browse.target_ms = target_ms;
    let upstreams = [
        ("w-1", "east-a"),
        ("w-22", "east-a"),
        ("w-333", "east-b"),
        ("w-4444", "east-b"),
    ];
    let instances = upstreams.iter().zip(10..);
    let instances =
        instances.map(|((id, domain), revision)| instance(id, "catalogue", domain, revision));
    let instances = instances.collect();
    gate.handle_poll_answer(
        REPLICA,
        answer(20, Some(plan(1, vec![browse])), instances),
        at_ms(0),
    );
    gate
}

fn chosen(gate: &mut Gate, object: u64, ms: u64) -> String {
    chosen_with(gate, object, None, ms)
}

fn chosen_with(gate: &mut Gate, object: u64, load: Option<Load>, ms: u64) -> String {
    let arrival = Arrival {
        object: Some(object),
        ..arrival("/browse/1")
    };
    let target = forwarded(gate.handle_arrival(&arrival, at_ms(ms)));
    gate.attempt_ended(target.request, Ending::Answered, load, at_ms(ms + 300));
    target.upstream.to_string()
}

#[test]
fn gateways_of_a_region_send_an_object_to_the_same_upstream() {
    let mut one = sticky(gate(), 600);
    let mut other = sticky(gate_in("east-b"), 600);
    let mut used = BTreeSet::new();
    for object in 0..24 {
        let first = chosen(&mut one, object, 400 * object);
        assert_eq!(chosen(&mut other, object, 400 * object), first);
        assert_eq!(chosen(&mut one, object, 400 * object + 1), first);
        used.insert(first);
    }
    assert_eq!(used.len(), 4, "objects are spread over all upstreams");
}

#[test]
fn a_request_waits_up_to_one_and_a_half_targets_before_it_is_refused() {
    let mut gate = gate();
    let routes = vec![route(
        "browse",
        "/browse/",
        RetrySafety::Idempotent,
        &[("catalogue", 1_000)],
    )];
    let upstream = instance("w-1", "catalogue", "east-a", 1);
    gate.handle_poll_answer(
        REPLICA,
        answer(2, Some(plan(1, routes)), vec![upstream]),
        at_ms(0),
    );
    let report = |gate: &mut Gate, waiting: u32, ms: u64| {
        let load = Load {
            running: 3,
            waiting,
            slots: 3,
            slowness_percent: None,
        };
        let target = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(ms)));
        gate.attempt_ended(target.request, Ending::Left, Some(load), at_ms(ms));
    };
    // Without samples a run is assumed to last 0.2 s. The three slots run in parallel, so a queue
    // of three requests takes about one run. The target is 0.6 s.
    report(&mut gate, 11, 10);
    assert!(matches!(
        gate.handle_arrival(&arrival("/browse/1"), at_ms(11)),
        Decision::Forward(_)
    ));
    report(&mut gate, 16, 12);
    let decision = gate.handle_arrival(&arrival("/browse/1"), at_ms(13));
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
}

/// A gateway whose region has a sixth of all slots keeps a third of its requests in the region
/// while there is no load information, also after a time without requests.
#[test]
fn region_shares_stay_the_same_without_requests() {
    let mut gate = gate();
    let routes = vec![route(
        "browse",
        "/browse/",
        RetrySafety::Idempotent,
        &[("catalogue", 1_000)],
    )];
    let mut instances = vec![instance("w-1", "catalogue", "east-a", 1)];
    for n in 2..7 {
        let id = format!("w-{}", "2".repeat(n));
        instances.push(instance(&id, "catalogue", "west-a", n as u64));
    }
    gate.handle_poll_answer(
        REPLICA,
        answer(9, Some(plan(1, routes)), instances),
        at_ms(0),
    );
    for ms in (0..8_000).step_by(50) {
        gate.tick(at_ms(ms));
    }
    let mut home = 0;
    for n in 0..30 {
        let target = forwarded(gate.handle_arrival(&arrival("/browse/1"), at_ms(8_000 + n)));
        home += u32::from(target.upstream.as_str() == "w-1");
        gate.attempt_ended(target.request, Ending::Answered, None, at_ms(8_000 + n));
    }
    assert!((8..=12).contains(&home), "{home} of 30");
}

/// A gateway with a sticky route and one upstream in each of two regions.
fn two_regions(gateways: usize) -> Gate {
    let mut gate = gate();
    let browse = sticky_route();
    let mut instances = vec![
        instance("w-1", "catalogue", "east-a", 1),
        instance("w-22", "catalogue", "west-a", 2),
    ];
    instances[0].slots = 3_000;
    instances[1].slots = 9_000;
    let mut answer = answer(9, Some(plan(1, vec![browse])), instances);
    answer.gateways = gateways;
    gate.handle_poll_answer(REPLICA, answer, at_ms(0));
    gate
}

/// The arrival times in milliseconds, every 20 ms, and the pseudo-random objects of requests.
fn objects() -> impl Iterator<Item = (u64, u64)> {
    (0..1_500_u64).map(|n| (n * 20, n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 58))
}

/// Sends requests for this many objects. Returns how many went to the region that got most requests
/// for their object, and how many there were.
fn kept_to_one_region(object_count: u64) -> (u32, u32) {
    let mut gate = two_regions(27);
    // Region east is so much busier that no requests are moved back to it from region west.
    let load = Load {
        running: 900,
        waiting: 0,
        slots: 3_000,
        slowness_percent: None,
    };
    let mut counts: BTreeMap<(u64, String), u32> = BTreeMap::new();
    for (ms, object) in objects() {
        let object = object % object_count;
        if ms % 100 == 0 {
            gate.tick(at_ms(ms));
        }
        let upstream = chosen_with(&mut gate, object, Some(load), ms);
        *counts.entry((object, upstream)).or_default() += 1;
    }
    let total: u32 = counts.values().sum();
    let mut most: BTreeMap<u64, u32> = BTreeMap::new();
    for ((object, _), count) in &counts {
        let most = most.entry(*object).or_default();
        *most = (*count).max(*most);
    }
    (most.values().sum(), total)
}

#[test]
fn with_many_requests_an_object_keeps_to_one_region() {
    let (kept, total) = kept_to_one_region(64);
    assert!(
        20 * (total - kept) <= total,
        "{kept} of {total} kept to one"
    );
}

#[test]
fn unevenly_spread_objects_keep_to_one_region() {
    let (kept, total) = kept_to_one_region(16);
    assert!(
        20 * (total - kept) <= total,
        "{kept} of {total} kept to one"
    );
}

/// A gateway whose region has fewer slots than each of two other regions.
fn small_region() -> Gate {
    let domains = [("east-a", "east"), ("south-a", "south"), ("west-a", "west")];
    let mut gate = gate_among(&domains, "east-a");
    let browse = sticky_route();
    let mut instances = vec![
        instance("w-1", "catalogue", "east-a", 1),
        instance("w-22", "catalogue", "south-a", 2),
        instance("w-333", "catalogue", "west-a", 3),
    ];
    for (instance, slots) in instances.iter_mut().zip([300, 1_000, 1_000]) {
        instance.slots = slots;
    }
    let mut answer = answer(9, Some(plan(1, vec![browse])), instances);
    answer.gateways = 27;
    gate.handle_poll_answer(REPLICA, answer, at_ms(0));
    gate
}

#[test]
fn gateways_choose_the_same_region_when_load_estimates_differ_a_little() {
    let run = |south: u32, west: u32| {
        let mut gate = small_region();
        for (ms, object) in objects() {
            if ms % 100 == 0 {
                gate.tick(at_ms(ms));
            }
            let arrival = Arrival {
                object: Some(object),
                ..arrival("/browse/1")
            };
            let target = forwarded(gate.handle_arrival(&arrival, at_ms(ms)));
            let running = match target.upstream.as_str() {
                "w-1" => 90,
                "w-22" => south,
                _ => west,
            };
            let load = Load {
                running,
                waiting: 0,
                slots: 1_000,
                slowness_percent: None,
            };
            gate.attempt_ended(target.request, Ending::Answered, Some(load), at_ms(ms + 5));
        }
        let objects = 0..64;
        let chosen = objects.map(|object| chosen(&mut gate, object, 30_000 + object * 20));
        chosen.collect::<Vec<_>>()
    };
    let (one, other) = (run(350, 250), run(250, 350));
    let same = one.iter().zip(&other).filter(|(one, other)| one == other);
    assert!(same.count() >= 60, "{one:?} and {other:?}");
}
