//! Benchmarks of choosing the holders of a key and of answering a claim, among 720 entries.

use claim::{
    Attempt, ClaimKey, EntryLocation, EntrySet, Holder, HolderInput, Layout, Limits, Message, Peer,
    Timing,
};
use criterion::{Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use types::{DomainName, EntryName, RegionName, ServiceName, TimeUs};

const ENTRIES: usize = 720;
const REGIONS: usize = 10;
const DOMAINS: usize = 29;

fn entry(index: usize) -> EntryName {
    EntryName::new(&format!("entry-{index}")).expect("a name")
}

fn entries() -> EntrySet {
    EntrySet::new((0..ENTRIES).map(|index| EntryLocation {
        entry: entry(index),
        region: RegionName::new(&format!("region-{}", index % DOMAINS % REGIONS)).expect("a name"),
        failure_domain: DomainName::new(&format!("domain-{}", index % DOMAINS)).expect("a name"),
    }))
}

fn key(number: usize) -> ClaimKey {
    let service = ServiceName::new("payout").expect("a name");
    ClaimKey::new(&service, &format!("key-{number}")).expect("a key")
}

fn holders(criterion: &mut Criterion) {
    let set = entries();
    let mut number = 0;
    criterion.bench_function("holders of a key among 720 entries", |bencher| {
        bencher.iter(|| {
            number += 1;
            black_box(set.holders(&key(number)).len())
        });
    });
}

fn answer_claim(criterion: &mut Criterion) {
    let peer = |index| Peer {
        entry: entry(index),
        incarnation: 1,
    };
    let (timing, limits) = (Timing::default(), Limits::default());
    let mut holder = Holder::new(&peer(0), TimeUs(0), timing, limits);
    let mut outputs = Vec::new();
    let layout = Layout {
        epoch: 1,
        sets: vec![entries()],
    };
    let until_us = TimeUs(u64::MAX);
    for input in [
        HolderInput::Layout(Layout::default()),
        HolderInput::Layout(layout),
        HolderInput::Lease { until_us },
    ] {
        holder.step(TimeUs(0), input, &mut outputs);
    }
    let mut number = 0;
    criterion.bench_function("answer to a claim among 720 entries", |bencher| {
        bencher.iter(|| {
            number += 1;
            let attempt = Attempt {
                claimant: peer(1),
                serial: number as u64,
            };
            let message = Message::Claim {
                epoch: 1,
                key: key(number),
                attempt,
            };
            let from = peer(1);
            holder.step(
                TimeUs(0),
                HolderInput::Message { from, message },
                &mut outputs,
            );
            outputs.clear();
        });
    });
}

criterion_group!(benches, holders, answer_claim);
criterion_main!(benches);
