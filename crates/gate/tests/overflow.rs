//! The pattern of load in which one object gets more requests than its upstream has slots for,
//! while most upstreams of the region are free.

mod support;

use gate::{Arrival, Decision, Ending, Gate};
use plan::{InstanceState, KeyDigest, RetrySafety, Tenant};
use std::collections::BTreeSet;
use support::{REPLICA, answer, arrival, at_ms, gate_in, instance, plan, route};

const UPSTREAMS: u64 = 24;

/// A gateway with a sticky route and many upstreams in both failure domains of its region.
fn serving(domain: &str) -> Gate {
    serving_tenants(domain, &[])
}

/// The same for tenants, whose keys are their names.
fn serving_tenants(domain: &str, tenants: &[&str]) -> Gate {
    let mut gate = gate_in(domain);
    let parts = [("catalogue", 1_000)];
    let mut browse = route("browse", "/browse/", RetrySafety::Idempotent, &parts);
    browse.sticky = true;
    let upstreams = (0..UPSTREAMS).map(|n| {
        let domain = if n % 2 == 0 { "east-a" } else { "east-b" };
        instance(&format!("w-{n:02}"), "catalogue", domain, n + 1)
    });
    let upstreams = upstreams.collect();
    let mut plan = plan(1, vec![browse]);
    plan.tenants = tenants.iter().map(|name| tenant(name)).collect();
    gate.handle_poll_answer(REPLICA, answer(90, Some(plan), upstreams), at_ms(0));
    gate
}

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: vec![KeyDigest::of(name)],
        priority: None,
        rate_milli_per_s: 0,
        burst: 0,
        home_regions: Vec::new(),
    }
}

/// Sends `count` requests for an object at once; returns the upstreams that get them and how many
/// are refused.
fn burst(gate: &mut Gate, object: u64, count: u64) -> (BTreeSet<String>, u64) {
    burst_of(gate, None, object, count)
}

/// The same with a key.
fn burst_of(
    gate: &mut Gate,
    key: Option<&str>,
    object: u64,
    count: u64,
) -> (BTreeSet<String>, u64) {
    let mut used = BTreeSet::new();
    let mut refused = 0;
    for n in 0..count {
        let arrival = Arrival {
            object: Some(object),
            key: key.map(KeyDigest::of),
            ..arrival("/browse/1")
        };
        match gate.handle_arrival(&arrival, at_ms(n)) {
            Decision::Forward(target) => {
                used.insert(target.upstream.to_string());
            }
            Decision::Refuse { .. } => refused += 1,
            Decision::NoRoute | Decision::Unauthorized | Decision::Wait => {
                panic!("no route matches")
            }
        }
    }
    (used, refused)
}

#[test]
fn what_one_upstream_has_no_room_for_goes_to_one_other() {
    for object in 0..20 {
        let (used, refused) = burst(&mut serving("east-a"), object, 18);
        assert_eq!(used.len(), 2, "{used:?}");
        assert_eq!(refused, 0, "two upstreams have room for 18 requests");
    }
}

// The metric of runs with affinity counts by this. It must not count requests that name no object.
#[test]
fn an_attempt_tells_whether_its_upstream_likely_knows_the_object() {
    let mut gate = serving("east-a");
    let mut send = |object| {
        let arrival = Arrival {
            object,
            ..arrival("/browse/1")
        };
        match gate.handle_arrival(&arrival, at_ms(0)) {
            Decision::Forward(target) => (target.upstream, target.has_affinity),
            other => panic!("not forwarded: {other:?}"),
        }
    };
    let (first, has_affinity) = send(Some(7));
    assert_eq!(has_affinity, Some(true));
    let overflow = (0..17).map(|_| send(Some(7))).find(|it| it.0 != first);
    assert_eq!(overflow.map(|it| it.1), Some(Some(false)));
    assert_eq!(send(None).1, None);
}

#[test]
fn gateways_of_a_region_let_an_object_overflow_to_the_same_upstream() {
    for object in 0..20 {
        let (one, _) = burst(&mut serving("east-a"), object, 24);
        let (other, _) = burst(&mut serving("east-b"), object, 24);
        let all: BTreeSet<&String> = one.union(&other).collect();
        assert_eq!(all.len(), 2, "{one:?} and {other:?}");
    }
}

#[test]
fn an_object_whose_upstream_is_not_overloaded_keeps_to_it() {
    let mut gate = serving("east-a");
    for object in 0..20 {
        let mut used = BTreeSet::new();
        for n in 0..10 {
            let arrival = Arrival {
                object: Some(object),
                ..arrival("/browse/1")
            };
            let now = at_ms(1_000 * object + 100 * n);
            let Decision::Forward(target) = gate.handle_arrival(&arrival, now) else {
                panic!("refused without load");
            };
            gate.attempt_ended(target.request, Ending::Answered, None, now);
            used.insert(target.upstream.to_string());
        }
        assert_eq!(used.len(), 1, "{used:?}");
    }
}

#[test]
fn when_an_objects_upstreams_leave_others_take_over() {
    let mut gate = serving("east-a");
    let (used, _) = burst(&mut gate, 7, 18);
    let leaving = used.iter().zip(100..).map(|(id, revision)| {
        let mut instance = instance(id, "catalogue", "east-a", revision);
        instance.state = InstanceState::Gone;
        instance
    });
    let leaving = leaving.collect();
    gate.handle_poll_answer(REPLICA, answer(110, None, leaving), at_ms(50));
    let (others, refused) = burst(&mut gate, 7, 18);
    assert!(used.is_disjoint(&others));
    assert_eq!((others.len(), refused), (2, 0));
}

/// While most of the upstreams are free, no tenant is above its share of the service: the upstreams of an
/// object that one tenant asks for take as many of its requests as without tenants.
#[test]
fn a_popular_object_makes_no_tenant_exceed_its_share() {
    const REQUESTS: u64 = 28;
    let mut gate = serving_tenants("east-a", &["small", "large"]);
    let (_, refused) = burst_of(&mut gate, Some("small"), 3, 6);
    assert_eq!(refused, 0);
    let (_, refused) = burst_of(&mut gate, Some("large"), 7, REQUESTS);
    let (_, refused_without) = burst(&mut serving("east-a"), 7, REQUESTS);
    assert_eq!(refused, refused_without);
}
