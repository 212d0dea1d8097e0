//! Records of the log: their framing, and how a bad one is judged.
//!
//! A record is a header (length and checksum of the body, how much of the file was synced before
//! the record was written, checksum of the header) and a body. All numbers are little-endian.

/// The size of a record's header.
pub(crate) const HEADER_BYTES: usize = 20;

/// The unit that a disk writes whole.
const SECTOR_BYTES: usize = 512;

/// A record that passed its checksums.
pub(crate) struct Record<'a> {
    pub(crate) body: &'a [u8],
    pub(crate) synced_bytes: u64,
    /// Where the next record starts.
    pub(crate) end: usize,
}

struct Header {
    body_bytes: usize,
    body_checksum: u32,
    synced_bytes: u64,
}

/// What a bad record is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Part of a write that was never synced, and so never answered.
    Torn,
    /// Content that was whole once.
    Corrupt,
}

/// Adds a record to `target`; `synced_bytes` of the file are known to be on the disk.
pub(crate) fn encode(body: &[u8], synced_bytes: u64, target: &mut Vec<u8>) {
    let start = target.len();
    let body_bytes = u32::try_from(body.len()).expect("a record is far below 4 GiB");
    target.extend_from_slice(&body_bytes.to_le_bytes());
    target.extend_from_slice(&crc32c::crc32c(body).to_le_bytes());
    target.extend_from_slice(&synced_bytes.to_le_bytes());
    let checksum = crc32c::crc32c(&target[start..]);
    target.extend_from_slice(&checksum.to_le_bytes());
    target.extend_from_slice(body);
}

/// The record at `start`, if it is whole and passes its checksums.
pub(crate) fn decode(bytes: &[u8], start: usize) -> Option<Record<'_>> {
    let header = decode_header(bytes, start)?;
    let body_start = start + HEADER_BYTES;
    let end = body_start.checked_add(header.body_bytes)?;
    let body = bytes.get(body_start..end)?;
    (crc32c::crc32c(body) == header.body_checksum).then_some(Record {
        body,
        synced_bytes: header.synced_bytes,
        end,
    })
}

fn decode_header(bytes: &[u8], start: usize) -> Option<Header> {
    let header = bytes.get(start..start + HEADER_BYTES)?;
    if read_u32(header, 16) != crc32c::crc32c(&header[..16]) {
        return None;
    }
    Some(Header {
        body_bytes: read_u32(header, 0) as usize,
        body_checksum: read_u32(header, 4),
        synced_bytes: read_u64(header, 8),
    })
}

/// Judges the bad record at `start`, below which the file is sound.
///
/// Damage below `synced_bytes`, or below what a later sound record says was synced, hit content
/// that was on the disk. Above that, a write cut short by a power failure leaves a record that ends
/// early or lacks whole sectors, which read as zeros; anything else was whole once.
pub(crate) fn judge(bytes: &[u8], start: usize, synced_bytes: u64) -> Verdict {
    if (start as u64) < synced_bytes || is_proved_synced(bytes, start) {
        return Verdict::Corrupt;
    }
    if is_short(bytes, start) || lacks_sector(bytes, start) {
        return Verdict::Torn;
    }
    Verdict::Corrupt
}

fn is_proved_synced(bytes: &[u8], start: usize) -> bool {
    let later = start + 1..bytes.len().saturating_sub(HEADER_BYTES - 1);
    later
        .filter_map(|at| decode(bytes, at))
        .any(|record| record.synced_bytes > start as u64)
}

fn is_short(bytes: &[u8], start: usize) -> bool {
    if bytes.len() - start < HEADER_BYTES {
        return true;
    }
    decode_header(bytes, start)
        .is_some_and(|header| header.body_bytes > bytes.len() - start - HEADER_BYTES)
}

fn lacks_sector(bytes: &[u8], start: usize) -> bool {
    let end = decode_header(bytes, start).map_or(start + HEADER_BYTES, |header| {
        bytes.len().min(start + HEADER_BYTES + header.body_bytes)
    });
    let mut piece_start = start;
    while piece_start < end {
        let sector_end = (piece_start / SECTOR_BYTES + 1) * SECTOR_BYTES;
        let piece_end = sector_end.min(end);
        if bytes[piece_start..piece_end].iter().all(|b| *b == 0) {
            return true;
        }
        piece_start = piece_end;
    }
    false
}

pub(crate) fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

pub(crate) fn read_u64(bytes: &[u8], at: usize) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(word)
}
