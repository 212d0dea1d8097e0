//! Measures the time of steps of the cores at several sizes, on one processor core.

use bench::{
    at_ms,
    entries::SettledEntry,
    frames::{frame, poll, poll_answer, sync_renewals},
    group::Group,
    shares::PoolWithHolders,
    upstreams::{RouterWithUpstreams, members},
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use member::Members;
use prost::Message;
use std::{hint::black_box, time::Duration};
use wire::peer::{Frame, frame::Body};

/// Number of regions whose shares a poll asks for.
const REGIONS: usize = 10;

/// Size of a command in the log.
const COMMAND_BYTES: usize = 300;

fn route_decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route_decision");
    for upstreams in [52, 500, 2_000] {
        let mut router = RouterWithUpstreams::new(upstreams);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| assert!(router.run_request(), "an idle upstream takes the request"));
        });
    }
    group.finish();
}

fn member_exchange(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("member_answer_and_merge");
    for upstreams in [52, 500, 2_000] {
        let home = members(upstreams);
        let (mut puller, mut events) = (Members::new(), Vec::new());
        let everything = home.answer(at_ms(1), 0);
        puller.merge(at_ms(1), at_ms(0), &everything, &mut events);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| {
                let renewals = home.answer(at_ms(2), everything.version);
                puller.merge(at_ms(2), at_ms(1), &renewals, &mut events);
                black_box(events.len())
            });
        });
    }
    group.finish();
}

fn share_ask(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("share_ask");
    for holders in [7, 100, 720] {
        let mut pool_holders = PoolWithHolders::new(holders);
        group.bench_function(BenchmarkId::from_parameter(holders), |bencher| {
            bencher.iter(|| black_box(pool_holders.ask_next()));
        });
    }
    group.finish();
}

fn raft(criterion: &mut Criterion) {
    let mut commits = criterion.benchmark_group("raft_commit_and_heartbeat");
    for voters in [3, 5, 7] {
        let mut group = Group::new(voters);
        commits.bench_function(BenchmarkId::from_parameter(voters), |bencher| {
            bencher.iter(|| group.commit(vec![b'c'; COMMAND_BYTES]));
        });
        assert!(group.applied > 0);
    }
    commits.finish();
    let mut heartbeats = criterion.benchmark_group("raft_heartbeat");
    for voters in [3, 5, 7] {
        let mut group = Group::new(voters);
        heartbeats.bench_function(BenchmarkId::from_parameter(voters), |bencher| {
            bencher.iter(|| group.advance_time(150_000));
        });
    }
    heartbeats.finish();
}

fn entry_core(criterion: &mut Criterion) {
    let mut look_ups = criterion.benchmark_group("entry_look_up");
    for entries in [7, 100, 720] {
        let entry = SettledEntry::new(entries);
        let mut client = 0_u32;
        look_ups.bench_function(BenchmarkId::from_parameter(entries), |bencher| {
            bencher.iter(|| {
                client = client.wrapping_add(1);
                black_box(entry.look_up(client.to_be_bytes()))
            });
        });
    }
    look_ups.finish();
    let mut seconds = criterion.benchmark_group("entry_idle_second");
    for entries in [7, 100, 720] {
        let mut entry = SettledEntry::new(entries);
        seconds.bench_function(BenchmarkId::from_parameter(entries), |bencher| {
            bencher.iter(|| black_box(entry.run_idle_second()));
        });
    }
    seconds.finish();
}

fn wire(criterion: &mut Criterion) {
    let home = members(2_000);
    let frames = [
        ("poll_19_wants", poll(REGIONS)),
        ("poll_answer_19_grants", poll_answer(REGIONS)),
        (
            "sync_question",
            frame(Body::Sync(wire::peer::Sync { since_version: 7 })),
        ),
        ("sync_52_renewals", sync_renewals(&members(52))),
        ("sync_2000_renewals", sync_renewals(&home)),
    ];
    for (name, frame) in frames {
        let bytes = frame.encode_to_vec();
        criterion.bench_function(&format!("wire_encode/{name}"), |bencher| {
            bencher.iter(|| black_box(frame.encode_to_vec()));
        });
        criterion.bench_function(&format!("wire_decode/{name}"), |bencher| {
            bencher.iter(|| black_box(Frame::decode(&*bytes)));
        });
    }
}

fn short_run_config() -> Criterion {
    Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(1_000))
}

criterion_group! {
    name = benches;
    config = short_run_config();
    targets = route_decision, member_exchange, share_ask, raft, entry_core, wire
}
criterion_main!(benches);
