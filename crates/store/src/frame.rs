//! Records of the log file: their encoding, and the classification of an invalid one.
//!
//! A record is a header (length and checksum of the body, how much of the file was synced before
//! the record was written, checksum of the header) and a body. All numbers are little-endian.

use std::io::{self, Read};

/// The size of a record's header; a record's body follows it.
pub(crate) const HEADER_BYTES: usize = 20;

/// The largest unit that a disk writes either whole or not at all.
const SECTOR_BYTES: usize = 512;

struct Header {
    body_bytes: usize,
    body_checksum: u32,
    synced_bytes: u64,
}

impl Header {
    fn is_valid_body(&self, body: &[u8]) -> bool {
        crc32c::crc32c(body) == self.body_checksum
    }
}

/// What made a record invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Damage {
    /// A write that was never synced, and so never confirmed to anyone; it may be removed.
    Torn,
    /// Damage to content that was written completely.
    Corrupt,
}

/// Appends a record with this body to `target`. `synced_bytes` is the length of the file's part
/// that is known to be synced.
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

/// How much of the file was synced when the record at offset `start` was written; `None` when there
/// is no complete record with valid checksums.
fn synced_before(bytes: &[u8], start: usize) -> Option<u64> {
    let header = decode_header(bytes, start)?;
    let body_start = start + HEADER_BYTES;
    let body = bytes.get(body_start..body_start.checked_add(header.body_bytes)?)?;
    header.is_valid_body(body).then_some(header.synced_bytes)
}

/// Reads the next record into `body`, which is cleared first. `left_bytes` is the length of the rest
/// of the file. Returns false when the record is incomplete or its checksums are wrong.
pub(crate) fn read(
    source: &mut impl Read,
    left_bytes: u64,
    body: &mut Vec<u8>,
) -> io::Result<bool> {
    body.clear();
    if left_bytes < HEADER_BYTES as u64 {
        return Ok(false);
    }
    let mut header = [0; HEADER_BYTES];
    source.read_exact(&mut header)?;
    let Some(header) = decode_header(&header, 0) else {
        return Ok(false);
    };
    if header.body_bytes as u64 > left_bytes - HEADER_BYTES as u64 {
        return Ok(false);
    }
    body.resize(header.body_bytes, 0);
    source.read_exact(body)?;
    Ok(header.is_valid_body(body))
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

/// Tells why the record at offset `start` is invalid; everything before it must be valid.
///
/// Content below `synced_bytes`, or below the synced length in a later valid record, was on the
/// disk, so it is corrupt. Above that, a write interrupted by a power failure leaves a record that
/// ends early, or one with missing sectors, which read as zeros: it is torn. Any other invalid
/// record was written completely and is corrupt.
pub(crate) fn classify_damage(bytes: &[u8], start: usize, synced_bytes: u64) -> Damage {
    if (start as u64) < synced_bytes || is_below_later_sync(bytes, start) {
        return Damage::Corrupt;
    }
    if ends_early(bytes, start) || has_zeroed_sector(bytes, start) {
        return Damage::Torn;
    }
    Damage::Corrupt
}

fn is_below_later_sync(bytes: &[u8], start: usize) -> bool {
    let later = start + 1..bytes.len().saturating_sub(HEADER_BYTES - 1);
    later
        .filter_map(|at| synced_before(bytes, at))
        .any(|synced_bytes| synced_bytes > start as u64)
}

fn ends_early(bytes: &[u8], start: usize) -> bool {
    if bytes.len() - start < HEADER_BYTES {
        return true;
    }
    decode_header(bytes, start)
        .is_some_and(|header| header.body_bytes > bytes.len() - start - HEADER_BYTES)
}

fn has_zeroed_sector(bytes: &[u8], start: usize) -> bool {
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
