//! A digest that tells a resend from another change with the same request id.

use crate::command::{CommandError, Operation};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The 64-bit FNV-1a hash of the operation's JSON form; equal on every replica.
pub(crate) fn operation_digest(operation: &Operation) -> Result<u64, CommandError> {
    let bytes = serde_json::to_vec(operation).map_err(CommandError::Encode)?;
    Ok(bytes.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    }))
}
