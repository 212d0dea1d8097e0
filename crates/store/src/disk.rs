//! Writes and syncs of files, behind a trait so that tests can let them fail.

use std::{fs::File, io, os::unix::fs::FileExt};

/// Writes and syncs the files of a data folder.
pub trait Disk: Send {
    /// Writes all of `bytes` at `offset_bytes`.
    ///
    /// # Errors
    ///
    /// The operating system's error; part of the bytes may have been written.
    fn write(&mut self, file: &File, bytes: &[u8], offset_bytes: u64) -> io::Result<()>;

    /// Waits until the file's content is on the disk.
    ///
    /// # Errors
    ///
    /// The operating system's error; earlier writes may or may not be on the disk.
    fn sync(&mut self, file: &File) -> io::Result<()>;
}

/// Calls the operating system; what a running replica uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsDisk;

impl Disk for OsDisk {
    fn write(&mut self, file: &File, bytes: &[u8], offset_bytes: u64) -> io::Result<()> {
        file.write_all_at(bytes, offset_bytes)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}
