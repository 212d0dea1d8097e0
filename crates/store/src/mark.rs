//! The sync mark: a small file that records how many bytes of the log file are synced.
//!
//! It is written after each sync of the log and before the caller may confirm that write, so it is
//! exact when the process dies but the machine keeps running. It is usually not synced itself:
//! after a power failure the disk may hold an older mark, which claims fewer synced bytes than
//! there are, never more. The exception is a truncation of the log, before which the lowered mark
//! is written and synced. The mark fits into one sector, which a disk writes whole or not at
//! all, so a wrong checksum means damage and not an interrupted write.

use crate::{atomic_file, disk::Disk, error::StoreError, frame};
use std::{fs::File, io::Read, path::Path};

pub(crate) const SYNC_MARK_FILE: &str = "synced";

/// The size of the encoded mark: base index, synced length, and a checksum of both.
const SYNC_MARK_BYTES: usize = 20;

/// How many bytes of which log file are synced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SyncMark {
    /// The base index of the log file that the mark is about; it differs after a compaction.
    pub(crate) base_index: u64,
    /// The length of that file's synced part, header included.
    pub(crate) synced_bytes: u64,
}

impl SyncMark {
    fn encode(self) -> Vec<u8> {
        let mut bytes = self.base_index.to_le_bytes().to_vec();
        bytes.extend_from_slice(&self.synced_bytes.to_le_bytes());
        let checksum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let is_valid = bytes.len() == SYNC_MARK_BYTES
            && frame::read_u32(bytes, 16) == crc32c::crc32c(&bytes[..16]);
        is_valid.then(|| Self {
            base_index: frame::read_u64(bytes, 0),
            synced_bytes: frame::read_u64(bytes, 8),
        })
    }
}

/// The open file that holds the sync mark.
#[derive(Debug)]
pub(crate) struct SyncMarkFile {
    file: File,
}

impl SyncMarkFile {
    pub(crate) fn create(disk: &mut dyn Disk, folder: &Path) -> Result<(), StoreError> {
        atomic_file::replace(disk, folder, SYNC_MARK_FILE, &SyncMark::default().encode()).map(drop)
    }

    pub(crate) fn open(folder: &Path) -> Result<(Self, SyncMark), StoreError> {
        let path = folder.join(SYNC_MARK_FILE);
        if !path.exists() {
            return Err(StoreError::Missing {
                file: SYNC_MARK_FILE,
            });
        }
        let file = File::options().read(true).write(true).open(path);
        let mut file = file.map_err(StoreError::io(SYNC_MARK_FILE))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)
            .map_err(StoreError::io(SYNC_MARK_FILE))?;
        let mark = SyncMark::decode(&bytes).ok_or(StoreError::corrupt(SYNC_MARK_FILE, 0))?;
        Ok((Self { file }, mark))
    }

    pub(crate) fn write(&self, disk: &mut dyn Disk, mark: SyncMark) -> Result<(), StoreError> {
        disk.write(&self.file, &mark.encode(), 0)
            .map_err(StoreError::io(SYNC_MARK_FILE))
    }

    pub(crate) fn write_and_sync(
        &self,
        disk: &mut dyn Disk,
        mark: SyncMark,
    ) -> Result<(), StoreError> {
        self.write(disk, mark)?;
        disk.sync(&self.file)
            .map_err(StoreError::sync(SYNC_MARK_FILE))
    }
}
