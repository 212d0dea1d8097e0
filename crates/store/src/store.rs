//! Opens, creates and writes the data folder of a replica.

use crate::{
    atomic_file,
    disk::{Disk, OsDisk},
    error::StoreError,
    log_file::{LogFile, TornTail},
    mark::SyncMarkFile,
    record::{HardStateRecord, Identity, SnapshotRecord},
};
use raft::{HardState, Membership, Persist, ReplicaId, Restored, Snapshot};
use std::{
    collections::BTreeSet,
    fmt,
    fs::{self, File, TryLockError},
    path::{Path, PathBuf},
};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const HARD_STATE_FILE: &str = "hard-state";
const SNAPSHOT_FILE: &str = "snapshot";

/// The incarnation of every replica of the initial membership.
const INITIAL_INCARNATION: u64 = 1;

/// What a data folder held when it was opened.
#[derive(Clone, Debug)]
pub struct Opened {
    /// The replica's name, and the incarnation that was chosen when the folder was created.
    pub id: ReplicaId,
    /// The stored state, from which the caller starts [`raft::Raft`].
    pub restored: Restored,
    /// The incomplete write that was removed from the end of the log, if there was one.
    pub torn_tail: Option<TornTail>,
}

/// The data folder, open for writing and locked against other processes.
pub struct Store {
    folder: PathBuf,
    disk: Box<dyn Disk>,
    log: LogFile,
    /// Whether a write failed; every further one is then rejected.
    is_failed: bool,
    /// The locked file; closing it releases the lock.
    _lock: File,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("folder", &self.folder)
            .field("log", &self.log)
            .field("is_failed", &self.is_failed)
            .finish_non_exhaustive()
    }
}

impl Store {
    /// Creates the files of a replica that belongs to the group's initial membership, the replicas
    /// named in `initial_members`.
    ///
    /// Only for the first start of a group. A replica that lost its disk must not be created this
    /// way again: it would get its old identity back without the votes and entries it confirmed.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotEmpty`] when the folder holds a replica or remains of one,
    /// [`StoreError::Locked`] when another process has it open; failures of its files.
    pub fn create(folder: &Path, name: &str, initial_members: &[String]) -> Result<(), StoreError> {
        let _lock = lock(folder)?;
        if atomic_file::read::<Identity>(folder, IDENTITY_FILE)?.is_some() || has_remains(folder) {
            return Err(StoreError::NotEmpty);
        }
        let identity = Identity {
            name: name.to_owned(),
            incarnation: INITIAL_INCARNATION,
            initial_members: initial_members.to_vec(),
        };
        create_files(&mut OsDisk, folder, &identity)
    }

    /// Opens the folder of the replica `name`. In an empty folder it creates a replica with a
    /// random incarnation, which belongs to no group yet.
    ///
    /// # Errors
    ///
    /// [`StoreError::Locked`] when another process has it open, [`StoreError::OtherName`] when it
    /// belongs to another replica, [`StoreError::Corrupt`] or [`StoreError::Missing`] when content
    /// that was synced is damaged or lost; failures of its files.
    pub fn open(folder: &Path, name: &str) -> Result<(Self, Opened), StoreError> {
        Self::open_with_disk(folder, name, Box::new(OsDisk))
    }

    /// Opens the folder and does every write and sync through `disk`.
    ///
    /// # Errors
    ///
    /// As [`Self::open`].
    pub fn open_with_disk(
        folder: &Path,
        name: &str,
        mut disk: Box<dyn Disk>,
    ) -> Result<(Self, Opened), StoreError> {
        let lock = lock(folder)?;
        let identity = open_or_create_replica(disk.as_mut(), folder, name)?;
        let hard_state = atomic_file::read::<HardStateRecord>(folder, HARD_STATE_FILE)?;
        let hard_state = hard_state.ok_or(StoreError::Missing {
            file: HARD_STATE_FILE,
        })?;
        let snapshot = atomic_file::read::<SnapshotRecord>(folder, SNAPSHOT_FILE)?;
        let truncate_from = snapshot.as_ref().and_then(|s| s.truncate_from);
        let snapshot = snapshot.map(Snapshot::from);
        let opened_log = LogFile::open(disk.as_mut(), folder)?;
        let torn_tail = opened_log.torn_tail;
        let mut store = Self {
            folder: folder.to_owned(),
            disk,
            log: opened_log.log,
            is_failed: false,
            _lock: lock,
        };
        let snapshot_index = snapshot.as_ref().map_or(0, |s| s.index);
        let mut entries = opened_log.entries;
        if store.log.base_index() > snapshot_index {
            return Err(StoreError::Missing {
                file: SNAPSHOT_FILE,
            });
        }
        if store.log.base_index() < snapshot_index {
            store.compact(snapshot_index, truncate_from)?;
            let last_index = store.log.last_index();
            entries.retain(|e| e.index > snapshot_index && e.index <= last_index);
        }
        let restored = Restored {
            hard_state: HardState::from(hard_state),
            snapshot,
            entries,
            initial_membership: initial_membership(&identity),
        };
        let opened = Opened {
            id: ReplicaId {
                name: identity.name,
                incarnation: identity.incarnation,
            },
            restored,
            torn_tail,
        };
        Ok((store, opened))
    }

    /// Writes and syncs all parts; after that the caller may confirm [`Persist::ticket`].
    ///
    /// # Errors
    ///
    /// [`StoreError::Full`], [`StoreError::SyncFailed`] or another failure of the files. From then
    /// on every write gives [`StoreError::EarlierWriteFailed`]: what the disk holds is known only
    /// after the folder is opened again.
    pub fn write(&mut self, persist: &Persist) -> Result<(), StoreError> {
        if self.is_failed {
            return Err(StoreError::EarlierWriteFailed);
        }
        let written = self.write_parts(persist);
        self.is_failed = written.is_err();
        written
    }

    fn write_parts(&mut self, persist: &Persist) -> Result<(), StoreError> {
        if let Some(snapshot) = &persist.snapshot {
            self.write_snapshot(snapshot, persist.truncate_from)?;
        } else if let Some(index) = persist.truncate_from {
            self.log.truncate_from(self.disk.as_mut(), index)?;
        }
        if !persist.entries.is_empty() {
            self.log.append(self.disk.as_mut(), &persist.entries)?;
        }
        if let Some(hard_state) = &persist.hard_state {
            let record = HardStateRecord::from(hard_state);
            atomic_file::write(self.disk.as_mut(), &self.folder, HARD_STATE_FILE, &record)?;
        }
        Ok(())
    }

    /// Writes the snapshot, then rewrites the log. The snapshot's file also says from which index
    /// on entries are to be removed, so that after a crash between the two [`Self::open_with_disk`]
    /// can finish the rewrite.
    fn write_snapshot(
        &mut self,
        snapshot: &Snapshot,
        truncate_from: Option<u64>,
    ) -> Result<(), StoreError> {
        let record = SnapshotRecord::new(snapshot, truncate_from);
        atomic_file::write(self.disk.as_mut(), &self.folder, SNAPSHOT_FILE, &record)?;
        self.compact(snapshot.index, truncate_from)
    }

    fn compact(&mut self, index: u64, truncate_from: Option<u64>) -> Result<(), StoreError> {
        let disk = self.disk.as_mut();
        self.log.compact(disk, &self.folder, index, truncate_from)
    }
}

fn lock(folder: &Path) -> Result<File, StoreError> {
    fs::create_dir_all(folder).map_err(StoreError::io(LOCK_FILE))?;
    let file = File::create(folder.join(LOCK_FILE)).map_err(StoreError::io(LOCK_FILE))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked {
            folder: folder.to_owned(),
        }),
        Err(TryLockError::Error(error)) => Err(StoreError::io(LOCK_FILE)(error)),
    }
}

/// Whether a folder without an identity once held a replica: it has a snapshot or log entries.
fn has_remains(folder: &Path) -> bool {
    folder.join(SNAPSHOT_FILE).exists() || LogFile::has_entries(folder)
}

fn open_or_create_replica(
    disk: &mut dyn Disk,
    folder: &Path,
    name: &str,
) -> Result<Identity, StoreError> {
    let Some(identity) = atomic_file::read::<Identity>(folder, IDENTITY_FILE)? else {
        return create_replica(disk, folder, name);
    };
    if identity.name != name {
        return Err(StoreError::OtherName {
            stored: identity.name,
            expected: name.to_owned(),
        });
    }
    Ok(identity)
}

fn create_replica(disk: &mut dyn Disk, folder: &Path, name: &str) -> Result<Identity, StoreError> {
    if has_remains(folder) {
        return Err(StoreError::Missing {
            file: IDENTITY_FILE,
        });
    }
    let identity = Identity {
        name: name.to_owned(),
        incarnation: rand::random_range(INITIAL_INCARNATION + 1..=u64::MAX),
        initial_members: Vec::new(),
    };
    create_files(disk, folder, &identity)?;
    Ok(identity)
}

/// Writes the files of a new replica. The identity is written last, because a folder that has one
/// must have the others too.
fn create_files(disk: &mut dyn Disk, folder: &Path, identity: &Identity) -> Result<(), StoreError> {
    LogFile::create(disk, folder)?;
    SyncMarkFile::create(disk, folder)?;
    let hard_state = HardStateRecord::from(&HardState::default());
    atomic_file::write(disk, folder, HARD_STATE_FILE, &hard_state)?;
    atomic_file::write(disk, folder, IDENTITY_FILE, identity)
}

fn initial_membership(identity: &Identity) -> Option<Membership> {
    let replica_id = |name: &String| ReplicaId {
        name: name.clone(),
        incarnation: INITIAL_INCARNATION,
    };
    let voters: BTreeSet<_> = identity.initial_members.iter().map(replica_id).collect();
    (!voters.is_empty()).then_some(Membership {
        voters,
        learners: BTreeSet::new(),
    })
}
