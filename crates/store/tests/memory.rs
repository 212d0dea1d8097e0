//! The memory that opening a large log and dropping it after a snapshot takes. A process of its own,
//! since the kernel tells the peak of a whole process.

mod files;

use files::{created_folder, open, snapshot, with_entries};
use raft::Persist;
use std::fs;

const ENTRIES: u64 = 64;
const ENTRY_BYTES: usize = 1024 * 1024;
const LOG_KB: u64 = ENTRIES * ENTRY_BYTES as u64 / 1024;

/// The largest resident memory that this process has had, in kilobytes.
fn peak_memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the kernel states it");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.expect("the kernel states it in kilobytes")
}

// The file was read whole beside the entries decoded from it, and once more to drop them, so that a
// large log took more than the memory of a replica that had run with it.
#[test]
fn a_large_log_is_read_and_dropped_without_a_second_copy() {
    let folder = created_folder();
    let (mut store, _) = open(folder.path()).expect("a new folder");
    for index in 1..=ENTRIES {
        store
            .write(&with_entries(index, index, ENTRY_BYTES))
            .expect("room on the disk");
    }
    drop(store);
    let before_kb = peak_memory_kb();

    let (mut store, opened) = open(folder.path()).expect("a valid folder");
    assert_eq!(opened.restored.entries.len() as u64, ENTRIES);
    let opened_kb = peak_memory_kb() - before_kb;
    println!("{LOG_KB} KB of log opened in {opened_kb} KB");
    assert!(opened_kb < LOG_KB + LOG_KB / 4, "{opened_kb}");

    let persist = Persist {
        snapshot: Some(snapshot(ENTRIES - 1, 1)),
        ..Persist::default()
    };
    store.write(&persist).expect("room on the disk");
    let dropped_kb = peak_memory_kb() - before_kb;
    assert!(dropped_kb < LOG_KB + LOG_KB / 4, "{dropped_kb}");
    let log_bytes = fs::metadata(folder.path().join("log")).expect("it is there");
    assert!(log_bytes.len() < 2 * ENTRY_BYTES as u64);
    drop(store);
    let (_, opened) = open(folder.path()).expect("a valid folder");
    assert_eq!(opened.restored.entries.len(), 1);
}
