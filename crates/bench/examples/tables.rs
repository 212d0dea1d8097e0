//! Measures the memory of an entry's tables of upstreams and of a leader's tables of shares at
//! several sizes.

use bench::{
    process::Usage,
    report::{Figure, fit_line},
    shares::PoolWithHolders,
    upstreams::{RouterWithUpstreams, members},
};

/// Numbers of upstreams in the tables.
const UPSTREAMS: [usize; 3] = [500, 1_000, 2_000];

/// Numbers of holders of one pool.
const HOLDERS: [usize; 3] = [100, 720, 2_000];

fn main() -> anyhow::Result<()> {
    let tables = |upstreams| (members(upstreams), RouterWithUpstreams::new(upstreams));
    measure("upstreams at an entry, memory", UPSTREAMS, tables)?;
    measure(
        "holders of a pool at the leader, memory",
        HOLDERS,
        PoolWithHolders::new,
    )
}

fn measure<T>(what: &str, sizes: [usize; 3], build: impl Fn(usize) -> T) -> anyhow::Result<()> {
    let mut points = Vec::new();
    let mut live = Vec::new();
    for size in sizes {
        let before = Usage::of(std::process::id())?.resident_kb;
        live.push(build(size));
        let after = Usage::of(std::process::id())?.resident_kb;
        points.push((size as f64, after.saturating_sub(before) as f64));
        println!(
            "{}",
            Figure::new(what, size, after.saturating_sub(before) as f64, "kB")
        );
    }
    if let Some((each_kb, _)) = fit_line(&points) {
        println!("{what}: {each_kb:.3} kB each");
    }
    Ok(())
}
