//! Gateways, plans, instances and answers of replicas for the tests.

#![allow(dead_code)]

pub mod fleet;
pub mod model;

use control::GatewayPollAnswer;
use gate::{Arrival, Decision, Gate, GateBounds, GateConfig, Refusal, Target};
use plan::{
    Instance, InstanceState, KeyDigest, Limits, Plan, PlanChanges, RetrySafety, Route,
    ServiceTerms, SteeringChanges, Tenant, WeightedService,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::{AtomicU64, Ordering},
};
use types::{DomainName, TimeUs};

/// The replica that most answers come from; one of the seeds.
pub const REPLICA: &str = "10.1.0.1";

/// The failure domains with their regions.
pub const DOMAINS: [(&str, &str); 4] = [
    ("east-a", "east"),
    ("east-b", "east"),
    ("west-a", "west"),
    ("west-b", "west"),
];

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

/// A gateway in the failure domain east-a.
pub fn gate() -> Gate {
    gate_in("east-a")
}

/// One of the gateways of the failure domain east-a.
pub fn gate_number(number: usize) -> Gate {
    gate_named(&format!("10.1.0.{number}"), &DOMAINS, "east-a")
}

/// A gateway in one of the failure domains of region east.
pub fn gate_in(domain: &str) -> Gate {
    gate_among(&DOMAINS, domain)
}

/// A gateway of region east, in `domain`, which is one of these failure domains with their regions.
pub fn gate_among(domains: &[(&str, &str)], domain: &str) -> Gate {
    gate_named("10.1.0.15", domains, domain)
}

/// A gateway in the failure domain east-a where a withdrawn key must stop working within 5 s.
pub fn strict_gate() -> Gate {
    let config = config("10.1.0.15", &DOMAINS, "east-a", Some(5_000));
    Gate::new(config, at_ms(0))
}

fn gate_named(gateway: &str, domains: &[(&str, &str)], domain: &str) -> Gate {
    Gate::new(config(gateway, domains, domain, None), at_ms(0))
}

fn config(
    gateway: &str,
    domains: &[(&str, &str)],
    domain: &str,
    revoke_ms: Option<u64>,
) -> GateConfig {
    let regions: BTreeMap<_, _> = domains
        .iter()
        .map(|(domain, region)| (name(domain), name(region)))
        .collect();
    GateConfig {
        name: name(gateway),
        address: name("10.1.0.15:8080"),
        region: name("east"),
        failure_domain: name(domain),
        regions,
        seeds: vec![REPLICA.to_owned(), "10.1.0.2".to_owned()],
        bounds: GateBounds {
            retry_ratio: 0.2,
            retry_slack: 60.0,
            retry_window_ms: 10_000,
            region_shift_max: 0.15,
            grace_ms: 6_000,
            revoke_ms,
        },
    }
}

pub const fn at_ms(ms: u64) -> TimeUs {
    TimeUs(1_000_000 + ms * 1_000)
}

pub fn route(route: &str, prefix: &str, repeat: RetrySafety, parts: &[(&str, i64)]) -> Route {
    Route {
        name: route.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat,
        timeout_ms: 4_000,
        target_ms: 600,
        priority: 0,
        parts: parts
            .iter()
            .map(|(service, weight_milli)| WeightedService {
                service: name(service),
                weight_milli: *weight_milli,
            })
            .collect(),
        attempts_max: 2,
        sticky: false,
        home_regions: Vec::new(),
        allow_anonymous: false,
    }
}

pub fn plan(version: u64, routes: Vec<Route>) -> Plan {
    let terms = |service: &str| ServiceTerms {
        name: name(service),
        connections_max: 100,
        cold_milli_per_s: 2_000,
    };
    Plan {
        version,
        routes,
        services: vec![terms("catalogue"), terms("orders")],
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

/// A tenant with these keys and nothing else.
pub fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        priority: None,
        rate_milli_per_s: 0,
        burst: 0,
        home_regions: Vec::new(),
    }
}

pub fn instance(id: &str, service: &str, domain: &str, revision: u64) -> Instance {
    // The port follows from the name's length and the revision, which together differ between the
    // instances of a test, so that they have different addresses.
    let port = 8_000 + u16::try_from(id.len() + revision as usize).unwrap_or_default();
    Instance {
        id: name(id),
        service: name(service),
        address: std::net::SocketAddr::from(([10, 9, 0, 1], port)),
        failure_domain: name(domain),
        slots: 3,
        state: InstanceState::Ready,
        cold_until_ms: 0,
        born_ms: 1,
        sequence: 1,
        revision,
        is_displaced: false,
    }
}

/// A replica's answer that leads to a revision.
pub fn answer(revision: u64, plan: Option<Plan>, instances: Vec<Instance>) -> GatewayPollAnswer {
    GatewayPollAnswer {
        newest: revision,
        revision,
        held_back: 0,
        clock_ms: 1_000,
        knows_leader: true,
        is_current: true,
        is_certain: true,
        number: 0,
        members: vec!["10.1.0.1".to_owned()],
        gateways: 4,
        interval_ms: 400,
        changes: SteeringChanges {
            complete: false,
            plan: plan.as_ref().map(PlanChanges::whole),
            evacuated: None,
            instances,
        },
        tokens: None,
    }
}

/// A replica's answer that changes the evacuated failure domains.
pub fn evacuated(revision: u64, domains: &[&str]) -> GatewayPollAnswer {
    let mut answer = answer(revision, None, Vec::new());
    let domains: BTreeSet<DomainName> = domains.iter().map(|domain| name(domain)).collect();
    answer.changes.evacuated = Some(domains);
    answer
}

pub fn arrival(path: &str) -> Arrival<'_> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    Arrival {
        request: NEXT.fetch_add(1, Ordering::Relaxed),
        host: "shop.example",
        path,
        timeout_ms: Some(3_000),
        object: None,
        key: None,
    }
}

/// An arrival with a key.
pub fn arrival_with_key<'a>(path: &'a str, key: &str) -> Arrival<'a> {
    Arrival {
        key: Some(KeyDigest::of(key)),
        ..arrival(path)
    }
}

/// Why a request is refused; none when it is not.
pub fn refusal(decision: &Decision) -> Option<Refusal> {
    match decision {
        Decision::Refuse { refusal, .. } => Some(*refusal),
        Decision::NoRoute | Decision::Unauthorized | Decision::Wait | Decision::Forward(_) => None,
    }
}

pub fn forwarded(decision: Decision) -> Target {
    match decision {
        Decision::Forward(target) => target,
        other => panic!("not forwarded: {other:?}"),
    }
}
