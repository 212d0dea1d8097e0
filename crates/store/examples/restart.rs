//! Measures how long a replica takes to restart from its data folder, by the number of changes in
//! the log, with and without a snapshot. Prints a table.

use raft::{Entry, Membership, Payload, Persist, Raft, RaftConfig, ReplicaId, Snapshot};
use std::{
    error::Error,
    fs,
    path::Path,
    time::{Duration, Instant},
};
use store::Store;

/// The size of the command of each log entry.
const CHANGE_BYTES: usize = 300;
/// Entries of one write.
const BATCH_ENTRIES: u64 = 64;
/// Entries after the snapshot, if there is one.
const TAIL_ENTRIES: u64 = 100;
const RESTARTS: usize = 21;

/// The size of a snapshot's data, in resources of [`CHANGE_BYTES`] each.
const STATE_RESOURCES: usize = 500;

fn main() -> Result<(), Box<dyn Error>> {
    println!("changes  snapshot  folder bytes  restart median ms  restart max ms");
    for changes in [500, 50_000] {
        for with_snapshot in [false, true] {
            measure(changes, with_snapshot)?;
        }
    }
    Ok(())
}

fn measure(changes: u64, with_snapshot: bool) -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    Store::create(folder.path(), "vm-0", &["vm-0".to_owned()])?;
    fill(folder.path(), changes, with_snapshot)?;
    let mut restarts = (0..RESTARTS)
        .map(|_| restart(folder.path()))
        .collect::<Result<Vec<_>, _>>()?;
    restarts.sort_unstable();
    let median_ms = restarts[RESTARTS / 2].as_secs_f64() * 1e3;
    let max_ms = restarts[RESTARTS - 1].as_secs_f64() * 1e3;
    let size_bytes = folder_bytes(folder.path())?;
    println!("{changes:7}  {with_snapshot:8}  {size_bytes:12}  {median_ms:17.2}  {max_ms:14.2}");
    Ok(())
}

fn fill(folder: &Path, changes: u64, with_snapshot: bool) -> Result<(), Box<dyn Error>> {
    let (mut store, _) = Store::open(folder, "vm-0")?;
    let mut first = 1;
    while first <= changes {
        let last = changes.min(first + BATCH_ENTRIES - 1);
        store.write(&Persist {
            entries: (first..=last).map(entry).collect(),
            ..Persist::default()
        })?;
        first = last + 1;
    }
    if with_snapshot {
        store.write(&Persist {
            snapshot: Some(snapshot(changes - TAIL_ENTRIES)),
            ..Persist::default()
        })?;
    }
    Ok(())
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: Payload::Command(vec![b'c'; CHANGE_BYTES]),
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index,
        term: 1,
        membership: Membership {
            voters: [id()].into(),
            learners: [].into(),
        },
        data: vec![b's'; STATE_RESOURCES * CHANGE_BYTES],
    }
}

fn id() -> ReplicaId {
    ReplicaId {
        name: "vm-0".to_owned(),
        incarnation: 1,
    }
}

/// The time to open the folder and create the Raft core, ready for its first input.
fn restart(folder: &Path) -> Result<Duration, Box<dyn Error>> {
    let started = Instant::now();
    let (_store, opened) = Store::open(folder, "vm-0")?;
    let config = RaftConfig {
        id: opened.id,
        heartbeat_interval_us: 100_000,
        election_timeout_min_us: 500_000,
        append_max_bytes: 64 * 1024,
        snapshot_chunk_bytes: 64 * 1024,
        seed: 1,
    };
    let raft = Raft::new(config, opened.restored, 0);
    let spent = started.elapsed();
    assert!(raft.last_index() > 0);
    Ok(spent)
}

fn folder_bytes(folder: &Path) -> Result<u64, Box<dyn Error>> {
    let mut sum_bytes = 0;
    for file in fs::read_dir(folder)? {
        sum_bytes += file?.metadata()?.len();
    }
    Ok(sum_bytes)
}
