//! The edge to the operating system: the calls that can fail on a bad disk.

use std::{fs::File, io, os::unix::fs::FileExt};

/// Writes and syncs files.
pub trait Disk: Send {
    /// Writes all of `bytes` at `offset_bytes`.
    ///
    /// # Errors
    ///
    /// What the operating system says; part of the bytes may have been written.
    fn write(&mut self, file: &File, bytes: &[u8], offset_bytes: u64) -> io::Result<()>;

    /// Waits until the file's content is on the disk.
    ///
    /// # Errors
    ///
    /// What the operating system says; what was written may or may not be on the disk.
    fn sync(&mut self, file: &File) -> io::Result<()>;
}

/// The operating system's files.
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
