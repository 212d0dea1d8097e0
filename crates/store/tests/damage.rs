//! Torn tails, flipped bits, missing files and disks that fail.

mod files;

use files::{Fault, FaultyDisk, flip, founded, open, open_unsynced, with_entries};
use raft::Persist;
use std::{fs, path::Path};
use store::{Store, StoreError};
use tempfile::TempDir;

const SECTOR_BYTES: usize = 512;

/// A folder with two synced writes; where the second starts; and the mark from before both, which
/// is the least that a power failure may leave.
struct TwoWrites {
    folder: TempDir,
    second_start: usize,
    old_mark: Vec<u8>,
}

impl TwoWrites {
    fn new(size_bytes: usize) -> Self {
        let folder = founded();
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

    fn bring_back_old_mark(&self) {
        fs::write(self.folder.path().join("synced"), &self.old_mark).unwrap();
    }
}

fn is_corrupt(folder: &Path, expected: &str) -> bool {
    matches!(open_unsynced(folder), Err(StoreError::Corrupt { file, .. }) if file == expected)
}

#[test]
fn write_cut_short_by_power_failure_is_cut_off_and_told() {
    let whole = TwoWrites::new(40);
    let bytes = fs::read(whole.log()).unwrap();
    for length in whole.second_start + 1..bytes.len() {
        fs::write(whole.log(), &bytes[..length]).unwrap();
        whole.bring_back_old_mark();
        let (_, opened) = open_unsynced(whole.folder.path()).unwrap();
        let kept = opened.restored.entries.len();
        assert!((4..7).contains(&kept));
        let end = opened.torn_tail.map_or(length as u64, |t| t.offset_bytes);
        assert_eq!(fs::metadata(whole.log()).unwrap().len(), end);
        let (_, again) = open_unsynced(whole.folder.path()).unwrap();
        assert_eq!(again.torn_tail, None);
        assert_eq!(again.restored.entries.len(), kept);
    }
}

#[test]
fn answered_write_that_is_cut_short_is_corrupt() {
    let whole = TwoWrites::new(40);
    let bytes = fs::read(whole.log()).unwrap();
    for length in 0..bytes.len() {
        fs::write(whole.log(), &bytes[..length]).unwrap();
        assert!(is_corrupt(whole.folder.path(), "log"), "at {length}");
    }
}

#[test]
fn flipped_bit_is_corrupt_wherever_it_is() {
    for old_mark in [false, true] {
        let whole = TwoWrites::new(40);
        let length = fs::read(whole.log()).unwrap().len();
        for position in 0..length {
            flip(&whole.log(), position);
            if old_mark {
                whole.bring_back_old_mark();
            }
            assert!(is_corrupt(whole.folder.path(), "log"), "at {position}");
            flip(&whole.log(), position);
        }
        assert_eq!(
            open(whole.folder.path()).unwrap().1.restored.entries.len(),
            7
        );
    }
}

#[test]
fn sector_that_was_never_written_is_torn_only_above_what_was_synced() {
    for (old_mark, record) in [(true, 4), (true, 1), (false, 4)] {
        let whole = TwoWrites::new(2 * SECTOR_BYTES);
        let mut bytes = fs::read(whole.log()).unwrap();
        let in_record = match record {
            4 => whole.second_start + SECTOR_BYTES * 3,
            _ => SECTOR_BYTES,
        };
        let start = in_record / SECTOR_BYTES * SECTOR_BYTES;
        bytes[start..start + SECTOR_BYTES].fill(0);
        fs::write(whole.log(), bytes).unwrap();
        if old_mark {
            whole.bring_back_old_mark();
        }
        if old_mark && record == 4 {
            assert!(open(whole.folder.path()).unwrap().1.torn_tail.is_some());
        } else {
            assert!(is_corrupt(whole.folder.path(), "log"));
        }
    }
}

#[test]
fn log_cut_back_after_a_compaction_is_sound() {
    let whole = TwoWrites::new(40);
    let (mut store, _) = open(whole.folder.path()).unwrap();
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
    let (_, opened) = open(whole.folder.path()).unwrap();
    assert_eq!(opened.torn_tail, None);
    assert_eq!(opened.restored.entries, with_entries(4, 5, 40).entries);
}

#[test]
fn flipped_bit_in_another_file_is_corrupt() {
    let whole = TwoWrites::new(40);
    let (mut store, _) = open(whole.folder.path()).unwrap();
    let persist = Persist {
        hard_state: Some(files::hard_state(3)),
        snapshot: Some(files::snapshot(5, 30)),
        ..Persist::default()
    };
    store.write(&persist).unwrap();
    drop(store);
    for name in ["hard-state", "snapshot", "identity", "synced"] {
        let path = whole.folder.path().join(name);
        for position in 0..fs::read(&path).unwrap().len() {
            flip(&path, position);
            assert!(
                is_corrupt(whole.folder.path(), name),
                "{name} at {position}"
            );
            flip(&path, position);
        }
    }
}

#[test]
fn missing_file_is_told_and_never_made_anew() {
    for name in ["identity", "log", "synced", "hard-state", "snapshot"] {
        let whole = TwoWrites::new(40);
        let (mut store, _) = open(whole.folder.path()).unwrap();
        let persist = Persist {
            snapshot: Some(files::snapshot(5, 30)),
            ..Persist::default()
        };
        store.write(&persist).unwrap();
        drop(store);
        fs::remove_file(whole.folder.path().join(name)).unwrap();
        let opened = open(whole.folder.path());
        assert!(matches!(opened, Err(StoreError::Missing { file }) if file == name));
        let founded = Store::found(whole.folder.path(), "vm-0", &[]);
        assert!(founded.is_err(), "a folder without {name} can't be founded");
    }
}

#[test]
fn emptied_folder_comes_up_under_another_incarnation_without_founders() {
    let folder = founded();
    let (_, opened) = open(folder.path()).unwrap();
    assert_eq!(opened.id.incarnation, 1);
    assert_eq!(opened.restored.founders.unwrap().voters.len(), 3);
    for name in ["identity", "log", "synced", "hard-state"] {
        fs::remove_file(folder.path().join(name)).unwrap();
    }
    let (store, opened) = open(folder.path()).unwrap();
    assert!(opened.id.incarnation > 1);
    assert!(opened.restored.founders.is_none());
    drop(store);
    assert_eq!(open(folder.path()).unwrap().1.id, opened.id);
    assert!(matches!(
        Store::found(folder.path(), "vm-0", &[]),
        Err(StoreError::NotEmpty)
    ));
}

#[test]
fn folder_is_opened_by_one_at_a_time_and_under_its_name() {
    let folder = founded();
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
fn failed_disk_is_told_once_and_then_refuses() {
    for fault in [Fault::Full, Fault::Sync] {
        let folder = founded();
        // Opening makes one write and two syncs, the first call below two writes and one sync.
        let disk = Box::new(FaultyDisk { fault, left: 3 });
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
        assert!(matches!(after, Err(StoreError::Refused)));
        drop(store);
        let (_, opened) = open(folder.path()).unwrap();
        assert!(opened.restored.entries.len() >= 4);
    }
}
