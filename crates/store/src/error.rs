//! Errors of opening and writing the data folder.

use std::{io, path::PathBuf};
use thiserror::Error;

/// A failure to open or write the data folder.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file can't be created, read, written or renamed.
    #[error("can't access {file}: {source}")]
    Io {
        /// The file's name in the data folder.
        file: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// The disk is full, or a quota or the limit of a file's size is reached.
    #[error("can't write {file}: the disk is full, or a quota or file size limit is reached")]
    Full {
        /// The file's name in the data folder.
        file: &'static str,
    },
    /// A file can't be synced; what was written may not be on the disk.
    #[error("can't sync {file}: {source}")]
    SyncFailed {
        /// The file's name in the data folder.
        file: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// Content that was synced has changed or is lost.
    #[error("{file} is corrupt at byte {offset_bytes}")]
    Corrupt {
        /// The file's name in the data folder.
        file: &'static str,
        /// The offset of the damaged record in the log; 0 for its header and for other files.
        offset_bytes: u64,
    },
    /// A file is missing that a replica's data folder always has, or that the other files refer to.
    #[error("{file} is missing from the data folder")]
    Missing {
        /// The file's name in the data folder.
        file: &'static str,
    },
    /// A file was written in a format that this version of the program doesn't know.
    #[error("{file} has the unknown format version {version}")]
    UnknownVersion {
        /// The file's name in the data folder.
        file: &'static str,
        /// The format version in the file's header.
        version: u32,
    },
    /// Another process holds the lock of the data folder.
    #[error("the data folder {} is used by another process", .folder.display())]
    Locked {
        /// The data folder.
        folder: PathBuf,
    },
    /// The data folder belongs to a replica of another name.
    #[error("the data folder belongs to replica {stored}, not to {expected}")]
    OtherName {
        /// The replica's name in the `identity` file.
        stored: String,
        /// The name that the caller passed.
        expected: String,
    },
    /// The data folder already holds a replica or remains of one, so none can be created in it.
    #[error("the data folder already holds files of a replica")]
    NotEmpty,
    /// An entry to append doesn't have the index after the last one.
    #[error("entry {index} doesn't follow the last entry {last_index} of the log")]
    Gap {
        /// The index of the entry to append.
        index: u64,
        /// The index of the last entry.
        last_index: u64,
    },
    /// An earlier write failed; every further one fails too until the folder is opened again.
    #[error("an earlier write to the data folder failed")]
    EarlierWriteFailed,
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

    pub(crate) fn corrupt(file: &'static str, offset_bytes: u64) -> Self {
        Self::Corrupt { file, offset_bytes }
    }
}
