//! Measures what a heartbeat, a poll and an ended instance cost with many registered instances.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use plan::{Change, Registration, Steering};
use std::{hint::black_box, time::Duration};

const INSTANCE_COUNTS: [u32; 3] = [1_000, 10_000, 100_000];

fn registration(n: u32, sequence: u64) -> Registration {
    let [_, high, middle, low] = n.to_be_bytes();
    Registration {
        id: format!("i-{n}").parse().expect("a valid name"),
        service: "catalogue".parse().expect("a valid name"),
        address: ([10, high, middle, low], 8_080).into(),
        failure_domain: "east-a".parse().expect("a valid name"),
        slots: 3,
        draining: false,
        cold_ms: 0,
        born_ms: 1,
        sequence,
    }
}

fn apply(steering: &mut Steering, index: u64, change: &Change) {
    steering.apply(index, 0, change).expect("it is no plan");
}

fn with_instances(count: u32) -> Steering {
    let mut steering = Steering::default();
    for n in 0..count {
        let change = Change::Register(registration(n, 1));
        apply(&mut steering, u64::from(n) + 1, &change);
    }
    steering
}

fn instances(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("instances");
    group
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(500));
    for count in INSTANCE_COUNTS {
        let mut steering = with_instances(count);
        let heartbeat = registration(count / 2, 2);
        group.bench_function(BenchmarkId::new("heartbeat", count), |bencher| {
            bencher.iter(|| black_box(steering.compare(black_box(&heartbeat), 0)));
        });
        let latest = u64::from(count);
        group.bench_function(BenchmarkId::new("poll of one change", count), |bencher| {
            bencher.iter(|| black_box(steering.changes_since(black_box(latest - 1))));
        });
        let mut index = latest;
        let mut sequence = 2;
        group.bench_function(BenchmarkId::new("end and return", count), |bencher| {
            bencher.iter(|| {
                sequence += 1;
                let registration = registration(7, sequence);
                let id = registration.id.clone();
                let expire = Change::Expire { id, born_ms: 1 };
                apply(&mut steering, index + 1, &expire);
                apply(&mut steering, index + 2, &Change::Register(registration));
                index += 2;
            });
        });
    }
    group.finish();
}

criterion_group!(benches, instances);
criterion_main!(benches);
