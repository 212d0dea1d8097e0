//! Torn writes are removed on opening; flipped bits, missing files and failing disks are errors.

mod files;

use files::{Fault, FaultyDisk, created_folder, flip_bit, open, open_unsynced, with_entries};
use raft::Persist;
use std::{fs, path::Path};
use store::{Store, StoreError};
use tempfile::TempDir;

const SECTOR_BYTES: usize = 512;

/// A folder with two synced writes to the log.
///
/// `second_start` is the offset of the second write. `old_mark` is the sync mark from before both,
/// the oldest one that a power failure may leave on the disk.
struct TwoWrites {
    folder: TempDir,
    second_start: usize,
    old_mark: Vec<u8>,
}

impl TwoWrites {
    fn new(size_bytes: usize) -> Self {
        let folder = created_folder();
        let (mut store, _) = open(folder.path()).unwrap();
        let old_mark = fs::read(folder.path().join("synced")).unwrap();
        store.write(&with_entries(1, 4, size_bytes)).unwrap();
        let second_start = fs::read(folder.path().join("log")).unwrap().len();
        store.write(&with_entries(5, 7, size_bytes)).unwrap();
        Self {
            folder,
            second_start,
            old_mark,
        }
    }

    fn log(&self) -> std::path::PathBuf {
        self.folder.path().join("log")
    }

    fn restore_old_mark(&self) {
        fs::write(self.folder.path().join("synced"), &self.old_mark).unwrap();
    }
}

fn is_corrupt(folder: &Path, expected: &str) -> bool {
    matches!(open_unsynced(folder), Err(StoreError::Corrupt { file, .. }) if file == expected)
}

#[test]
fn write_interrupted_by_power_failure_is_removed_and_reported() {
    let writes = TwoWrites::new(40);
    let bytes = fs::read(writes.log()).unwrap();
    for length in writes.second_start + 1..bytes.len() {
        fs::write(writes.log(), &bytes[..length]).unwrap();
        writes.restore_old_mark();
        let (_, opened) = open_unsynced(writes.folder.path()).unwrap();
        let kept = opened.restored.entries.len();
        assert!((4..7).contains(&kept));
        let end = opened.torn_tail.map_or(length as u64, |t| t.offset_bytes);
        assert_eq!(fs::metadata(writes.log()).unwrap().len(), end);
        let (_, again) = open_unsynced(writes.folder.path()).unwrap();
        assert_eq!(again.torn_tail, None);
        assert_eq!(again.restored.entries.len(), kept);
    }
}

#[test]
fn truncated_synced_write_is_corrupt() {
    let writes = TwoWrites::new(40);
    let bytes = fs::read(writes.log()).unwrap();
    for length in 0..bytes.len() {
        fs::write(writes.log(), &bytes[..length]).unwrap();
        assert!(is_corrupt(writes.folder.path(), "log"), "at {length}");
    }
}

#[test]
fn flipped_bit_anywhere_in_the_log_is_corrupt() {
    for old_mark in [false, true] {
        let writes = TwoWrites::new(40);
        let length = fs::read(writes.log()).unwrap().len();
        for position in 0..length {
            flip_bit(&writes.log(), position);
            if old_mark {
                writes.restore_old_mark();
            }
            assert!(is_corrupt(writes.folder.path(), "log"), "at {position}");
            flip_bit(&writes.log(), position);
        }
        assert_eq!(
            open(writes.folder.path()).unwrap().1.restored.entries.len(),
            7
        );
    }
}

#[test]
fn unwritten_sector_is_torn_only_after_the_synced_part() {
    for (old_mark, record) in [(true, 4), (true, 1), (false, 4)] {
        let writes = TwoWrites::new(2 * SECTOR_BYTES);
        let mut bytes = fs::read(writes.log()).unwrap();
        let offset = match record {
            4 => writes.second_start + SECTOR_BYTES * 3,
            _ => SECTOR_BYTES,
        };
        let start = offset / SECTOR_BYTES * SECTOR_BYTES;
        bytes[start..start + SECTOR_BYTES].fill(0);
        fs::write(writes.log(), bytes).unwrap();
        if old_mark {
            writes.restore_old_mark();
        }
        if old_mark && record == 4 {
            assert!(open(writes.folder.path()).unwrap().1.torn_tail.is_some());
        } else {
            assert!(is_corrupt(writes.folder.path(), "log"));
        }
    }
}

#[test]
fn log_truncated_after_a_compaction_is_valid() {
    let writes = TwoWrites::new(40);
    let (mut store, _) = open(writes.folder.path()).unwrap();
    let compact = Persist {
        snapshot: Some(files::snapshot(3, 30)),
        ..Persist::default()
    };
    let truncate = Persist {
        truncate_from: Some(6),
        ..Persist::default()
    };
    store.write(&compact).unwrap();
    store.write(&truncate).unwrap();
    drop(store);
    let (_, opened) = open(writes.folder.path()).unwrap();
    assert_eq!(opened.torn_tail, None);
    assert_eq!(opened.restored.entries, with_entries(4, 5, 40).entries);
}

#[test]
fn flipped_bit_in_another_file_is_corrupt() {
    let writes = TwoWrites::new(40);
    let (mut store, _) = open(writes.folder.path()).unwrap();
    let persist = Persist {
        hard_state: Some(files::hard_state(3)),
        snapshot: Some(files::snapshot(5, 30)),
        ..Persist::default()
    };
    store.write(&persist).unwrap();
    drop(store);
    for name in ["hard-state", "snapshot", "identity", "synced"] {
        let path = writes.folder.path().join(name);
        for position in 0..fs::read(&path).unwrap().len() {
            flip_bit(&path, position);
            assert!(
                is_corrupt(writes.folder.path(), name),
                "{name} at {position}"
            );
            flip_bit(&path, position);
        }
    }
}

#[test]
fn missing_file_is_an_error_and_is_not_created_again() {
    for name in ["identity", "log", "synced", "hard-state", "snapshot"] {
        let writes = TwoWrites::new(40);
        let (mut store, _) = open(writes.folder.path()).unwrap();
        let persist = Persist {
            snapshot: Some(files::snapshot(5, 30)),
            ..Persist::default()
        };
        store.write(&persist).unwrap();
        drop(store);
        fs::remove_file(writes.folder.path().join(name)).unwrap();
        let opened = open(writes.folder.path());
        assert!(matches!(opened, Err(StoreError::Missing { file }) if file == name));
        let created = Store::create(writes.folder.path(), "vm-0", &[]);
        assert!(
            created.is_err(),
            "a replica was created in a folder without {name}"
        );
    }
}

#[test]
fn emptied_folder_opens_with_another_incarnation_and_no_initial_membership() {
    let folder = created_folder();
    let (_, opened) = open(folder.path()).unwrap();
    assert_eq!(opened.id.incarnation, 1);
    assert_eq!(opened.restored.initial_membership.unwrap().voters.len(), 3);
    for name in ["identity", "log", "synced", "hard-state"] {
        fs::remove_file(folder.path().join(name)).unwrap();
    }
    let (store, opened) = open(folder.path()).unwrap();
    assert!(opened.id.incarnation > 1);
    assert!(opened.restored.initial_membership.is_none());
    drop(store);
    assert_eq!(open(folder.path()).unwrap().1.id, opened.id);
    assert!(matches!(
        Store::create(folder.path(), "vm-0", &[]),
        Err(StoreError::NotEmpty)
    ));
}

#[test]
fn folder_opens_only_once_at_a_time_and_only_by_its_name() {
    let folder = created_folder();
    let (store, _) = open(folder.path()).unwrap();
    assert!(matches!(
        open(folder.path()),
        Err(StoreError::Locked { .. })
    ));
    drop(store);
    assert!(matches!(
        Store::open(folder.path(), "vm-1"),
        Err(StoreError::OtherName { .. })
    ));
}

#[test]
fn failed_write_reports_the_cause_and_blocks_further_writes() {
    for fault in [Fault::Full, Fault::Sync] {
        let folder = created_folder();
        // Opening makes one write and two syncs, the first `Store::write` two writes and one sync.
        // So the second `Store::write` fails, and nothing before it.
        let disk = Box::new(FaultyDisk {
            fault,
            successes_left: 3,
        });
        let (mut store, _) = Store::open_with_disk(folder.path(), "vm-0", disk).unwrap();
        store.write(&with_entries(1, 4, 40)).unwrap();
        let failed = store.write(&with_entries(5, 7, 40));
        match fault {
            Fault::Full => assert!(matches!(failed, Err(StoreError::Full { file: "log" }))),
            Fault::Sync => assert!(matches!(
                failed,
                Err(StoreError::SyncFailed { file: "log", .. })
            )),
        }
        let after = store.write(&with_entries(5, 5, 40));
        assert!(matches!(after, Err(StoreError::EarlierWriteFailed)));
        drop(store);
        let (_, opened) = open(folder.path()).unwrap();
        assert!(opened.restored.entries.len() >= 4);
    }
}
