//! Memory that an entry's tables of upstreams and a leader's tables of shares take, by size.

use bench::{
    process::Usage,
    report::{Figure, slope},
    shares::Sharing,
    upstreams::{Routing, members},
};

/// Upstreams in the tables.
const UPSTREAMS: [usize; 3] = [500, 1_000, 2_000];

/// Holders of one pool.
const HOLDERS: [usize; 3] = [100, 720, 2_000];

fn main() -> anyhow::Result<()> {
    let tables = |upstreams| (members(upstreams), Routing::new(upstreams));
    measure("upstreams at an entry, memory", UPSTREAMS, tables)?;
    measure(
        "holders of a pool at the leader, memory",
        HOLDERS,
        Sharing::new,
    )
}

fn measure<T>(what: &str, sizes: [usize; 3], build: impl Fn(usize) -> T) -> anyhow::Result<()> {
    let mut points = Vec::new();
    let mut kept = Vec::new();
    for size in sizes {
        let before = Usage::of(std::process::id())?.resident_kb;
        kept.push(build(size));
        let after = Usage::of(std::process::id())?.resident_kb;
        points.push((size as f64, after.saturating_sub(before) as f64));
        println!(
            "{}",
            Figure::new(what, size, after.saturating_sub(before) as f64, "kB")
        );
    }
    if let Some((each_kb, _)) = slope(&points) {
        println!("{what}: {each_kb:.3} kB each");
    }
    Ok(())
}
