//! Many gateways that start at the same moment, as after a failure, and poll until they have the whole
//! state. What their polls cost a replica must not grow with the state, beside one copy of it.

mod cluster;

use cluster::{Cluster, plan_of};
use control::{GatewayPoll, GatewayReport, Input, Request};
use plan::{Change, Document, PlanDeclaration, Registration};
use raft::ReplicaId;
use types::TimeUs;

const ROUTES: usize = 1_400;

/// As many as register here before the first of them expire.
const INSTANCES: u16 = 300;

/// The gateways that start at the same moment.
const GATEWAYS: u8 = 65;

/// How often each of them polls while it has no plan, until it gets its turn for large changes.
const POLLS: usize = 10;

/// What a poll may allocate, in bytes, the answer's list of members included.
const POLL_MAX_BYTES: u64 = 8 * 1_024;

fn registration(n: u16, sequence: u64) -> Registration {
    Registration {
        id: format!("w-{n}").parse().expect("a valid name"),
        service: "catalogue".parse().expect("a valid name"),
        address: ([10, 9, (n >> 8) as u8, n as u8], 8_080).into(),
        failure_domain: "east-a".parse().expect("a valid name"),
        slots: 3,
        draining: sequence > 1,
        cold_ms: 0,
        born_ms: 10,
        sequence,
    }
}

/// A cluster with a large plan and many instances, and its leader.
fn cluster() -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(3);
    let declaration = PlanDeclaration {
        plan: plan_of(1, ROUTES),
        document: Document::Own,
        based_on: 0,
    };
    let change = Change::Declare(Box::new(declaration));
    let declared = cluster.request_leader(&Request::Steer { change });
    declared.expect("a valid plan");
    for n in 0..INSTANCES {
        let registration = registration(n, 1);
        let request = Request::Register { registration };
        cluster.request_leader(&request).expect("a heartbeat");
    }
    let leader = cluster.wait_for_leader();
    (cluster, leader)
}

/// The bytes that the polls of all gateways allocate, `polls` of each from index 0.
fn allocated_bytes(
    cluster: &mut Cluster,
    replica: &ReplicaId,
    polls: usize,
    wants_large: bool,
) -> u64 {
    let info = allocation_counter::measure(|| {
        for _ in 0..polls {
            for gateway in 0..GATEWAYS {
                let name = format!("gateway-{gateway}");
                cluster.poll_as_gateway_for(replica, &name, 0, wants_large);
            }
        }
    });
    info.bytes_total
}

// Each poll of a gateway that had just started made the replica copy the whole state, only to hold it
// back. With the polls of many gateways, replicas missed one another's heartbeats and no leader could
// confirm a change.
#[test]
fn a_poll_from_which_large_changes_are_held_back_copies_none_of_them() {
    let (mut cluster, leader) = cluster();
    let bytes = allocated_bytes(&mut cluster, &leader, POLLS, false);
    let polls = POLLS as u64 * u64::from(GATEWAYS);
    println!("{} bytes a poll", bytes / polls);
    assert!(bytes < polls * POLL_MAX_BYTES, "{bytes}");
}

// Each of them then got a copy of the whole state, encoded and deflated for it alone.
#[test]
fn gateways_that_start_together_share_one_answer() {
    let (mut cluster, leader) = cluster();
    let whole = cluster.poll_as_gateway(&leader, "gateway-1", 0);
    assert_eq!(whole.changes.instances.len(), usize::from(INSTANCES));
    let first = allocation_counter::measure(|| drop((*whole).clone())).bytes_total;
    let bytes = allocated_bytes(&mut cluster, &leader, 1, true);
    println!("{bytes} bytes for {GATEWAYS} gateways, {first} for one answer");
    assert!(
        bytes < 2 * first + u64::from(GATEWAYS) * POLL_MAX_BYTES,
        "{bytes}"
    );
}

// A shared answer is an older one. What it lacks must reach a gateway with its next polls.
#[test]
fn changes_since_a_shared_answer_come_with_the_next_poll() {
    let (mut cluster, leader) = cluster();
    let whole = cluster.poll_as_gateway(&leader, "gateway-1", 0);
    let registration = registration(7, 2);
    let drained = cluster.request_leader(&Request::Register { registration });
    drained.expect("a heartbeat");
    let shared = cluster.poll_as_gateway(&leader, "gateway-2", 0);
    assert_eq!(shared.revision, whole.revision);
    let next = cluster.poll_as_gateway(&leader, "gateway-2", shared.revision);
    assert!(next.revision > shared.revision);
    assert_eq!(next.changes.instances.len(), 1);
    assert_eq!(next.changes.instances[0].id.as_str(), "w-7");
}

// However fast changes follow, no gateway gets an answer that is older than a fraction of the time in
// which a change must be in force.
#[test]
fn a_shared_answer_is_given_for_a_fraction_of_a_second() {
    const AGE_MAX_MS: u64 = 250;
    let (mut cluster, leader) = cluster();
    let first = cluster.poll_as_gateway(&leader, "gateway-1", 0);
    let registration = registration(7, 2);
    let drained = cluster.request_leader(&Request::Register { registration });
    drained.expect("a heartbeat");
    cluster.run_ms(AGE_MAX_MS);
    let later = cluster.poll_as_gateway(&leader, "gateway-2", 0);
    assert!(later.revision > first.revision);
    assert_eq!(later.revision, later.newest);
}

// Polls that a replica can't keep up with filled the queue in which the messages of the other replicas
// wait, so that followers missed the leader's heartbeats in a calm group.
#[test]
fn a_poll_that_has_waited_for_long_is_not_answered() {
    const WAITED_MS: u64 = 250;
    let (mut cluster, leader) = cluster();
    let received_us = TimeUs(cluster.now_us);
    cluster.run_ms(WAITED_MS);
    let answered = cluster.poll_as_gateway(&leader, "gateway-1", 0);
    assert!(answered.revision > 0);
    let report = GatewayReport {
        address: ([10, 1, 0, 14], 8_080).into(),
        region: "east".parse().expect("a valid name"),
        failure_domain: "east-a".parse().expect("a valid name"),
        takes_clients: true,
    };
    let body = GatewayPoll {
        gateway: "gateway-2".parse().expect("a valid name"),
        report,
        revision: 0,
        wants_large: true,
        number: 1,
        tokens: None,
    };
    let input = Input::GatewayPoll {
        poll: 1,
        body,
        received_us,
    };
    cluster.gateway_poll_answers.clear();
    cluster.step(&leader, input);
    assert!(cluster.gateway_poll_answers.is_empty());
    assert_eq!(cluster.replicas[&leader].dump().expired_gateway_polls, 1);
}
