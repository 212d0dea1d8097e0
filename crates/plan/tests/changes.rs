//! Keeping a route table up to date with the changes of plans, and validation of hosts.

use plan::{
    Change, Document, Limits, Plan, PlanChanges, PlanDeclaration, RetrySafety, Route, RouteTable,
    ServiceTerms, Steering, WeightedService,
};
use proptest::prelude::*;

fn route(name: &str, prefix: &str, timeout_ms: u64) -> Route {
    Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: RetrySafety::Idempotent,
        timeout_ms,
        target_ms: 600,
        priority: 0,
        parts: vec![WeightedService {
            service: "catalogue".parse().expect("a valid name"),
            weight_milli: 1_000,
        }],
        attempts_max: 2,
        sticky: false,
        home_regions: Vec::new(),
        allow_anonymous: false,
    }
}

fn plan(version: u64, routes: Vec<Route>) -> Plan {
    let terms = ServiceTerms {
        name: "catalogue".parse().expect("a valid name"),
        connections_max: 100,
        cold_milli_per_s: 2_000,
    };
    Plan {
        version,
        routes,
        services: vec![terms],
        limits: Limits {
            header_max_bytes: 16_384,
            body_max_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: Vec::new(),
        keys: plan::KeyUse::Unused,
    }
}

fn declare(steering: &mut Steering, index: u64, plan: Plan) {
    let declaration = PlanDeclaration {
        based_on: steering.version(),
        document: Document::Own,
        plan,
    };
    let change = Change::Declare(Box::new(declaration));
    steering
        .apply(index, 0, &change)
        .expect("the plan is valid");
}

fn plan_changes(steering: &Steering, index: u64) -> PlanChanges {
    let changes = steering.changes_since(index);
    changes.plan.expect("the plan changed")
}

#[test]
fn a_change_of_one_route_among_many_carries_one_route() {
    let mut steering = Steering::default();
    let many = |timeout_ms: u64| {
        let mut routes: Vec<Route> = (0..1_000)
            .map(|n| route(&format!("r{n}"), &format!("/p{n}/"), 1_000))
            .collect();
        routes[7].timeout_ms = timeout_ms;
        routes
    };
    declare(&mut steering, 5, plan(1, many(1_000)));
    assert_eq!(plan_changes(&steering, 0).routes.len(), 1_000);
    declare(&mut steering, 9, plan(2, many(2_000)));
    let changes = plan_changes(&steering, 5);
    assert!(!changes.complete);
    assert_eq!(changes.routes, [route("r7", "/p7/", 2_000)]);
    assert!(changes.removed.is_empty());
}

#[test]
fn two_routes_may_swap_prefixes() {
    let mut steering = Steering::default();
    let first = vec![route("a", "/a/", 1), route("b", "/b/", 2)];
    declare(&mut steering, 1, plan(1, first));
    let mut table = RouteTable::default();
    table.apply(&plan_changes(&steering, 0));
    let second = vec![route("a", "/b/", 1), route("b", "/a/", 2)];
    declare(&mut steering, 2, plan(2, second));
    table.apply(&plan_changes(&steering, 1));
    let found = |path| table.find("shop.example", path).map(|it| it.name.as_str());
    assert_eq!(found("/a/1"), Some("b"));
    assert_eq!(found("/b/1"), Some("a"));
}

#[test]
fn hosts_that_differ_only_in_case_conflict() {
    let mut upper = route("b", "/a/", 1);
    upper.host = "SHOP.example".to_owned();
    let both = plan(1, vec![route("a", "/a/", 1), upper]);
    assert!(plan::validate(&both).is_err());
}

/// Generates routes whose names and prefixes hold small numbers, each prefix at most once.
fn routes() -> impl Strategy<Value = Vec<Route>> {
    let by_name = prop::collection::btree_map(0..6_u8, (0..6_u8, 1..3_u64), 0..6);
    by_name.prop_map(|by_name| {
        let mut taken = std::collections::BTreeSet::new();
        let routes = by_name.into_iter().map(|(name, (prefix, timeout_ms))| {
            route(&format!("r{name}"), &format!("/p{prefix}/"), timeout_ms)
        });
        routes
            .filter(|route| taken.insert(route.prefix.clone()))
            .collect()
    })
}

proptest! {
    /// A gateway that polls after only some of the plans still has the routes of the latest.
    #[test]
    fn skipped_revisions_lead_to_the_same_routes(
        plans in prop::collection::vec((routes(), any::<bool>()), 1..12),
    ) {
        let mut steering = Steering::default();
        let mut table = RouteTable::default();
        let mut applied_index = 0;
        for ((routes, is_polled), index) in plans.into_iter().zip(1..) {
            declare(&mut steering, index, plan(index, routes.clone()));
            if !is_polled {
                continue;
            }
            table.apply(&plan_changes(&steering, applied_index));
            applied_index = index;
            let mut whole = RouteTable::default();
            whole.apply(&PlanChanges::whole(&plan(index, routes)));
            prop_assert!(table.routes().eq(whole.routes()));
            for prefix in 0..6 {
                let path = format!("/p{prefix}/x");
                prop_assert_eq!(
                    table.find("shop.example", &path),
                    whole.find("shop.example", &path)
                );
            }
        }
    }
}
