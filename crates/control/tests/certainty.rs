//! Which answers to gateways' polls say that the replica certainly leads. Gateways rely on the keys that
//! they know by these answers alone.

mod cluster;

use cluster::{Cluster, plan_of};
use control::Request;
use plan::{Change, Document, KeyDigest, PlanDeclaration, Tenant};
use raft::ReplicaId;

/// A cluster with a plan of a tenant, and its leader, which has confirmed its leadership.
fn serving(routes: usize) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(3);
    let mut plan = plan_of(1, routes);
    plan.tenants.push(Tenant {
        name: "acme".to_owned(),
        keys: vec![KeyDigest::of("k1")],
        priority: None,
        rate_milli_per_s: 0,
        burst: 0,
        home_regions: Vec::new(),
    });
    let declaration = PlanDeclaration {
        plan,
        document: Document::Own,
        based_on: 0,
    };
    let change = Change::Declare(Box::new(declaration));
    let declared = cluster.request_leader(&Request::Steer { change });
    declared.expect("the plan is valid");
    let leader = cluster.wait_for_leader();
    cluster.poll_as_gateway(&leader, "gateway-1", 0);
    cluster.run_ms(300);
    (cluster, leader)
}

fn is_certain(cluster: &mut Cluster, replica: &ReplicaId) -> bool {
    let newest = cluster.replicas[replica].state().steering().revision();
    let answer = cluster.poll_as_gateway(replica, "gateway-1", newest);
    answer.is_certain
}

#[test]
fn only_the_leader_is_certain_and_not_when_it_is_cut_off() {
    let (mut cluster, leader) = serving(1);
    assert!(is_certain(&mut cluster, &leader));
    let follower = cluster.follower();
    assert!(!is_certain(&mut cluster, &follower));
    cluster.isolated.insert(leader.clone());
    cluster.run_ms(1_000);
    assert!(!is_certain(&mut cluster, &leader));
    let next = cluster.wait_for_leader();
    is_certain(&mut cluster, &next);
    cluster.run_ms(300);
    assert!(is_certain(&mut cluster, &next));
}

// The clock of a suspended machine stands still. Without the time of the suspension, a replaced leader
// extended the leases of gateways that polled it before it heard of the next one.
#[test]
fn a_leader_that_was_suspended_is_certain_only_after_it_has_confirmed_its_leadership_again() {
    const SUSPENDED_US: u64 = 2_000_000;
    let (mut cluster, leader) = serving(1);
    assert!(is_certain(&mut cluster, &leader));
    let control = cluster.replicas.get_mut(&leader).expect("it runs");
    control.set_suspended_us(SUSPENDED_US);
    assert!(!is_certain(&mut cluster, &leader));
    cluster.run_ms(500);
    assert!(is_certain(&mut cluster, &leader));
}

// Gateways share an answer with large changes, so that it can't tell when each one's poll was sent.
#[test]
fn an_answer_repeats_the_number_of_its_poll_unless_it_is_shared() {
    let (mut cluster, leader) = serving(40);
    let shared = cluster.poll_as_gateway(&leader, "gateway-1", 0);
    assert_eq!((shared.number, shared.is_certain), (0, false));
    let held_back = cluster.poll_as_gateway_for(&leader, "gateway-1", 0, false);
    assert!(held_back.held_back > 0 && held_back.number > 0 && held_back.is_certain);
    let next = cluster.poll_as_gateway(&leader, "gateway-1", held_back.newest);
    assert!(next.number > held_back.number && next.is_certain);
}
