//! Which replica grants tokens of tenants' quotas, and what a new leader grants.

mod cluster;

use cluster::{Cluster, plan_of};
use control::Request;
use plan::{Change, Document, KeyDigest, PlanDeclaration, Tenant};
use raft::ReplicaId;
use share::{TokenAnswer, TokenReport, TokenWant};

const GATEWAY: &str = "gateway-1";

/// Requests per second, and the burst.
const RATE: u64 = 100;

fn declare(cluster: &mut Cluster, version: u64, rate_per_s: u64) {
    let mut plan = plan_of(version, 1);
    plan.tenants.push(Tenant {
        name: "acme".to_owned(),
        keys: vec![KeyDigest::of("key")],
        priority: None,
        rate_milli_per_s: rate_per_s * 1_000,
        burst: rate_per_s,
        home_regions: Vec::new(),
    });
    let declaration = PlanDeclaration {
        plan,
        document: Document::Own,
        based_on: version - 1,
    };
    let change = Change::Declare(Box::new(declaration));
    let declared = cluster.request_leader(&Request::Steer { change });
    declared.expect("a valid plan");
}

fn report(serial: u64, wanted: u64) -> TokenReport {
    let want = TokenWant {
        tenant: "acme".to_owned(),
        wanted,
        held: 0,
        returned: Vec::new(),
    };
    TokenReport {
        incarnation: 1,
        serial,
        applied: 0,
        term: 0,
        stamp_us: 0,
        pledges: false,
        parts: 1,
        wants: vec![want],
    }
}

/// Reports as a gateway after a calm time, in which the replica becomes certain of leading.
fn calm_answer(
    cluster: &mut Cluster,
    replica: &ReplicaId,
    serial: u64,
    wanted: u64,
) -> Option<TokenAnswer> {
    for n in 0..20 {
        cluster.report_tokens(replica, GATEWAY, report(serial + n, 0));
        cluster.run_ms(100);
    }
    cluster.report_tokens(replica, GATEWAY, report(serial + 20, wanted))
}

fn tokens(answer: &Option<TokenAnswer>) -> u64 {
    answer.as_ref().map_or(0, |answer| answer.grants[0].tokens)
}

#[test]
fn the_leader_grants_tokens_and_a_follower_none() {
    let mut cluster = Cluster::new(3);
    declare(&mut cluster, 1, RATE);
    let leader = cluster.wait_for_leader();
    let answer = calm_answer(&mut cluster, &leader, 1, 10);
    assert_eq!(tokens(&answer), 10);
    let follower = cluster.follower();
    assert_eq!(calm_answer(&mut cluster, &follower, 100, 10), None);
}

// Two leaders that grant at the same time would together grant more than the quota.
#[test]
fn a_leader_that_is_cut_off_grants_nothing() {
    let mut cluster = Cluster::new(3);
    declare(&mut cluster, 1, RATE);
    let leader = cluster.wait_for_leader();
    assert_eq!(tokens(&calm_answer(&mut cluster, &leader, 1, 1)), 1);
    cluster.isolated.insert(leader.clone());
    cluster.run_ms(1_000);
    let answer = cluster.report_tokens(&leader, GATEWAY, report(50, 1));
    assert_eq!(answer, None);
}

// The leader before may have granted everything just now.
#[test]
fn a_new_leader_starts_with_empty_buckets() {
    let mut cluster = Cluster::new(3);
    declare(&mut cluster, 1, RATE);
    let first = cluster.wait_for_leader();
    let granted = tokens(&calm_answer(&mut cluster, &first, 1, 10 * RATE));
    assert!(granted > 0);
    cluster.kill(&first);
    cluster.run_until("another leader", |cluster| cluster.leader().is_some());
    let second = cluster.wait_for_leader();
    // Until the new leader is certain it answers nothing.
    let mut serial = 100;
    let answer = loop {
        serial += 1;
        let report = report(serial, 10 * RATE);
        if let Some(answer) = cluster.report_tokens(&second, GATEWAY, report) {
            break answer;
        }
        cluster.run_ms(10);
    };
    assert!(answer.grants[0].tokens < RATE / 10, "{answer:?}");
    assert!(answer.grants[0].retry_after_ms > 0);
}

// The bucket held what the higher limit allowed.
#[test]
fn a_lowered_limit_holds_for_the_next_grant() {
    const LOWERED: u64 = 4;
    let mut cluster = Cluster::new(3);
    declare(&mut cluster, 1, RATE);
    let leader = cluster.wait_for_leader();
    calm_answer(&mut cluster, &leader, 1, 0);
    declare(&mut cluster, 2, LOWERED);
    let answer = cluster.report_tokens(&leader, GATEWAY, report(50, RATE));
    assert!(tokens(&answer) <= LOWERED, "{answer:?}");
}

// A message that comes twice must not be granted twice.
#[test]
fn a_repeated_report_is_not_answered_again() {
    let mut cluster = Cluster::new(3);
    declare(&mut cluster, 1, RATE);
    let leader = cluster.wait_for_leader();
    assert_eq!(tokens(&calm_answer(&mut cluster, &leader, 1, 5)), 5);
    let again = cluster.report_tokens(&leader, GATEWAY, report(21, 5));
    assert_eq!(again, None);
}

// Gateways whose plan still has a limit that is gone must not refuse anyone.
#[test]
fn a_tenant_whose_limit_is_gone_gets_what_it_wants() {
    let mut cluster = Cluster::new(3);
    declare(&mut cluster, 1, 1);
    let leader = cluster.wait_for_leader();
    calm_answer(&mut cluster, &leader, 1, 0);
    declare(&mut cluster, 2, 0);
    let answer = cluster.report_tokens(&leader, GATEWAY, report(50, RATE));
    assert_eq!(tokens(&answer), RATE);
}
