//! Tests that the bytes and messages of idle entries and of polls with wants grow no faster with
//! the size of the deployment than the design allows.

use bench::{
    entries::SettledEntry,
    frames::{link_bytes, poll, poll_answer, sync_all, sync_renewals, sync_request},
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
