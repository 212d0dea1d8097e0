//! Whose request it is: unknown keys, routes without keys, and what a tenant has of its own.

mod support;

use gate::{Caller, Decision, Gate, Refusal};
use plan::{KeyUse, RetrySafety, Route, Tenant};
use support::{
    REPLICA, answer, arrival, arrival_with_key, at_ms, forwarded, gate, instance, name, plan,
    refusal, route, tenant,
};

/// A route that wants a key, and one that does not.
fn routes() -> Vec<Route> {
    let parts = [("catalogue", 1_000)];
    let keyed = route("browse", "/browse/", RetrySafety::Idempotent, &parts);
    let open = Route {
        allow_anonymous: true,
        ..route("open", "/open/", RetrySafety::Idempotent, &parts)
    };
    vec![keyed, open]
}

/// A gateway with these tenants, and an upstream in each region.
fn serving(routes: Vec<Route>, tenants: Vec<Tenant>) -> Gate {
    let mut gate = gate();
    let mut plan = plan(1, routes);
    plan.tenants = tenants;
    let instances = vec![
        instance("e-1", "catalogue", "east-a", 1),
        instance("w-1", "catalogue", "west-a", 2),
    ];
    gate.handle_poll_answer(REPLICA, answer(5, Some(plan), instances), at_ms(0));
    gate
}

fn arrive(gate: &mut Gate, path: &str, key: Option<&str>) -> Decision {
    let arrival = key.map_or_else(|| arrival(path), |key| arrival_with_key(path, key));
    gate.handle_arrival(&arrival, at_ms(10))
}

fn caller(gate: &mut Gate, path: &str, key: Option<&str>) -> Caller {
    forwarded(arrive(gate, path, key)).caller
}

// A client whose key nobody holds must not be served as if it were anonymous.
#[test]
fn a_request_without_a_known_key_is_unauthorized_unless_its_route_wants_none() {
    let mut gate = serving(routes(), vec![tenant("acme", &["k1", "k2"])]);
    for key in ["k1", "k2"] {
        let acme = Caller::Tenant("acme".to_owned());
        assert_eq!(caller(&mut gate, "/browse/1", Some(key)), acme);
        assert_eq!(caller(&mut gate, "/open/1", Some(key)), acme);
    }
    for (path, key) in [
        ("/browse/1", None),
        ("/browse/1", Some("k3")),
        ("/open/1", Some("k3")),
    ] {
        let decision = arrive(&mut gate, path, key);
        assert_eq!(decision, Decision::Unauthorized, "{path} {key:?}");
    }
    assert_eq!(caller(&mut gate, "/open/1", None), Caller::Anonymous);
}

// 401 would tell a client that its key is void, while the gateway doesn't know any key yet.
#[test]
fn a_gateway_without_a_plan_does_not_call_a_key_unknown() {
    let mut gate = gate();
    for key in [None, Some("k1")] {
        let decision = arrive(&mut gate, "/browse/1", key);
        assert_eq!(refusal(&decision), Some(Refusal::NoPlan));
    }
}

#[test]
fn a_plan_without_tenants_wants_no_keys() {
    let mut gate = serving(routes(), Vec::new());
    for key in [None, Some("k1")] {
        assert_eq!(caller(&mut gate, "/browse/1", key), Caller::Untracked);
    }
}

// Without tenants every request was let in, also one with a key that a plan had withdrawn: review/14.
#[test]
fn a_plan_that_withdraws_every_key_lets_none_in() {
    let withdrawn = |keys| {
        let mut gate = serving(routes(), vec![tenant("acme", &["k1"])]);
        let mut plan = plan(2, routes());
        plan.keys = keys;
        gate.handle_poll_answer(REPLICA, answer(6, Some(plan), Vec::new()), at_ms(5));
        gate
    };
    for keys in [KeyUse::Required, KeyUse::Withdrawn] {
        let mut gate = withdrawn(keys);
        for path in ["/browse/1", "/open/1"] {
            for key in ["k1", "k2"] {
                let decision = arrive(&mut gate, path, Some(key));
                assert_eq!(decision, Decision::Unauthorized, "{keys:?} {path} {key}");
            }
        }
    }
    // With an empty table, routes still want a key unless they say otherwise; without one they don't.
    let mut empty = withdrawn(KeyUse::Required);
    let decision = arrive(&mut empty, "/browse/1", None);
    assert_eq!(decision, Decision::Unauthorized);
    assert_eq!(caller(&mut empty, "/open/1", None), Caller::Anonymous);
    let mut missing = withdrawn(KeyUse::Withdrawn);
    for path in ["/browse/1", "/open/1"] {
        assert_eq!(caller(&mut missing, path, None), Caller::Keyless);
    }
}

#[test]
fn the_homes_of_route_and_tenant_both_bind() {
    let homes = |regions: &[&str]| regions.iter().map(|it| name(it)).collect::<Vec<_>>();
    for (of_route, of_tenant, served_by) in [
        (&[][..], &["west"][..], Some("w-1")),
        (&["west"], &[], Some("w-1")),
        (&["west", "east"], &["west"], Some("w-1")),
        (&["east"], &["west"], None),
    ] {
        let mut routes = routes();
        routes[0].home_regions = homes(of_route);
        let mut tenant = tenant("acme", &["k1"]);
        tenant.home_regions = homes(of_tenant);
        let mut gate = serving(routes, vec![tenant]);
        match (arrive(&mut gate, "/browse/1", Some("k1")), served_by) {
            (Decision::Forward(target), Some(id)) => assert_eq!(target.upstream.as_str(), id),
            (decision, None) => assert_eq!(refusal(&decision), Some(Refusal::NoUpstream)),
            (other, Some(id)) => panic!("not sent to {id}: {other:?}"),
        }
    }
}

/// Sends requests of `key` to a loaded service until one is refused; returns how many were taken.
fn taken_until_overloaded(gate: &mut Gate, key: &str) -> usize {
    let taken = |_: &usize| {
        let decision = arrive(gate, "/browse/1", Some(key));
        matches!(decision, Decision::Forward(_))
    };
    (0..1_000).take_while(taken).count()
}

// A request of a more urgent tenant may queue for longer than one of the same route without priority.
#[test]
fn the_priority_of_a_tenant_goes_before_that_of_the_route() {
    let urgent_and_late = |priority: u32| {
        let mut routes = routes();
        routes[0].priority = 3;
        let tenant = Tenant {
            priority: Some(priority),
            ..tenant("acme", &["k1"])
        };
        // Another route of the service with a more urgent priority, in use, bounds the queue.
        routes[1].priority = 1;
        routes[1].target_ms = 300;
        let mut gate = serving(routes, vec![tenant, support::tenant("other", &["k2"])]);
        for _ in 0..4 {
            forwarded(arrive(&mut gate, "/open/1", Some("k2")));
        }
        taken_until_overloaded(&mut gate, "k1")
    };
    let (urgent, late) = (urgent_and_late(0), urgent_and_late(5));
    assert!(
        urgent > late,
        "{urgent} requests of priority 0, {late} of 5"
    );
}
