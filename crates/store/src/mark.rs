//! The mark of how much of the log is synced.
//!
//! It is written after each sync of the log and before that write is answered, so it is exact
//! whenever the process dies but the machine goes on. It is not synced itself: after a power
//! failure it may be older, and then says less than was synced, never more. Only before the log is
//! cut back is the mark synced, lowered. It fits into one sector, which a disk writes whole or not
//! at all, so a mark that fails its checksum is damaged.

use crate::{disk::Disk, error::StoreError, frame, whole};
use std::{fs::File, io::Read, path::Path};

pub(crate) const MARK_FILE: &str = "synced";

const MARK_BYTES: usize = 20;

/// How much of which log is synced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Mark {
    /// The base index of the log file meant.
    pub(crate) base_index: u64,
    /// Its synced length.
    pub(crate) synced_bytes: u64,
}

impl Mark {
    fn encode(self) -> Vec<u8> {
        let mut bytes = self.base_index.to_le_bytes().to_vec();
        bytes.extend_from_slice(&self.synced_bytes.to_le_bytes());
        let checksum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let is_sound =
            bytes.len() == MARK_BYTES && frame::read_u32(bytes, 16) == crc32c::crc32c(&bytes[..16]);
        is_sound.then(|| Self {
            base_index: frame::read_u64(bytes, 0),
            synced_bytes: frame::read_u64(bytes, 8),
        })
    }
}

/// The file that holds the mark.
#[derive(Debug)]
pub(crate) struct MarkFile {
    file: File,
}

impl MarkFile {
    pub(crate) fn create(disk: &mut dyn Disk, folder: &Path) -> Result<(), StoreError> {
        whole::replace(disk, folder, MARK_FILE, &Mark::default().encode()).map(drop)
    }

    pub(crate) fn open(folder: &Path) -> Result<(Self, Mark), StoreError> {
        let path = folder.join(MARK_FILE);
        if !path.exists() {
            return Err(StoreError::Missing { file: MARK_FILE });
        }
        let file = File::options().read(true).write(true).open(path);
        let mut file = file.map_err(StoreError::io(MARK_FILE))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)
            .map_err(StoreError::io(MARK_FILE))?;
        let mark = Mark::decode(&bytes).ok_or(StoreError::corrupt(MARK_FILE, 0))?;
        Ok((Self { file }, mark))
    }

    pub(crate) fn set(&self, disk: &mut dyn Disk, mark: Mark) -> Result<(), StoreError> {
        disk.write(&self.file, &mark.encode(), 0)
            .map_err(StoreError::io(MARK_FILE))
    }

    pub(crate) fn set_durably(&self, disk: &mut dyn Disk, mark: Mark) -> Result<(), StoreError> {
        self.set(disk, mark)?;
        disk.sync(&self.file).map_err(StoreError::sync(MARK_FILE))
    }
}
