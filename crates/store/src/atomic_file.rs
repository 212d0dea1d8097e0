//! Atomic replacement of whole files.
//!
//! The content is written to a new file and synced, the new file is renamed over the old one, and
//! the folder is synced. After a crash, a reader finds either the old or the new content.

use crate::{disk::Disk, error::StoreError, frame};
use prost::Message;
use std::{
    fs::{self, File},
    io,
    path::Path,
};

const MAGIC: [u8; 4] = *b"OWFL";
const VERSION: u32 = 1;
/// The size of the header: magic, version, length of the body, checksum of these and the body.
const HEADER_BYTES: usize = 20;

/// Replaces the file `name` by `record` with a header that holds its length and checksum.
pub(crate) fn write(
    disk: &mut dyn Disk,
    folder: &Path,
    name: &'static str,
    record: &impl Message,
) -> Result<(), StoreError> {
    let body = record.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes), &body);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&body);
    replace(disk, folder, name, &bytes).map(drop)
}

/// Replaces the content of the file `name` by `bytes`, without a header; returns the new file.
pub(crate) fn replace(
    disk: &mut dyn Disk,
    folder: &Path,
    name: &'static str,
    bytes: &[u8],
) -> Result<File, StoreError> {
    let new_path = folder.join(name).with_extension("new");
    let file = File::options()
        .read(true)
        .write(true)
        .create(true)
        .truncate(true)
        .open(&new_path)
        .map_err(StoreError::io(name))?;
    disk.write(&file, bytes, 0).map_err(StoreError::io(name))?;
    disk.sync(&file).map_err(StoreError::sync(name))?;
    fs::rename(&new_path, folder.join(name)).map_err(StoreError::io(name))?;
    sync_folder(disk, folder, name)?;
    Ok(file)
}

/// Syncs the folder, so that a rename in it survives a power failure.
fn sync_folder(
    disk: &mut dyn Disk,
    folder: &Path,
    renamed: &'static str,
) -> Result<(), StoreError> {
    let folder = File::open(folder).map_err(StoreError::io(renamed))?;
    disk.sync(&folder).map_err(StoreError::sync(renamed))
}

/// Reads the record that [`write()`] stored in the file `name`; `None` if there is no such file.
pub(crate) fn read<R: Message + Default>(
    folder: &Path,
    name: &'static str,
) -> Result<Option<R>, StoreError> {
    let bytes = match fs::read(folder.join(name)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(StoreError::io(name)(error)),
    };
    let corrupt = || StoreError::corrupt(name, 0);
    if bytes.len() < HEADER_BYTES || bytes[..4] != MAGIC {
        return Err(corrupt());
    }
    let body = &bytes[HEADER_BYTES..];
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes[..16]), body);
    let body_bytes = frame::read_u64(&bytes, 8);
    if body_bytes != body.len() as u64 || frame::read_u32(&bytes, 16) != checksum {
        return Err(corrupt());
    }
    let version = frame::read_u32(&bytes, 4);
    if version != VERSION {
        return Err(StoreError::UnknownVersion {
            file: name,
            version,
        });
    }
    R::decode(body).map(Some).map_err(|_| corrupt())
}
