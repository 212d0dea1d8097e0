//! Tests that the bytes and messages of idle entries and of polls with wants grow no faster with
//! the size of the deployment than the design allows.

use bench::{
    entries::SettledEntry,
    frames::{link_bytes, poll, poll_answer, sync_all, sync_renewals, sync_request},
    quotas::QuotaLoad,
    report::fit_line,
    upstreams::members,
};

/// Number of daemons at the size that the system is designed for.
const DESIGN_DAEMONS: usize = 720;

/// Traffic that a daemon may spend on control at that size.
const BUDGET_BYTES_PER_S: f64 = 28_000.0;

/// Requests that an entry sends to each other entry in a second.
const SYNCS_PER_S: f64 = 4.0;

/// Fits a line through the values of `count` at three sizes: its slope and its value at size 0.
fn fit_sizes(sizes: [usize; 3], count: impl Fn(usize) -> usize) -> (f64, f64) {
    let points = sizes.map(|size| (size as f64, count(size) as f64));
    fit_line(&points).expect("three different sizes")
}

#[test]
fn an_idle_answer_takes_at_most_40_bytes_an_upstream_of_the_answering_entry() {
    let answer_bytes = |upstreams| link_bytes(&sync_renewals(&members(upstreams)));
    let (each_bytes, fixed_bytes) = fit_sizes([52, 500, 2_000], answer_bytes);
    let request_bytes = link_bytes(&sync_request());
    println!(
        "idle sync: request {request_bytes} bytes, answer {fixed_bytes:.0} + {each_bytes:.1} an \
         upstream of its home"
    );
    assert!(request_bytes <= 32);
    assert!(each_bytes <= 40.0);
    let empty = request_bytes + answer_bytes(0);
    let mesh_bytes = empty as f64 * SYNCS_PER_S * (DESIGN_DAEMONS - 1) as f64;
    println!(
        "idle mesh of {DESIGN_DAEMONS} entries without upstreams: {mesh_bytes:.0} B/s requested by each"
    );
    assert!(empty <= 64);
}

#[test]
fn a_first_answer_takes_at_most_160_bytes_an_upstream_of_the_answering_entry() {
    let answer_bytes = |upstreams| link_bytes(&sync_all(&members(upstreams)));
    let (each_bytes, fixed_bytes) = fit_sizes([52, 500, 2_000], answer_bytes);
    println!("first sync: answer {fixed_bytes:.0} + {each_bytes:.1} bytes an upstream");
    assert!(each_bytes <= 160.0);
}

#[test]
fn polls_with_wants_of_ten_regions_take_at_most_a_tenth_of_the_control_budget() {
    let request = fit_sizes([3, 10, 30], |regions| link_bytes(&poll(regions)));
    let answer = fit_sizes([3, 10, 30], |regions| link_bytes(&poll_answer(regions)));
    let both = link_bytes(&poll(10)) + link_bytes(&poll_answer(10));
    println!(
        "poll with wants: {:.0} + {:.1} bytes a region, answer {:.0} + {:.1}; 10 regions: {both}",
        request.1, request.0, answer.1, answer.0
    );
    let period_s = types::poll_interval_ms(DESIGN_DAEMONS) as f64 / 1e3;
    let leader_bytes = both as f64 * DESIGN_DAEMONS as f64 / period_s;
    println!("leader: {leader_bytes:.0} B/s of polls with the wants of {DESIGN_DAEMONS} entries");
    assert!(both as f64 / period_s <= BUDGET_BYTES_PER_S / 10.0);
}

#[test]
fn an_idle_second_sends_at_most_four_and_a_half_messages_a_declared_entry() {
    let messages = |entries| SettledEntry::new(entries).run_idle_second();
    let (each, fixed) = fit_sizes([7, 28, 112], messages);
    println!("idle second of an entry: {fixed:.1} + {each:.2} messages a declared entry");
    assert!(each <= SYNCS_PER_S + 0.5);
}

/// The most reports of a gateway in a second, whatever the number of tenants.
const REPORTS_MAX_PER_S: u64 = 20;

/// Prints what a second costs with limits of so many percent of what the tenants send. Checks the number
/// of reports, and that hardly anything is refused below the limits.
fn check_quota_cost(gateways: usize, tenants: usize, per_s: u64, limit_percent: u64) {
    const SECONDS: u64 = 2;
    /// The leader's buckets start empty.
    const SETTLE_SECONDS: u64 = 12;
    let mut load = QuotaLoad::new(gateways, tenants, per_s, limit_percent);
    load.run(SETTLE_SECONDS, per_s);
    let cost = load.run(SECONDS, per_s);
    let per_gateway_s = SECONDS * gateways as u64;
    let percent = |count: u64| count as f64 * 100.0 / cost.requests as f64;
    println!(
        "{gateways} gateways, {tenants} tenants with limits of {limit_percent}% of {per_s} requests/s: \
         {:.1} reports and {} bytes a second and gateway, {} reports/s at the leader, {:.1}% waited, \
         {:.2}% refused",
        cost.reports as f64 / per_gateway_s as f64,
        cost.bytes / per_gateway_s,
        cost.reports / SECONDS,
        percent(cost.waited),
        percent(cost.refused),
    );
    assert!(cost.reports <= REPORTS_MAX_PER_S * per_gateway_s);
    if limit_percent > 100 {
        assert!(cost.refused * 1_000 <= cost.requests, "{cost:?}");
    }
}

// A leader has 0.6 of a core and a gateway some Mbit/s: a report for each request would be too many.
#[test]
fn reports_on_quotas_are_bounded_at_118_gateways_with_86_tenants() {
    check_quota_cost(118, 86, 7_000, 125);
    check_quota_cost(118, 86, 7_000, 10);
}

#[test]
fn reports_on_quotas_are_bounded_at_1_000_gateways_with_1_000_tenants() {
    check_quota_cost(1_000, 1_000, 20_000, 125);
}
