//! Tests plans, instances, gateways and changes of membership over a cluster of control replicas.

mod cluster;

use cluster::{Cluster, id};
use control::{Answer, Input, Request};
use plan::{
    Change, ChangeResult, Document, InstanceState, Limits, Plan, PlanDeclaration, Registration,
    RetrySafety, Route, ServiceTerms, WeightedService,
};
use std::{collections::BTreeMap, net::SocketAddr};
use types::ApiError;

fn plan(version: u64, service: &str) -> Plan {
    Plan {
        version,
        routes: vec![Route {
            name: "browse".to_owned(),
            host: "shop.example".to_owned(),
            prefix: "/browse/".to_owned(),
            repeat: RetrySafety::Idempotent,
            timeout_ms: 2_000,
            target_ms: 500,
            priority: 0,
            parts: vec![WeightedService {
                service: service.parse().expect("a valid name"),
                weight_milli: 1_000,
            }],
            attempts_max: 2,
            sticky: false,
            home_regions: Vec::new(),
            allow_anonymous: false,
        }],
        services: vec![ServiceTerms {
            name: "catalogue".parse().expect("a valid name"),
            connections_max: 100,
            cold_milli_per_s: 2_000,
        }],
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

fn declare(version: u64, based_on: u64, document: &str) -> Request {
    declare_for(version, based_on, document, "catalogue")
}

fn declare_for(version: u64, based_on: u64, document: &str, service: &str) -> Request {
    let change = Change::Declare(Box::new(PlanDeclaration {
        plan: plan(version, service),
        document: Document::Foreign(document.to_owned()),
        based_on,
    }));
    Request::Steer { change }
}

/// The version of the plan in force and its document.
fn in_force(cluster: &mut Cluster) -> (u64, String) {
    match cluster.request_leader(&Request::ReadPlan) {
        Ok(Answer::Plan(in_force)) => match (in_force.plan, in_force.document) {
            (Some(plan), Some(Document::Foreign(text))) => (plan.version, text),
            other => panic!("expected a plan and its document, got {other:?}"),
        },
        other => panic!("the leader did not answer with the plan: {other:?}"),
    }
}

fn heartbeat(id: &str, born_ms: u64, sequence: u64) -> Registration {
    Registration {
        id: id.parse().expect("a valid name"),
        service: "catalogue".parse().expect("a valid name"),
        address: "10.9.0.1:8080".parse().expect("a valid address"),
        failure_domain: "east-a".parse().expect("a valid name"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born_ms,
        sequence,
    }
}

fn register(registration: Registration) -> Request {
    Request::Register { registration }
}

const ACCEPTED: Result<Answer, ApiError> = Ok(Answer::Steered(ChangeResult::Applied));

#[test]
fn of_two_plans_on_one_version_the_first_wins_and_its_resend_is_accepted() {
    let mut cluster = Cluster::new(3);
    let accepted = Ok(Answer::Steered(ChangeResult::Declared { version: 5 }));
    assert_eq!(cluster.request_leader(&declare(5, 0, "first")), accepted);
    let lost = cluster.request_leader(&declare(5, 0, "second"));
    assert_eq!(lost, Err(ApiError::PlanConflict { current_version: 5 }));
    assert_eq!(cluster.request_leader(&declare(5, 0, "first")), accepted);
    let later = cluster.request_leader(&declare(9, 5, "third"));
    assert_eq!(
        later,
        Ok(Answer::Steered(ChangeResult::Declared { version: 9 }))
    );
    assert_eq!(cluster.request_leader(&declare(5, 0, "first")), accepted);
    assert_eq!(in_force(&mut cluster), (9, "third".to_owned()));
}

#[test]
fn an_invalid_plan_is_refused_and_never_in_force() {
    let mut cluster = Cluster::new(3);
    let unknown = cluster.request_leader(&declare_for(5, 0, "unknown", "payout"));
    assert!(
        matches!(unknown, Err(ApiError::InvalidPlan { .. })),
        "{unknown:?}"
    );
    cluster
        .request_leader(&declare(5, 0, "first"))
        .expect("a valid plan");
    let old = cluster.request_leader(&declare(5, 5, "same version"));
    assert!(matches!(old, Err(ApiError::InvalidPlan { .. })), "{old:?}");
    assert_eq!(in_force(&mut cluster), (5, "first".to_owned()));
}

#[test]
fn an_acknowledged_plan_survives_the_loss_of_every_process() {
    let mut cluster = Cluster::new(3);
    cluster
        .request_leader(&declare(5, 0, "first"))
        .expect("a valid plan");
    let all: Vec<_> = cluster.replicas.keys().cloned().collect();
    all.iter().for_each(|replica| cluster.kill(replica));
    all.iter().for_each(|replica| cluster.start(replica));
    assert_eq!(in_force(&mut cluster), (5, "first".to_owned()));
}

#[test]
fn a_gateway_learns_of_a_drain_from_any_replica_once_it_is_acknowledged() {
    let mut cluster = Cluster::new(3);
    assert_eq!(
        cluster.request_leader(&register(heartbeat("w-1", 10, 1))),
        ACCEPTED
    );
    let drained = Registration {
        draining: true,
        ..heartbeat("w-1", 10, 2)
    };
    assert_eq!(cluster.request_leader(&register(drained)), ACCEPTED);
    cluster.run_ms(200);
    for replica in cluster.replicas.keys().cloned().collect::<Vec<_>>() {
        let answer = cluster.poll_as_gateway(&replica, "gateway-1", 0);
        let states: Vec<_> = answer.changes.instances.iter().map(|it| it.state).collect();
        assert_eq!(states, [InstanceState::Draining], "at {replica}");
    }
}

#[test]
fn a_late_heartbeat_neither_revives_an_instance_nor_takes_its_address_back() {
    let mut cluster = Cluster::new(3);
    cluster
        .request_leader(&register(heartbeat("w-1", 10, 1)))
        .expect("a heartbeat");
    let leave = Change::Leave {
        id: "w-1".parse().expect("a valid name"),
        born_ms: None,
        received_ms: None,
    };
    cluster
        .request_leader(&Request::Steer { change: leave })
        .expect("a leave");
    cluster
        .request_leader(&register(heartbeat("w-1", 10, 2)))
        .expect("a late heartbeat");
    cluster
        .request_leader(&register(heartbeat("w-2", 20, 1)))
        .expect("a heartbeat");
    cluster
        .request_leader(&register(heartbeat("w-0", 5, 9)))
        .expect("a late heartbeat");
    let leader = cluster.wait_for_leader();
    let steering = cluster.replicas[&leader].state().steering();
    let present: Vec<_> = steering.instances().filter(|it| it.is_present()).collect();
    assert_eq!(present.len(), 1);
    assert_eq!(present[0].id.as_str(), "w-2");
}

#[test]
fn an_unchanged_heartbeat_adds_no_log_entry() {
    let mut cluster = Cluster::new(3);
    cluster
        .request_leader(&register(heartbeat("w-1", 10, 1)))
        .expect("a heartbeat");
    let leader = cluster.wait_for_leader();
    let before = cluster.replicas[&leader].status().last_index;
    for sequence in 2..20 {
        cluster
            .request_leader(&register(heartbeat("w-1", 10, sequence)))
            .expect("a heartbeat");
    }
    assert_eq!(cluster.replicas[&leader].status().last_index, before);
}

// A foreign report under the name of a sound instance, with a later start, made the leader take the
// heartbeats of that instance for old ones, so that it expired.
#[test]
fn a_foreign_report_does_not_let_an_instance_expire() {
    let mut cluster = Cluster::new(3);
    cluster
        .request_leader(&declare(5, 0, "first"))
        .expect("a valid plan");
    cluster
        .request_leader(&register(heartbeat("w-1", 10, 1)))
        .expect("a heartbeat");
    let foreign = Registration {
        service: "node-agent".parse().expect("a valid name"),
        ..heartbeat("w-1", 99, 1)
    };
    let leader = cluster.wait_for_leader();
    let before = cluster.replicas[&leader].status().last_index;
    assert_eq!(cluster.request_leader(&register(foreign)), ACCEPTED);
    assert_eq!(cluster.replicas[&leader].status().last_index, before);
    for sequence in 2..20 {
        cluster.run_ms(1_000);
        let sound = register(heartbeat("w-1", 10, sequence));
        assert_eq!(cluster.request_leader(&sound), ACCEPTED);
    }
    let steering = cluster.replicas[&leader].state().steering();
    let state = steering.instance("w-1").map(|it| it.state);
    assert_eq!(state, Some(InstanceState::Ready));
    let dump = cluster.replicas[&leader].dump();
    assert_eq!(dump.unknown_service_heartbeats, 1);
}

#[test]
fn a_silent_instance_expires_and_its_next_heartbeat_brings_it_back() {
    let mut cluster = Cluster::new(3);
    cluster
        .request_leader(&register(heartbeat("w-1", 10, 1)))
        .expect("a heartbeat");
    cluster.run_ms(11_000);
    let leader = cluster.wait_for_leader();
    let state = |cluster: &Cluster| {
        let steering = cluster.replicas[&leader].state().steering();
        steering.instance("w-1").map(|it| it.state)
    };
    assert_eq!(state(&cluster), Some(InstanceState::Expired));
    cluster
        .request_leader(&register(heartbeat("w-1", 10, 2)))
        .expect("a heartbeat");
    assert_eq!(state(&cluster), Some(InstanceState::Ready));
}

#[test]
fn a_silent_voter_among_an_odd_number_keeps_its_vote() {
    let mut cluster = Cluster::with_open_membership(5);
    let silent = cluster.follower();
    cluster.isolated.insert(silent.clone());
    cluster.run_ms(15_000);
    let leader = cluster.wait_for_leader();
    let voters = cluster.replicas[&leader].status().membership.voters;
    assert_eq!(voters.len(), 5);
    assert!(voters.contains(&silent));
}

#[test]
fn a_replica_that_joins_takes_the_place_of_a_silent_voter() {
    let mut cluster = Cluster::with_open_membership(5);
    let silent = cluster.follower();
    cluster.isolated.insert(silent.clone());
    cluster.run_ms(3_000);
    let newcomer = id("control-9", 77);
    cluster.start(&newcomer);
    for _ in 0..20 {
        let leader = cluster.wait_for_leader();
        let from = newcomer.clone();
        cluster.step(&leader, Input::Join { join: 1, from });
        cluster.run_ms(200);
    }
    let leader = cluster.wait_for_leader();
    let voters = cluster.replicas[&leader].status().membership.voters;
    assert_eq!(voters.len(), 5);
    assert!(voters.contains(&newcomer) && !voters.contains(&silent));
}

#[test]
fn a_replica_that_knows_only_followers_learns_whom_to_ask() {
    let mut cluster = Cluster::with_open_membership(3);
    let leader = cluster.wait_for_leader();
    let follower = cluster.follower();
    let newcomer = id("control-9", 77);
    cluster.start(&newcomer);
    assert!(cluster.replicas[&newcomer].needs_admission());
    let from = newcomer.clone();
    cluster.step(&follower, Input::Join { join: 7, from });
    let names = cluster
        .join_answers
        .remove(&7)
        .expect("joins are answered at once");
    cluster.step(&newcomer, Input::Members { names });
    let peer_names = cluster.replicas[&newcomer].peer_names();
    assert!(peer_names.contains(&leader.name), "{peer_names:?}");
}

#[test]
fn a_gateway_is_named_to_clients_until_it_falls_silent() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.wait_for_leader();
    cluster.poll_as_gateway(&leader, "gateway-1", 0);
    let locate = Request::Locate {
        region: "west".to_owned(),
        failure_domain: "west-a".to_owned(),
    };
    let address = "10.1.0.15:8080".parse().expect("a valid address");
    let named = cluster.request(&leader, locate.clone());
    assert_eq!(named, Ok(Answer::Gateways(vec![address])));
    cluster.run_ms(3_000);
    let named = cluster.request(&leader, locate);
    assert_eq!(named, Ok(Answer::Gateways(Vec::new())));
}

#[test]
fn clients_are_spread_over_all_gateways_of_their_failure_domain() {
    const GATEWAYS: usize = 40;
    let mut cluster = Cluster::new(3);
    let leader = cluster.wait_for_leader();
    for number in 1..=GATEWAYS {
        cluster.poll_as_gateway(&leader, &format!("gateway-{number}"), 0);
    }
    let locate = Request::Locate {
        region: "east".to_owned(),
        failure_domain: "east-a".to_owned(),
    };
    let mut named: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for _ in 0..GATEWAYS {
        let Ok(Answer::Gateways(gateways)) = cluster.request(&leader, locate.clone()) else {
            panic!("the replica did not answer with gateways");
        };
        assert!(!gateways.is_empty());
        for gateway in gateways {
            *named.entry(gateway).or_default() += 1;
        }
    }
    assert_eq!(named.len(), GATEWAYS);
    let (least, most) = (named.values().min(), named.values().max());
    assert_eq!(least, most, "{named:?}");
}

#[test]
fn a_plan_in_its_own_form_is_read_back_and_its_resend_is_accepted() {
    let mut cluster = Cluster::new(3);
    let own = |version: u64, based_on: u64, service: &str| Request::Steer {
        change: Change::Declare(Box::new(PlanDeclaration {
            plan: plan(version, service),
            document: Document::Own,
            based_on,
        })),
    };
    let accepted = Ok(Answer::Steered(ChangeResult::Declared { version: 5 }));
    assert_eq!(cluster.request_leader(&own(5, 0, "catalogue")), accepted);
    assert_eq!(cluster.request_leader(&own(5, 0, "catalogue")), accepted);
    let other = cluster.request_leader(&own(5, 0, "payout"));
    assert_eq!(other, Err(ApiError::PlanConflict { current_version: 5 }));
    let Ok(Answer::Plan(in_force)) = cluster.request_leader(&Request::ReadPlan) else {
        panic!("the leader did not answer with the plan");
    };
    assert_eq!(in_force.plan, Some(plan(5, "catalogue")));
}
