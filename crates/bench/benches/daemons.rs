//! Measures latency, rates, memory and processor time of real daemons.
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

/// Number of entries in each cluster whose idle daemons are measured.
const ENTRY_COUNTS: [u8; 3] = [4, 16, 48];

/// Time for which idle daemons run before they are measured, and time of the measurement.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Number of client blocks at the size that the system is designed for.
const CLIENT_BLOCKS: u32 = 970_000;

/// Rounds in which latency is measured; the one with the lowest median counts.
const ROUNDS: usize = 7;

/// Requests of one round, one after the other.
const ROUND_REQUESTS: usize = 400;

/// Connections over which an entry is loaded.
const CONNECTIONS: usize = 48;

/// Time for which an entry is loaded.
const LOAD_TIME: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    for entries in ENTRY_COUNTS {
        measure_idle(entries).await?;
    }
    measure_loaded().await
}

/// Measures the daemons of a cluster that gets no requests.
async fn measure_idle(entries: u8) -> anyhow::Result<()> {
    let cluster = Cluster::start(entries, None).await?;
    tokio::time::sleep(IDLE_TIME).await;
    let ids = cluster
        .entry_process_id()
        .into_iter()
        .chain(cluster.control_process_ids());
    let ids: Vec<u32> = ids.collect();
    let before: Vec<Usage> = usages(&ids)?;
    let started = Instant::now();
    tokio::time::sleep(IDLE_TIME).await;
    let elapsed = started.elapsed();
    let after = usages(&ids)?;
    let percent = |number: usize| {
        let used = after[number]
            .processor_time
            .saturating_sub(before[number].processor_time);
        100.0 * used.as_secs_f64() / elapsed.as_secs_f64()
    };
    let resident_mb = |number: usize| after[number].resident_kb as f64 / 1e3;
    let busiest = (1..ids.len()).map(percent).fold(0.0, f64::max);
    let largest = (1..ids.len()).map(resident_mb).fold(0.0, f64::max);
    print_figure("idle entry, processor", entries, percent(0), "% of a core");
    print_figure("idle entry, memory", entries, resident_mb(0), "MB");
    print_figure(
        "idle busiest control replica, processor",
        entries,
        busiest,
        "% of a core",
    );
    print_figure(
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

/// Measures one entry that has [`CLIENT_BLOCKS`] client blocks and is loaded over [`CONNECTIONS`]
/// connections.
async fn measure_loaded() -> anyhow::Result<()> {
    let mut cluster = Cluster::start(1, Some(&client_blocks())).await?;
    cluster.start_upstream(CONNECTIONS as u32 * 2).await?;
    let id = cluster
        .entry_process_id()
        .ok_or(bench::cluster::NoNetwork)?;
    let usage = Usage::of(id)?;
    print_figure(
        "entry with client blocks, memory",
        CLIENT_BLOCKS,
        usage.resident_kb as f64 / 1e3,
        "MB",
    );
    print_figure(
        "entry with client blocks, peak memory",
        CLIENT_BLOCKS,
        usage.peak_kb as f64 / 1e3,
        "MB",
    );
    let network = cluster.network();
    let (entry, upstream) = (network.entry(1), network.upstream(1));
    measure_latency(upstream, entry).await?;
    measure_rate(
        "requests through one entry",
        id,
        entry,
        "/s/browse/run?request=1&attempt=1",
    )
    .await?;
    measure_rate(
        "look-ups at one entry",
        id,
        entry,
        "/v1/lookup/browse?client=20.1.2.3",
    )
    .await?;
    let usage = Usage::of(id)?;
    print_figure(
        "loaded entry, memory",
        CONNECTIONS,
        usage.resident_kb as f64 / 1e3,
        "MB",
    );
    Ok(())
}

fn client_blocks() -> String {
    (0..CLIENT_BLOCKS).fold(String::new(), |text, block| {
        let (at, region) = (block * 4, block % 10);
        let [a, b, c, _] = (at << 8).to_be_bytes();
        text + &format!("{a}.{b}.{c}.0/24 region-{region}\n")
    })
}

async fn measure_latency(upstream: SocketAddr, entry: SocketAddr) -> anyhow::Result<()> {
    let mut best: [Option<[f64; 2]>; 2] = [None; 2];
    for _ in 0..ROUNDS {
        let targets = [
            (upstream, "/run?request=1&attempt=1"),
            (entry, "/s/browse/run?request=1&attempt=1"),
        ];
        for (target, (address, path)) in targets.into_iter().enumerate() {
            let round = run_round(address, path).await?;
            if best[target].is_none_or(|best| round[0] < best[0]) {
                best[target] = Some(round);
            }
        }
    }
    let [Some(direct), Some(through)] = best else {
        return Ok(());
    };
    let rounds = format!("{ANSWER_BYTES} bytes, best of {ROUNDS} rounds");
    for (index, percentile) in ["p50", "p99"].into_iter().enumerate() {
        let (direct, through) = (direct[index], through[index]);
        print_figure(&format!("direct call, {percentile}"), &rounds, direct, "µs");
        print_figure(
            &format!("call through an entry, {percentile}"),
            &rounds,
            through,
            "µs",
        );
        print_figure(
            &format!("added by an entry, {percentile}"),
            &rounds,
            through - direct,
            "µs",
        );
    }
    Ok(())
}

/// Runs a round and returns the 50th and 99th percentile of its latencies, in microseconds.
async fn run_round(address: SocketAddr, path: &str) -> anyhow::Result<[f64; 2]> {
    let mut connection = Connection::new(address);
    let mut latencies_us = Vec::new();
    for _ in 0..ROUND_REQUESTS {
        let started = Instant::now();
        exchange(&mut connection, address, path).await?;
        latencies_us.push(started.elapsed().as_secs_f64() * 1e6);
    }
    latencies_us.sort_unstable_by(f64::total_cmp);
    Ok([50, 99].map(|percent| latencies_us[latencies_us.len() * percent / 100]))
}

async fn measure_rate(
    what: &str,
    id: u32,
    address: SocketAddr,
    path: &'static str,
) -> anyhow::Result<()> {
    let before = Usage::of(id)?;
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..CONNECTIONS {
        callers.spawn(call_until(address, path, started + LOAD_TIME));
    }
    let mut finished = 0.0;
    while let Some(count) = callers.join_next().await {
        finished += f64::from(count??);
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let used = Usage::of(id)?
        .processor_time
        .saturating_sub(before.processor_time);
    print_figure(what, CONNECTIONS, finished / elapsed_s, "per second");
    print_figure(
        &format!("{what}, of one core"),
        CONNECTIONS,
        finished / used.as_secs_f64(),
        "per second of its processor time",
    );
    Ok(())
}

async fn call_until(address: SocketAddr, path: &str, until: Instant) -> anyhow::Result<u32> {
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

fn print_figure(name: &str, size: impl ToString, value: f64, unit: &str) {
    println!("{}", Figure::new(name, size, value, unit));
}
