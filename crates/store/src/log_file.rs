//! The log file: a header, then one record for each log entry.
//!
//! Entries are appended. The file is rewritten when a snapshot replaces the first entries, and
//! truncated when a leader replaces the last ones. The header holds the index before the first
//! entry, and how many bytes of the file were synced before it was renamed to its final name.
//!
//! Records are read one at a time, since a log may be as large as the memory that a replica has left.

use crate::{
    atomic_file,
    disk::Disk,
    error::StoreError,
    frame::{self, Damage},
    mark::{SyncMark, SyncMarkFile},
    record::EntryRecord,
};
use prost::Message;
use raft::Entry;
use std::{
    fs::{self, File},
    io::{BufReader, Read, Seek, SeekFrom},
    path::Path,
};

pub(crate) const LOG_FILE: &str = "log";

const MAGIC: [u8; 4] = *b"OWLG";
const VERSION: u32 = 1;
/// The size of the header: magic, version, base index, synced length, and a checksum of these.
const HEADER_BYTES: usize = 28;

/// The incomplete part of a write that was never synced, removed from the end of the log when the
/// folder was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The offset in the log file at which it started; the file ends there now.
    pub offset_bytes: u64,
    /// The number of bytes removed.
    pub lost_bytes: u64,
}

/// The log file, open for writing.
#[derive(Debug)]
pub(crate) struct LogFile {
    file: File,
    sync_mark: SyncMarkFile,
    /// The index before the first entry of the file.
    base_index: u64,
    /// The offset in the file at which each entry's record starts.
    offsets: Vec<u64>,
    /// The offset after the last entry's record, at which the next one is written.
    end_bytes: u64,
}

/// The opened log file and what it held.
pub(crate) struct OpenedLog {
    pub(crate) log: LogFile,
    pub(crate) entries: Vec<Entry>,
    pub(crate) torn_tail: Option<TornTail>,
}

/// What has been read of a log file so far.
struct Scan {
    base_index: u64,
    /// The length of the file's part that was synced; damage in it is corruption.
    synced_bytes: u64,
    entries: Vec<Entry>,
    offsets: Vec<u64>,
    /// The offset after the last valid record.
    end_bytes: u64,
    /// The length of the file.
    file_bytes: u64,
}

impl LogFile {
    /// Creates a log file without entries.
    pub(crate) fn create(disk: &mut dyn Disk, folder: &Path) -> Result<(), StoreError> {
        let bytes = encode_header(0, HEADER_BYTES as u64);
        atomic_file::replace(disk, folder, LOG_FILE, &bytes).map(drop)
    }

    /// Whether the folder has a log file with more than a header.
    pub(crate) fn has_entries(folder: &Path) -> bool {
        let length = fs::metadata(folder.join(LOG_FILE)).map_or(0, |m| m.len());
        length > HEADER_BYTES as u64
    }

    /// Reads the log file, removes a torn tail, and syncs the file.
    pub(crate) fn open(disk: &mut dyn Disk, folder: &Path) -> Result<OpenedLog, StoreError> {
        let path = folder.join(LOG_FILE);
        if !path.exists() {
            return Err(StoreError::Missing { file: LOG_FILE });
        }
        let (sync_mark_file, sync_mark) = SyncMarkFile::open(folder)?;
        let scan = scan(folder, sync_mark)?;
        let file = File::options().read(true).write(true).open(&path);
        let mut log = Self {
            file: file.map_err(StoreError::io(LOG_FILE))?,
            sync_mark: sync_mark_file,
            base_index: scan.base_index,
            offsets: scan.offsets,
            end_bytes: scan.end_bytes,
        };
        let lost_bytes = scan.file_bytes - scan.end_bytes;
        let torn_tail = (lost_bytes > 0).then_some(TornTail {
            offset_bytes: scan.end_bytes,
            lost_bytes,
        });
        log.truncate_file(disk)?;
        Ok(OpenedLog {
            log,
            entries: scan.entries,
            torn_tail,
        })
    }

    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.offsets.len() as u64
    }

    /// Appends entries and syncs them; their indexes must follow the last one without a gap.
    pub(crate) fn append(
        &mut self,
        disk: &mut dyn Disk,
        entries: &[Entry],
    ) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        let mut offsets = Vec::new();
        for entry in entries {
            let last_index = self.last_index() + offsets.len() as u64;
            if entry.index != last_index + 1 {
                return Err(StoreError::Gap {
                    index: entry.index,
                    last_index,
                });
            }
            offsets.push(self.end_bytes + bytes.len() as u64);
            let body = EntryRecord::from(entry).encode_to_vec();
            frame::encode(&body, self.end_bytes, &mut bytes);
        }
        disk.write(&self.file, &bytes, self.end_bytes)
            .map_err(StoreError::io(LOG_FILE))?;
        disk.sync(&self.file).map_err(StoreError::sync(LOG_FILE))?;
        self.offsets.append(&mut offsets);
        self.end_bytes += bytes.len() as u64;
        self.sync_mark.write(disk, self.current_sync_mark())
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate_from(
        &mut self,
        disk: &mut dyn Disk,
        index: u64,
    ) -> Result<(), StoreError> {
        let kept = index.saturating_sub(self.base_index + 1);
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        let Some(end_bytes) = self.offsets.get(kept).copied() else {
            return Ok(());
        };
        self.offsets.truncate(kept);
        self.end_bytes = end_bytes;
        self.truncate_file(disk)
    }

    /// Rewrites the file without the entries up to `index` and those from `truncate_from` on.
    pub(crate) fn compact(
        &mut self,
        disk: &mut dyn Disk,
        folder: &Path,
        index: u64,
        truncate_from: Option<u64>,
    ) -> Result<(), StoreError> {
        let dropped = usize::try_from(index.saturating_sub(self.base_index)).unwrap_or(usize::MAX);
        let kept_end =
            truncate_from.map_or(u64::MAX, |from| from.saturating_sub(self.base_index + 1));
        let kept_end = usize::try_from(kept_end).unwrap_or(usize::MAX);
        let kept_end = kept_end.min(self.offsets.len());
        let kept = self.offsets.get(dropped..kept_end).unwrap_or(&[]);
        let mut old = RecordReader::open(folder, kept.first().copied())?;
        let mut bytes = encode_header(index, 0);
        let mut offsets = Vec::with_capacity(kept.len());
        let mut body = Vec::new();
        for _ in kept {
            if !old.read(&mut body)? {
                return Err(StoreError::corrupt(LOG_FILE, old.at_bytes));
            }
            offsets.push(bytes.len() as u64);
            frame::encode(&body, 0, &mut bytes);
        }
        let end_bytes = bytes.len() as u64;
        bytes[..HEADER_BYTES].copy_from_slice(&encode_header(index, end_bytes));
        self.file = atomic_file::replace(disk, folder, LOG_FILE, &bytes)?;
        self.base_index = index;
        self.offsets = offsets;
        self.end_bytes = end_bytes;
        self.sync_mark.write(disk, self.current_sync_mark())
    }

    /// Truncates the file after the last entry. The sync mark is lowered first: it must never claim
    /// more synced bytes than the file has.
    fn truncate_file(&mut self, disk: &mut dyn Disk) -> Result<(), StoreError> {
        self.sync_mark
            .write_and_sync(disk, self.current_sync_mark())?;
        self.file
            .set_len(self.end_bytes)
            .map_err(StoreError::io(LOG_FILE))?;
        disk.sync(&self.file).map_err(StoreError::sync(LOG_FILE))
    }

    fn current_sync_mark(&self) -> SyncMark {
        SyncMark {
            base_index: self.base_index,
            synced_bytes: self.end_bytes,
        }
    }
}

fn encode_header(base_index: u64, synced_bytes: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&base_index.to_le_bytes());
    bytes.extend_from_slice(&synced_bytes.to_le_bytes());
    let checksum = crc32c::crc32c(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Reads the records of a log file in order.
struct RecordReader {
    file: BufReader<File>,
    /// The offset of the next record.
    at_bytes: u64,
    /// The length of the file.
    file_bytes: u64,
}

impl RecordReader {
    /// Opens the log file at the record with this offset, else at the first one.
    fn open(folder: &Path, offset_bytes: Option<u64>) -> Result<Self, StoreError> {
        let file = File::open(folder.join(LOG_FILE)).map_err(StoreError::io(LOG_FILE))?;
        let file_bytes = file.metadata().map_err(StoreError::io(LOG_FILE))?.len();
        let at_bytes = offset_bytes.unwrap_or(HEADER_BYTES as u64);
        let mut file = BufReader::new(file);
        file.seek(SeekFrom::Start(at_bytes))
            .map_err(StoreError::io(LOG_FILE))?;
        Ok(Self {
            file,
            at_bytes,
            file_bytes,
        })
    }

    fn is_at_end(&self) -> bool {
        self.at_bytes >= self.file_bytes
    }

    /// Reads the next record into `body`. Returns false when it is invalid; nothing can be read
    /// after it.
    fn read(&mut self, body: &mut Vec<u8>) -> Result<bool, StoreError> {
        let left_bytes = self.file_bytes - self.at_bytes;
        let is_valid = frame::read(&mut self.file, left_bytes, body);
        let is_valid = is_valid.map_err(StoreError::io(LOG_FILE))?;
        if is_valid {
            self.at_bytes += (frame::HEADER_BYTES + body.len()) as u64;
        }
        Ok(is_valid)
    }
}

fn read_header(path: &Path) -> Result<Scan, StoreError> {
    let file = File::open(path).map_err(StoreError::io(LOG_FILE))?;
    let file_bytes = file.metadata().map_err(StoreError::io(LOG_FILE))?.len();
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    file.take(HEADER_BYTES as u64)
        .read_to_end(&mut bytes)
        .map_err(StoreError::io(LOG_FILE))?;
    let is_valid = bytes.len() == HEADER_BYTES
        && bytes[..4] == MAGIC
        && frame::read_u32(&bytes, 24) == crc32c::crc32c(&bytes[..24]);
    if !is_valid {
        return Err(StoreError::corrupt(LOG_FILE, 0));
    }
    let version = frame::read_u32(&bytes, 4);
    if version != VERSION {
        return Err(StoreError::UnknownVersion {
            file: LOG_FILE,
            version,
        });
    }
    Ok(Scan {
        base_index: frame::read_u64(&bytes, 8),
        synced_bytes: frame::read_u64(&bytes, 16),
        entries: Vec::new(),
        offsets: Vec::new(),
        end_bytes: HEADER_BYTES as u64,
        file_bytes,
    })
}

/// Reads the entries up to the end of the file or to a torn tail.
///
/// The synced length is that of the sync mark if it is about this file, since the file may have
/// been truncated after its header was written. A mark about an older file means that the mark was
/// not updated, or not durably, after the log was rewritten; then the header's length counts.
fn scan(folder: &Path, sync_mark: SyncMark) -> Result<Scan, StoreError> {
    let mut scan = read_header(&folder.join(LOG_FILE))?;
    if sync_mark.base_index == scan.base_index {
        scan.synced_bytes = sync_mark.synced_bytes;
    }
    let mut reader = RecordReader::open(folder, None)?;
    let mut body = Vec::new();
    while !reader.is_at_end() {
        if !reader.read(&mut body)? {
            return match classify_damage(folder, &scan)? {
                Damage::Torn => Ok(scan),
                Damage::Corrupt => Err(StoreError::corrupt(LOG_FILE, scan.end_bytes)),
            };
        }
        let entry = EntryRecord::decode(body.as_slice()).map(Entry::from);
        let index = scan.base_index + scan.entries.len() as u64 + 1;
        match entry {
            Ok(entry) if entry.index == index => scan.entries.push(entry),
            _ => return Err(StoreError::corrupt(LOG_FILE, scan.end_bytes)),
        }
        scan.offsets.push(scan.end_bytes);
        scan.end_bytes = reader.at_bytes;
    }
    if scan.end_bytes < scan.synced_bytes {
        return Err(StoreError::corrupt(LOG_FILE, scan.end_bytes));
    }
    Ok(scan)
}

/// Tells why the record after those that were read is invalid. Reads the file whole, since records
/// after it may tell.
fn classify_damage(folder: &Path, scan: &Scan) -> Result<Damage, StoreError> {
    let bytes = fs::read(folder.join(LOG_FILE)).map_err(StoreError::io(LOG_FILE))?;
    let start = usize::try_from(scan.end_bytes).unwrap_or(usize::MAX);
    Ok(frame::classify_damage(&bytes, start, scan.synced_bytes))
}
