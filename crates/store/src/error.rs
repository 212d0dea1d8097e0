//! Failures of the data folder.

use std::{io, path::PathBuf};
use thiserror::Error;

/// Why the data folder can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// An operation on a file failed.
    #[error("{file}: {source}")]
    Io {
        /// The file's name in the data folder.
        file: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The disk has no room.
    #[error("{file}: no space left")]
    Full {
        /// The file's name in the data folder.
        file: &'static str,
    },
    /// What was written may not be on the disk.
    #[error("{file}: sync failed: {source}")]
    SyncFailed {
        /// The file's name in the data folder.
        file: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// Content that was synced has changed or is gone.
    #[error("{file} is corrupt at byte {offset_bytes}")]
    Corrupt {
        /// The file's name in the data folder.
        file: &'static str,
        /// Where the damage starts.
        offset_bytes: u64,
    },
    /// A file that must be there isn't.
    #[error("{file} is missing")]
    Missing {
        /// The file's name in the data folder.
        file: &'static str,
    },
    /// A file of another version of this program.
    #[error("{file} has the unknown format version {version}")]
    UnknownVersion {
        /// The file's name in the data folder.
        file: &'static str,
        /// Its version.
        version: u32,
    },
    /// Another process uses the data folder.
    #[error("{} is used by another process", .folder.display())]
    Locked {
        /// The data folder.
        folder: PathBuf,
    },
    /// The data folder belongs to a replica of another name.
    #[error("the data folder belongs to {stored}, not to {asked}")]
    OtherName {
        /// The name in the folder.
        stored: String,
        /// The name asked for.
        asked: String,
    },
    /// A group is founded only in an empty folder.
    #[error("the data folder holds a replica already")]
    NotEmpty,
    /// An entry doesn't follow the last one.
    #[error("entry {index} doesn't follow entry {last_index}")]
    Gap {
        /// The entry's index.
        index: u64,
        /// The last index of the log.
        last_index: u64,
    },
    /// An earlier write failed; nothing more is written until the folder is opened anew.
    #[error("an earlier write failed")]
    Refused,
}

impl StoreError {
    pub(crate) fn io(file: &'static str) -> impl Fn(io::Error) -> Self {
        move |source| match source.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => Self::Full { file },
            _ => Self::Io { file, source },
        }
    }

    pub(crate) fn sync(file: &'static str) -> impl Fn(io::Error) -> Self {
        move |source| Self::SyncFailed { file, source }
    }

    pub(crate) fn corrupt(file: &'static str, offset_bytes: usize) -> Self {
        Self::Corrupt {
            file,
            offset_bytes: offset_bytes as u64,
        }
    }
}
