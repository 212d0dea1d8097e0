//! Look-ups of clients' regions on one core, and the memory that blocks take.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use locate::{ClientBlocks, ClientBlocksBuilder, Prefix};
use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    time::Duration,
};

const SIZES: [u32; 4] = [10_000, 100_000, 485_000, 970_000];

/// Look-ups of one measured turn.
const LOOK_UPS: u32 = 4_096;

/// The numbers that a /24 block can have.
const NUMBERS: u32 = 1 << 24;

/// Spreads numbers; odd, so that no two of [`NUMBERS`] become one.
const SPREAD: u32 = 2_654_435_769;

/// Of so many blocks, one is IPv6.
const V6_EVERY: u32 = 4;

/// Distinct /24 and /48 blocks, each at a number of its own.
fn prefix(block: u32) -> Prefix {
    let at = block.wrapping_mul(SPREAD) % NUMBERS;
    let (address, len_bits): (IpAddr, u8) = match block.is_multiple_of(V6_EVERY) {
        true => (v6(at, 0).into(), 48),
        false => (Ipv4Addr::from_bits(at << 8).into(), 24),
    };
    Prefix::new(address, len_bits).expect("valid prefix")
}

fn v6(block: u32, host: u32) -> Ipv6Addr {
    let block = (0x2000_u128 << 112) | (u128::from(block) << 80);
    Ipv6Addr::from_bits(block | u128::from(host))
}

fn client(block: u32, host: u32) -> IpAddr {
    match prefix(block).address() {
        IpAddr::V4(address) => Ipv4Addr::from_bits(address.to_bits() | (host & 0xff)).into(),
        IpAddr::V6(address) => Ipv6Addr::from_bits(address.to_bits() | u128::from(host)).into(),
    }
}

fn blocks(size: u32) -> ClientBlocks {
    let mut builder = ClientBlocksBuilder::new();
    for block in 0..size {
        let region = format!("region-{}", block % 10);
        builder
            .declare(block, prefix(block), &region)
            .expect("valid block");
    }
    builder.build().expect("valid blocks")
}

fn look_up(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("client_block_look_up");
    group.throughput(Throughput::Elements(LOOK_UPS.into()));
    for size in SIZES {
        let blocks = blocks(size);
        let block_bytes = blocks.heap_bytes() as f64 / f64::from(size);
        println!("figure|memory of client blocks|{size}|{block_bytes:.2}|bytes a block");
        let clients: Vec<IpAddr> = (0..LOOK_UPS)
            .map(|number| client(number.wrapping_mul(SPREAD) % size, number))
            .collect();
        group.bench_with_input(
            BenchmarkId::from_parameter(size),
            &blocks,
            |bencher, blocks| {
                bencher.iter(|| {
                    let near = clients
                        .iter()
                        .filter(|client| blocks.region(**client).is_some());
                    black_box(near.count())
                });
            },
        );
    }
    group.finish();
}

fn short() -> Criterion {
    Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(1_000))
}

criterion_group! {
    name = benches;
    config = short();
    targets = look_up
}
criterion_main!(benches);
