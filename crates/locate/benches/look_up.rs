//! Measures look-ups of clients' regions on one core, and the memory of the client blocks.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use locate::{ClientBlocks, ClientBlocksBuilder, Prefix};
use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    time::Duration,
};

const BLOCK_COUNTS: [u32; 4] = [10_000, 100_000, 485_000, 970_000];

/// Look-ups in one measured iteration.
const LOOK_UPS: u32 = 4_096;

/// How many distinct /24 blocks IPv4 has.
const BLOCK_NUMBERS: u32 = 1 << 24;

/// Scatters block numbers over the address space. It is odd, so that multiplication modulo
/// [`BLOCK_NUMBERS`] maps no two numbers to the same one.
const SCATTER_FACTOR: u32 = 2_654_435_769;

/// One in this many blocks is IPv6.
const V6_EVERY: u32 = 4;

/// The prefix of a block: a distinct /24 (IPv4) or /48 (IPv6).
fn prefix(block: u32) -> Prefix {
    let number = block.wrapping_mul(SCATTER_FACTOR) % BLOCK_NUMBERS;
    let (address, len_bits): (IpAddr, u8) = match block.is_multiple_of(V6_EVERY) {
        true => (v6(number, 0).into(), 48),
        false => (Ipv4Addr::from_bits(number << 8).into(), 24),
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
    for size in BLOCK_COUNTS {
        let blocks = blocks(size);
        let bytes_per_block = blocks.heap_bytes() as f64 / f64::from(size);
        // Read by `bench-report`, of the crate `bench`.
        println!("figure|memory of client blocks|{size}|{bytes_per_block:.2}|bytes a block");
        let clients: Vec<IpAddr> = (0..LOOK_UPS)
            .map(|number| client(number.wrapping_mul(SCATTER_FACTOR) % size, number))
            .collect();
        group.bench_with_input(
            BenchmarkId::from_parameter(size),
            &blocks,
            |bencher, blocks| {
                bencher.iter(|| {
                    let matched = clients
                        .iter()
                        .filter(|client| blocks.region(**client).is_some());
                    black_box(matched.count())
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
