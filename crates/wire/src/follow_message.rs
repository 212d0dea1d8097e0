//! Conversion between a control replica's answers to gateways and their wire form.

use crate::{error::WireError, peer::FollowAnswer};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use std::{
    borrow::Cow,
    io::{Read, Write},
};

/// Answers up to this size are sent uncompressed: deflating them saves less than a packet.
const PLAIN_MAX_BYTES: usize = 1_024;

/// The largest JSON form that a deflated answer may have.
const ANSWER_MAX_BYTES: u64 = 64 << 20;

/// The wire form of an answer in JSON; one above `PLAIN_MAX_BYTES` is deflated, since a gateway's
/// link may be slow.
///
/// # Errors
///
/// When the answer can't be deflated.
pub fn follow_answer_to_wire(answer_json: Vec<u8>) -> Result<FollowAnswer, WireError> {
    if answer_json.len() <= PLAIN_MAX_BYTES {
        return Ok(FollowAnswer {
            answer_json,
            answer_json_deflated: Vec::new(),
        });
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&answer_json)?;
    Ok(FollowAnswer {
        answer_json: Vec::new(),
        answer_json_deflated: encoder.finish()?,
    })
}

/// The JSON form of an answer, inflated if necessary.
///
/// # Errors
///
/// When the bytes can't be inflated, or become more than `ANSWER_MAX_BYTES`.
pub fn follow_answer_from_wire(answer: &FollowAnswer) -> Result<Cow<'_, [u8]>, WireError> {
    if answer.answer_json_deflated.is_empty() {
        return Ok(Cow::Borrowed(&answer.answer_json));
    }
    let decoder = DeflateDecoder::new(answer.answer_json_deflated.as_slice());
    let mut answer_json = Vec::new();
    decoder
        .take(ANSWER_MAX_BYTES + 1)
        .read_to_end(&mut answer_json)?;
    if answer_json.len() as u64 > ANSWER_MAX_BYTES {
        return Err(WireError::Invalid {
            field: "answer_json_deflated",
        });
    }
    Ok(Cow::Owned(answer_json))
}
