//! Fast hashes that are the same on every instance. They are not cryptographic: collisions can be
//! crafted.

/// Returns the 64-bit FNV-1a hash of the bytes.
#[must_use]
pub fn of(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Mixes the bits of a number with the `SplitMix64` finalizer.
#[must_use]
pub const fn mix(number: u64) -> u64 {
    let z = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
