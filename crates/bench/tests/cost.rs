//! Bytes and messages of an idle second between entries, and of polls with wants, by size.

use bench::{
    entries::Running,
    frames::{link_bytes, poll, poll_answer, sync_everything, sync_question, sync_renewals},
    report::slope,
    upstreams::members,
};

/// The daemons of the size to design for.
const DAEMONS: usize = 720;

/// What a daemon may spend on control at that size, in bytes a second.
const BUDGET_BYTES: f64 = 28_000.0;

/// Questions of one entry to another in a second.
const SYNCS: f64 = 4.0;

fn line(sizes: [usize; 3], bytes: impl Fn(usize) -> usize) -> (f64, f64) {
    let points = sizes.map(|size| (size as f64, bytes(size) as f64));
    slope(&points).expect("three different sizes")
}

#[test]
fn an_idle_answer_grows_with_the_upstreams_of_its_home() {
    let answer_bytes = |upstreams| link_bytes(&sync_renewals(&members(upstreams)));
    let (each_bytes, fixed_bytes) = line([52, 500, 2_000], answer_bytes);
    let question_bytes = link_bytes(&sync_question());
    println!(
        "idle sync: question {question_bytes} bytes, answer {fixed_bytes:.0} + {each_bytes:.1} an \
         upstream of its home"
    );
    assert!(question_bytes <= 32);
    assert!(each_bytes <= 40.0);
    let empty = question_bytes + answer_bytes(0);
    let mesh_bytes = empty as f64 * SYNCS * (DAEMONS - 1) as f64;
    println!("idle mesh of {DAEMONS} entries without upstreams: {mesh_bytes:.0} B/s asked by each");
    assert!(empty <= 64);
}

#[test]
fn a_whole_exchange_grows_with_the_upstreams_of_its_home() {
    let answer_bytes = |upstreams| link_bytes(&sync_everything(&members(upstreams)));
    let (each_bytes, fixed_bytes) = line([52, 500, 2_000], answer_bytes);
    println!("first sync: answer {fixed_bytes:.0} + {each_bytes:.1} bytes an upstream");
    assert!(each_bytes <= 160.0);
}

#[test]
fn a_poll_with_wants_grows_with_the_regions() {
    let question = line([3, 10, 30], |regions| link_bytes(&poll(regions)));
    let answer = line([3, 10, 30], |regions| link_bytes(&poll_answer(regions)));
    let both = link_bytes(&poll(10)) + link_bytes(&poll_answer(10));
    println!(
        "poll with wants: {:.0} + {:.1} bytes a region, answer {:.0} + {:.1}; 10 regions: {both}",
        question.1, question.0, answer.1, answer.0
    );
    let period_s = types::poll_interval_ms(DAEMONS) as f64 / 1e3;
    let leader_bytes = both as f64 * DAEMONS as f64 / period_s;
    println!("leader: {leader_bytes:.0} B/s of polls with the wants of {DAEMONS} entries");
    assert!(both as f64 / period_s <= BUDGET_BYTES / 10.0);
}

#[test]
fn an_idle_second_sends_so_many_messages() {
    let messages = |entries| Running::new(entries).second();
    let (each, fixed) = line([7, 28, 112], messages);
    println!("idle second of an entry: {fixed:.1} + {each:.2} messages a declared entry");
    assert!(each <= SYNCS + 0.5);
}
