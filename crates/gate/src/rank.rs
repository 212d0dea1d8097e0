//! The order of upstreams and regions for an object, the same at every gateway.

use types::fnv1a;

/// Spreads the bits of a hash (from the finalizer of splitmix64).
const SPREAD: u64 = 0xbf58_476d_1ce4_e5b9;

/// The place of a name in an object's order.
pub(crate) fn rank(name: &str, object: u64) -> u64 {
    let hash = fnv1a(name.bytes().chain(object.to_le_bytes()));
    // The last bytes must reach the high bits, which decide the order.
    (hash ^ (hash >> 29)).wrapping_mul(SPREAD)
}
