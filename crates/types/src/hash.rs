//! A hash that is the same in every process and build.

/// The 64-bit FNV-1a hash of the bytes. It is not a cryptographic hash.
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = bytes.into_iter();
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
