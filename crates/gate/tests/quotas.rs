//! How requests of tenants with a quota get their tokens, wait for them, and give them back.

mod support;

use control::GatewayPollAnswer;
use gate::{Decision, Ending, Failure, Gate, NextStep, Refusal};
use plan::{KeyDigest, RetrySafety, Tenant};
use share::{QuotaTerms, TokenAnswer, TokenGrant, TokenReport};
use support::{REPLICA, answer, arrival, at_ms, forwarded, gate, instance, plan, route};
use types::TimeUs;

/// A replica that does not lead.
const FOLLOWER: &str = "10.1.0.2";

const KEY: &str = "key-of-acme";

/// The longest time for which a request waits, in milliseconds.
const WAIT_MS: u64 = 300;

fn tenant(name: &str, key: &str, rate_per_s: u64) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: vec![KeyDigest::of(key)],
        priority: None,
        rate_milli_per_s: rate_per_s * 1_000,
        burst: 10,
        home_regions: Vec::new(),
    }
}

/// An answer with this plan revision's tenants and two upstreams.
fn first_answer(tenants: Vec<Tenant>) -> GatewayPollAnswer {
    let parts = [("catalogue", 1_000)];
    let mut browse = route("browse", "/browse/", RetrySafety::Idempotent, &parts);
    browse.allow_anonymous = true;
    let mut plan = plan(1, vec![browse]);
    plan.tenants = tenants;
    let instances = ["w-1", "w-2"].iter().zip(10..);
    let instances = instances.map(|(id, revision)| instance(id, "catalogue", "east-a", revision));
    answer(20, Some(plan), instances.collect())
}

/// A gateway that has just heard of its leader.
fn serving(tenants: Vec<Tenant>) -> Gate {
    let mut gate = gate().with_quotas(1, QuotaTerms::default(), at_ms(0));
    gate.handle_poll_answer(REPLICA, first_answer(tenants), at_ms(0));
    gate
}

fn limited() -> Gate {
    serving(vec![tenant("acme", KEY, 10)])
}

fn arrive(gate: &mut Gate, key: Option<&str>, now_us: TimeUs) -> (u64, Decision) {
    let mut arrival = arrival("/browse/1");
    arrival.key = key.map(KeyDigest::of);
    (arrival.request, gate.handle_arrival(&arrival, now_us))
}

/// A request that has to wait; returns its number.
fn waiting(gate: &mut Gate, now_us: TimeUs) -> u64 {
    let (request, decision) = arrive(gate, Some(KEY), now_us);
    assert_eq!(decision, Decision::Wait);
    request
}

fn report(gate: &mut Gate, now_us: TimeUs) -> TokenReport {
    let report = gate.token_report(REPLICA, now_us);
    report.expect("the leader gets a report")
}

/// The leader grants tokens for the report.
fn grant(gate: &mut Gate, report: &TokenReport, tokens: u64, retry_after_ms: u64, now_us: TimeUs) {
    let grants = vec![TokenGrant {
        tenant: "acme".to_owned(),
        tokens,
        retry_after_ms,
    }];
    let tokens = TokenAnswer {
        serial: report.serial,
        term: 3,
        stamp_us: 1,
        grants,
    };
    let mut answer = answer(20, None, Vec::new());
    answer.tokens = Some(tokens);
    gate.handle_poll_answer(REPLICA, answer, now_us);
}

fn refusal(decision: &Decision) -> (Refusal, u64) {
    match decision {
        Decision::Refuse {
            refusal,
            retry_after_ms,
            ..
        } => (*refusal, *retry_after_ms),
        other => panic!("not refused: {other:?}"),
    }
}

// A plan without quotas must cost nothing: no report in any poll, and no request that waits.
#[test]
fn where_no_tenant_has_a_limit_nothing_is_reported_and_nobody_waits() {
    for tenants in [Vec::new(), vec![tenant("acme", KEY, 0)]] {
        let has_tenants = !tenants.is_empty();
        let mut gate = serving(tenants);
        assert_eq!(gate.token_report(REPLICA, at_ms(1)), None);
        let key = has_tenants.then_some(KEY);
        forwarded(arrive(&mut gate, key, at_ms(1)).1);
        assert!(gate.take_decided(at_ms(2)).is_empty());
    }
}

// The whole hand-off: without it a tenant's first request at a gateway would be refused.
#[test]
fn a_request_without_token_waits_and_is_forwarded_when_the_leader_grants_one() {
    let mut gate = limited();
    let request = waiting(&mut gate, at_ms(1));
    assert_eq!(gate.in_flight(), 1);
    assert!(gate.tick(at_ms(1)).contains(&REPLICA.to_owned()));
    assert!(gate.take_decided(at_ms(10)).is_empty());
    let report = report(&mut gate, at_ms(1));
    assert_eq!(report.wants[0].wanted, 1);
    grant(&mut gate, &report, 1, 0, at_ms(25));
    let decided = gate.take_decided(at_ms(25));
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].0, request);
    let target = forwarded(decided[0].1.clone());
    assert_eq!(target.request, request);
    assert_eq!(gate.take_granted_tokens(), 1);
}

// Many requests that find no token must not cost a poll each.
#[test]
fn requests_that_wait_share_one_poll() {
    let mut gate = limited();
    gate.tick(at_ms(0));
    let mut polls = 0;
    for ms in 1..=40 {
        waiting(&mut gate, at_ms(ms));
        if gate.tick(at_ms(ms)).contains(&REPLICA.to_owned()) {
            polls += 1;
            report(&mut gate, at_ms(ms));
        }
    }
    assert_eq!(polls, 1);
}

// Only the leader may be asked: a report to another replica would use up serials for nothing.
#[test]
fn only_the_leader_gets_reports() {
    let mut gate = limited();
    waiting(&mut gate, at_ms(1));
    assert_eq!(gate.token_report(FOLLOWER, at_ms(1)), None);
    report(&mut gate, at_ms(1));
    // After a change of the leader the other one gets them.
    gate.handle_poll_answer(FOLLOWER, answer(20, None, Vec::new()), at_ms(2));
    assert_eq!(gate.token_report(REPLICA, at_ms(3)), None);
    assert!(gate.token_report(FOLLOWER, at_ms(3)).is_some());
}

// A client must get its refusal in time, also when the leader doesn't answer.
#[test]
fn a_request_that_gets_no_token_is_refused_within_its_wait() {
    let mut gate = limited();
    let request = waiting(&mut gate, at_ms(1));
    assert!(gate.take_decided(at_ms(WAIT_MS)).is_empty());
    let decided = gate.take_decided(at_ms(1 + WAIT_MS));
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].0, request);
    assert_eq!(refusal(&decided[0].1).0, Refusal::Quota);
    assert_eq!(gate.in_flight(), 0);
}

// A client that waits for 150 ms must not spend all of them on the quota.
#[test]
fn a_request_waits_for_a_third_of_its_clients_time_at_most() {
    let mut gate = limited();
    let mut arrival = arrival("/browse/1");
    arrival.key = Some(KeyDigest::of(KEY));
    arrival.timeout_ms = Some(150);
    assert_eq!(gate.handle_arrival(&arrival, at_ms(1)), Decision::Wait);
    assert_eq!(gate.take_decided(at_ms(51)).len(), 1);
}

// A tenant far above its rate must not make each request wait: the gateway knows that there is nothing.
#[test]
fn after_the_leader_said_that_there_is_nothing_requests_are_refused_at_once() {
    const RETRY_MS: u64 = 700;
    let mut gate = limited();
    waiting(&mut gate, at_ms(1));
    let report = report(&mut gate, at_ms(1));
    grant(&mut gate, &report, 0, RETRY_MS, at_ms(20));
    let decided = gate.take_decided(at_ms(20));
    assert_eq!(refusal(&decided[0].1), (Refusal::Quota, RETRY_MS));
    let (_, decision) = arrive(&mut gate, Some(KEY), at_ms(220));
    assert_eq!(refusal(&decision), (Refusal::Quota, RETRY_MS - 200));
    waiting(&mut gate, at_ms(20 + RETRY_MS));
}

// The number of waiting requests is bounded, since each takes memory.
#[test]
fn beyond_the_most_that_may_wait_requests_are_refused() {
    const HELD_MAX: usize = 1_024;
    let mut gate = limited();
    for _ in 0..HELD_MAX {
        waiting(&mut gate, at_ms(1));
    }
    let (_, decision) = arrive(&mut gate, Some(KEY), at_ms(1));
    assert_eq!(refusal(&decision).0, Refusal::Quota);
    assert_eq!(gate.in_flight(), HELD_MAX);
}

// A client that leaves while its request waits must not take the token of one that stays.
#[test]
fn a_client_that_leaves_while_its_request_waits_takes_no_token() {
    let mut gate = limited();
    let leaving = waiting(&mut gate, at_ms(1));
    let staying = waiting(&mut gate, at_ms(1));
    assert!(!gate.client_left(leaving, at_ms(2)));
    let report = report(&mut gate, at_ms(3));
    assert_eq!(report.wants[0].wanted, 1);
    grant(&mut gate, &report, 1, 0, at_ms(20));
    let decided = gate.take_decided(at_ms(20));
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].0, staying);
    forwarded(decided[0].1.clone());
}

// Refusals by upstreams under overload would use up the quota of requests that run.
#[test]
fn a_request_that_did_not_run_returns_its_token_and_a_retry_takes_no_second_one() {
    let mut gate = limited();
    let first = waiting(&mut gate, at_ms(1));
    let report = report(&mut gate, at_ms(1));
    grant(&mut gate, &report, 1, 500, at_ms(20));
    let decided = gate.take_decided(at_ms(20));
    forwarded(decided[0].1.clone());
    let next = gate.attempt_ended(first, Ending::Full, None, at_ms(30));
    assert!(matches!(next, NextStep::Retry(_)), "{next:?}");
    let (_, decision) = arrive(&mut gate, Some(KEY), at_ms(31));
    assert_eq!(refusal(&decision).0, Refusal::Quota);
    let next = gate.attempt_ended(first, Ending::Full, None, at_ms(40));
    assert!(matches!(next, NextStep::GiveUp(Failure::NotRun { .. })));
    forwarded(arrive(&mut gate, Some(KEY), at_ms(41)).1);
}

// A request that may have run must not return its token, however it ended.
#[test]
fn a_request_that_may_have_run_keeps_its_token() {
    for ending in [Ending::Broken, Ending::TimedOut, Ending::Left] {
        let mut gate = limited();
        let first = waiting(&mut gate, at_ms(1));
        let report = report(&mut gate, at_ms(1));
        grant(&mut gate, &report, 1, 500, at_ms(20));
        forwarded(gate.take_decided(at_ms(20))[0].1.clone());
        while let NextStep::Retry(_) = gate.attempt_ended(first, ending, None, at_ms(30)) {}
        let (_, decision) = arrive(&mut gate, Some(KEY), at_ms(41));
        assert_eq!(refusal(&decision).0, Refusal::Quota, "{ending:?}");
    }
}

// The decision came after the client had left, so that nothing was sent.
#[test]
fn a_withdrawn_request_returns_its_token() {
    let mut gate = limited();
    let first = waiting(&mut gate, at_ms(1));
    let report = report(&mut gate, at_ms(1));
    grant(&mut gate, &report, 1, 500, at_ms(20));
    forwarded(gate.take_decided(at_ms(20))[0].1.clone());
    gate.withdraw(first, at_ms(21));
    assert_eq!(gate.in_flight(), 0);
    forwarded(arrive(&mut gate, Some(KEY), at_ms(22)).1);
}

// Tokens that lasted over a suspension of the VM would add to those of a later window.
#[test]
fn tokens_expire_a_second_after_they_were_asked_for() {
    let mut gate = limited();
    waiting(&mut gate, at_ms(1));
    let report = report(&mut gate, at_ms(1));
    grant(&mut gate, &report, 5, 0, at_ms(20));
    gate.take_decided(at_ms(20));
    forwarded(arrive(&mut gate, Some(KEY), at_ms(1_000)).1);
    waiting(&mut gate, at_ms(1_001));
}

// Out of touch with any leader, and without a static part yet, the refusal is the quota's and quick.
#[test]
fn out_of_touch_requests_are_refused_at_once_until_the_static_part_begins() {
    let mut gate = limited();
    waiting(&mut gate, at_ms(1));
    let report = report(&mut gate, at_ms(1));
    grant(&mut gate, &report, 1, 0, at_ms(20));
    gate.take_decided(at_ms(20));
    let (_, decision) = arrive(&mut gate, Some(KEY), at_ms(3_000));
    assert_eq!(refusal(&decision).0, Refusal::Quota);
    // 0.3 of 60 requests in a window, divided by four gateways.
    let mut ran = 0;
    for ms in (10_000..15_000).step_by(50) {
        ran += usize::from(matches!(
            arrive(&mut gate, Some(KEY), at_ms(ms)).1,
            Decision::Forward(_)
        ));
    }
    assert!((3..=4).contains(&ran), "{ran}");
}

// Requests of one tenant over its limit must not keep those of others waiting.
#[test]
fn other_tenants_and_anonymous_clients_are_served_meanwhile() {
    let free = tenant("free", "key-of-free", 0);
    let mut gate = serving(vec![tenant("acme", KEY, 10), free]);
    waiting(&mut gate, at_ms(1));
    forwarded(arrive(&mut gate, Some("key-of-free"), at_ms(2)).1);
    forwarded(arrive(&mut gate, None, at_ms(2)).1);
}

// A plan that lifts a limit must not have the requests refused that wait for it.
#[test]
fn a_request_that_waits_is_forwarded_when_the_limit_goes() {
    let mut gate = limited();
    let request = waiting(&mut gate, at_ms(1));
    let mut lifted = first_answer(vec![tenant("acme", KEY, 0)]);
    (lifted.revision, lifted.newest) = (30, 30);
    gate.handle_poll_answer(REPLICA, lifted, at_ms(2));
    let decided = gate.take_decided(at_ms(2));
    assert_eq!(forwarded(decided[0].1.clone()).request, request);
}
