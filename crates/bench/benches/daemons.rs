//! Latency, rates, memory and processor time of real daemons.
//!
//! Build the binaries first: `cargo build --release --workspace --bins`.

use bench::{
    cluster::{ANSWER_BYTES, Cluster},
    process::Usage,
    report::Figure,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use standin::http::Connection;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Entries of the clusters whose idle daemons are measured.
const SIZES: [u8; 3] = [4, 16, 48];

/// How long an idle daemon is watched.
const IDLE: Duration = Duration::from_secs(5);

/// The client blocks of the size to design for.
const BLOCKS: u32 = 970_000;

/// Rounds of the latency's measurement; the best counts.
const ROUNDS: usize = 7;

/// Requests of a round.
const ROUND_REQUESTS: usize = 400;

/// Connections that load an entry.
const CONNECTIONS: usize = 48;

/// How long an entry is loaded.
const LOAD: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    for entries in SIZES {
        idle(entries).await?;
    }
    loaded().await
}

/// The daemons of a cluster that nobody asks anything.
async fn idle(entries: u8) -> anyhow::Result<()> {
    let cluster = Cluster::start(entries, None).await?;
    tokio::time::sleep(IDLE).await;
    let ids = cluster.entry_id().into_iter().chain(cluster.control_ids());
    let ids: Vec<u32> = ids.collect();
    let before: Vec<Usage> = usages(&ids)?;
    let started = Instant::now();
    tokio::time::sleep(IDLE).await;
    let watched = started.elapsed();
    let after = usages(&ids)?;
    let percent = |number: usize| {
        let used = after[number]
            .processor
            .saturating_sub(before[number].processor);
        100.0 * used.as_secs_f64() / watched.as_secs_f64()
    };
    let resident_mb = |number: usize| after[number].resident_kb as f64 / 1e3;
    let busiest = (1..ids.len()).map(percent).fold(0.0, f64::max);
    let largest = (1..ids.len()).map(resident_mb).fold(0.0, f64::max);
    print("idle entry, processor", entries, percent(0), "% of a core");
    print("idle entry, memory", entries, resident_mb(0), "MB");
    print(
        "idle busiest control replica, processor",
        entries,
        busiest,
        "% of a core",
    );
    print(
        "idle largest control replica, memory",
        entries,
        largest,
        "MB",
    );
    Ok(())
}

fn usages(ids: &[u32]) -> anyhow::Result<Vec<Usage>> {
    Ok(ids
        .iter()
        .map(|id| Usage::of(*id))
        .collect::<Result<_, _>>()?)
}

/// One entry with the client blocks of the size to design for.
async fn loaded() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(1, Some(&blocks())).await?;
    cluster.upstream(CONNECTIONS as u32 * 2).await?;
    let id = cluster.entry_id().ok_or(bench::cluster::NoNetwork)?;
    let usage = Usage::of(id)?;
    print(
        "entry with client blocks, memory",
        BLOCKS,
        usage.resident_kb as f64 / 1e3,
        "MB",
    );
    print(
        "entry with client blocks, peak memory",
        BLOCKS,
        usage.peak_kb as f64 / 1e3,
        "MB",
    );
    let network = cluster.network();
    let (entry, upstream) = (network.entry(1), network.upstream(1));
    latency(upstream, entry).await?;
    rate(
        "requests through one entry",
        id,
        entry,
        "/s/browse/run?request=1&attempt=1",
    )
    .await?;
    rate(
        "look-ups at one entry",
        id,
        entry,
        "/v1/lookup/browse?client=20.1.2.3",
    )
    .await?;
    let usage = Usage::of(id)?;
    print(
        "loaded entry, memory",
        CONNECTIONS,
        usage.resident_kb as f64 / 1e3,
        "MB",
    );
    Ok(())
}

fn blocks() -> String {
    (0..BLOCKS).fold(String::new(), |text, block| {
        let (at, region) = (block * 4, block % 10);
        let [a, b, c, _] = (at << 8).to_be_bytes();
        text + &format!("{a}.{b}.{c}.0/24 region-{region}\n")
    })
}

async fn latency(upstream: SocketAddr, entry: SocketAddr) -> anyhow::Result<()> {
    let mut best: [Option<[f64; 2]>; 2] = [None; 2];
    for _ in 0..ROUNDS {
        let ways = [
            (upstream, "/run?request=1&attempt=1"),
            (entry, "/s/browse/run?request=1&attempt=1"),
        ];
        for (way, (address, path)) in ways.into_iter().enumerate() {
            let round = round(address, path).await?;
            if best[way].is_none_or(|best| round[0] < best[0]) {
                best[way] = Some(round);
            }
        }
    }
    let [Some(direct), Some(through)] = best else {
        return Ok(());
    };
    let rounds = format!("{ANSWER_BYTES} bytes, best of {ROUNDS} rounds");
    for (index, part) in ["p50", "p99"].into_iter().enumerate() {
        let (direct, through) = (direct[index], through[index]);
        print(&format!("direct call, {part}"), &rounds, direct, "µs");
        print(
            &format!("call through an entry, {part}"),
            &rounds,
            through,
            "µs",
        );
        print(
            &format!("added by an entry, {part}"),
            &rounds,
            through - direct,
            "µs",
        );
    }
    Ok(())
}

/// The 50th and 99th percentile of a round, in microseconds.
async fn round(address: SocketAddr, path: &str) -> anyhow::Result<[f64; 2]> {
    let mut connection = Connection::new(address);
    let mut took_us = Vec::new();
    for _ in 0..ROUND_REQUESTS {
        let started = Instant::now();
        exchange(&mut connection, address, path).await?;
        took_us.push(started.elapsed().as_secs_f64() * 1e6);
    }
    took_us.sort_unstable_by(f64::total_cmp);
    Ok([50, 99].map(|percent| took_us[took_us.len() * percent / 100]))
}

async fn rate(what: &str, id: u32, address: SocketAddr, path: &'static str) -> anyhow::Result<()> {
    let before = Usage::of(id)?;
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..CONNECTIONS {
        callers.spawn(call(address, path, started + LOAD));
    }
    let mut finished = 0.0;
    while let Some(count) = callers.join_next().await {
        finished += f64::from(count??);
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let used = Usage::of(id)?.processor.saturating_sub(before.processor);
    print(what, CONNECTIONS, finished / elapsed_s, "per second");
    print(
        &format!("{what}, of one core"),
        CONNECTIONS,
        finished / used.as_secs_f64(),
        "per second of its processor time",
    );
    Ok(())
}

async fn call(address: SocketAddr, path: &str, until: Instant) -> anyhow::Result<u32> {
    let mut connection = Connection::new(address);
    let mut finished = 0;
    while Instant::now() < until {
        if exchange(&mut connection, address, path).await? == StatusCode::OK {
            finished += 1;
        }
    }
    Ok(finished)
}

async fn exchange(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
) -> anyhow::Result<StatusCode> {
    let request = Request::builder()
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::new()))?;
    let response = connection.send(request).await?;
    let status = response.status();
    response.into_body().collect().await?;
    Ok(status)
}

fn print(name: &str, size: impl ToString, value: f64, unit: &str) {
    println!("{}", Figure::new(name, size, value, unit));
}
