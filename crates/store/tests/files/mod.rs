//! Data folders, entries and snapshots for tests, and a disk that fails after some operations.
#![allow(dead_code, reason = "each test file uses a part of it")]

use raft::{Entry, HardState, Membership, Payload, Persist, ReplicaId, Restored, Snapshot};
use std::{
    ffi::OsString,
    fs::{self, File},
    io,
    path::Path,
    sync::LazyLock,
};
use store::{Disk, Opened, OsDisk, Store, StoreError};
use tempfile::TempDir;

/// Names and contents of the files of a folder that [`Store::create`] just created.
static CREATED_FILES: LazyLock<Vec<(OsString, Vec<u8>)>> = LazyLock::new(|| {
    let folder = tempfile::tempdir().unwrap();
    let initial_members = ["vm-0", "vm-1", "vm-2"].map(str::to_owned);
    Store::create(folder.path(), "vm-0", &initial_members).unwrap();
    let files = fs::read_dir(folder.path()).unwrap().map(Result::unwrap);
    files
        .map(|file| (file.file_name(), fs::read(file.path()).unwrap()))
        .collect()
});

/// A copy of the folder of a new replica. Copying avoids the syncs of creating one in each case.
pub fn created_folder() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    for (name, content) in CREATED_FILES.iter() {
        fs::write(folder.path().join(name), content).unwrap();
    }
    folder
}

/// Opens a folder with a disk that skips every sync, which makes tests faster.
pub fn open_unsynced(folder: &Path) -> Result<(Store, Opened), StoreError> {
    let disk = FaultyDisk {
        fault: Fault::Sync,
        successes_left: usize::MAX,
    };
    Store::open_with_disk(folder, "vm-0", Box::new(disk))
}

pub fn open(folder: &Path) -> Result<(Store, Opened), StoreError> {
    Store::open(folder, "vm-0")
}

pub fn entry(index: u64, term: u64, size_bytes: usize) -> Entry {
    let payload = match index % 5 {
        0 => Payload::Noop,
        _ => Payload::Command(vec![0xa5; size_bytes]),
    };
    Entry {
        index,
        term,
        payload,
    }
}

pub fn with_entries(first: u64, last: u64, size_bytes: usize) -> Persist {
    Persist {
        entries: (first..=last).map(|i| entry(i, 1, size_bytes)).collect(),
        ..Persist::default()
    }
}

pub fn snapshot(index: u64, size_bytes: usize) -> Snapshot {
    Snapshot {
        index,
        term: 1,
        membership: Membership {
            voters: [voter()].into(),
            learners: [].into(),
        },
        data: vec![0x5a; size_bytes],
    }
}

pub fn voter() -> ReplicaId {
    ReplicaId {
        name: "vm-0".to_owned(),
        incarnation: 1,
    }
}

/// The states that the folder passes through during a write, from `held` to the complete write, in
/// the order of parts that [`Persist`] demands.
pub fn stages(held: &Restored, persist: &Persist) -> Vec<Restored> {
    let mut stages = vec![held.clone()];
    let mut next = held.clone();
    if let Some(snapshot) = &persist.snapshot {
        next.snapshot = Some(snapshot.clone());
        next.entries.retain(|e| e.index > snapshot.index);
    }
    if let Some(index) = persist.truncate_from {
        next.entries.retain(|e| e.index < index);
    }
    stages.push(next.clone());
    for entry in &persist.entries {
        next.entries.push(entry.clone());
        stages.push(next.clone());
    }
    if let Some(hard_state) = &persist.hard_state {
        next.hard_state = hard_state.clone();
    }
    stages.push(next);
    stages
}

pub fn is_same(a: &Restored, b: &Restored) -> bool {
    a.hard_state == b.hard_state && a.snapshot == b.snapshot && a.entries == b.entries
}

pub fn hard_state(term: u64) -> HardState {
    HardState {
        term,
        voted_for: Some(voter()),
    }
}

/// Flips one bit of the byte at `position` of a file.
pub fn flip_bit(path: &Path, position: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[position] ^= 1 << (position % 8);
    fs::write(path, bytes).unwrap();
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The disk is full. A write that lengthens a file writes half of its bytes and fails. A write
    /// over existing bytes, which only the sync mark needs, fails without writing any: the mark
    /// fits into a sector, which a disk writes whole or not at all.
    Full,
    /// Syncs fail.
    Sync,
}

/// Lets `successes_left` operations of the fault's kind succeed, then fails all further ones.
pub struct FaultyDisk {
    pub fault: Fault,
    pub successes_left: usize,
}

impl FaultyDisk {
    fn fails(&mut self, fault: Fault) -> bool {
        if self.fault != fault {
            return false;
        }
        let fails = self.successes_left == 0;
        self.successes_left = self.successes_left.saturating_sub(1);
        fails
    }
}

impl Disk for FaultyDisk {
    fn write(&mut self, file: &File, bytes: &[u8], offset_bytes: u64) -> io::Result<()> {
        if self.fails(Fault::Full) {
            if offset_bytes >= file.metadata()?.len() {
                OsDisk.write(file, &bytes[..bytes.len() / 2], offset_bytes)?;
            }
            return Err(io::ErrorKind::StorageFull.into());
        }
        OsDisk.write(file, bytes, offset_bytes)
    }

    fn sync(&mut self, _file: &File) -> io::Result<()> {
        if self.fails(Fault::Sync) {
            return Err(io::ErrorKind::Other.into());
        }
        Ok(())
    }
}
