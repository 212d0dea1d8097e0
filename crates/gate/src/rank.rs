//! Rendezvous hashing: ranks upstreams and regions for an object, equally at every gateway.

use types::fnv1a;

/// The multiplier that mixes the bits of a hash, from the finalizer of splitmix64.
const MIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;

/// The rendezvous hash of an upstream or region for an object; the highest one is preferred.
pub(crate) fn rank(name: &str, object: u64) -> u64 {
    let hash = fnv1a(name.bytes().chain(object.to_le_bytes()));
    // FNV-1a mixes its last input bytes poorly into the high bits, but those decide the order.
    (hash ^ (hash >> 29)).wrapping_mul(MIX_MULTIPLIER)
}

/// A number from 0 to 1 that differs between the gateways of an upstream, and between the upstreams of
/// a gateway.
pub(crate) fn phase(gateway: &str, upstream: &str) -> f64 {
    rank(upstream, fnv1a(gateway.bytes())) as f64 / u64::MAX as f64
}
