//! A digest of operations, by which a resend is told from another change with the same request id.

use crate::command::{CommandError, Operation};
use types::fnv1a;

/// The 64-bit FNV-1a hash of the operation's JSON form; equal on every replica.
pub(crate) fn operation_digest(operation: &Operation) -> Result<u64, CommandError> {
    let bytes = serde_json::to_vec(operation).map_err(CommandError::Encode)?;
    Ok(fnv1a(bytes))
}
