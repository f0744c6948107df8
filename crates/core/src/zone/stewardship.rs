//! Stewardship: which instance prefers to own a worker or a partition of the ledger.
//!
//! Rendezvous hashing gives every instance with the same view the same owner, and moves only the
//! lost instance's share when one dies. It is a preference and not a right: ownership of a worker
//! is decided by the worker ([`crate::machine::arbiter`]), acceptance of a record by the ledger.

use crate::name::Name;
use crate::zone::Place;
use crate::zone::membership::Instance;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns a hash of the parts that is the same on every instance and in every release.
pub fn hash(parts: &[&str]) -> u64 {
    let mut state = FNV_OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            state = (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    // FNV-1a leaves the high bits of short inputs alike; the finalizer spreads them.
    state ^= state >> 33;
    state = state.wrapping_mul(0xff51_afd7_ed55_8ccd);
    state ^= state >> 33;
    state = state.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    state ^ (state >> 33)
}

/// Returns the preferred owner of `thing` among the candidates: those in the region of `near`
/// first, then the highest hash. `None` without candidates.
pub fn owner<'a>(
    thing: &str,
    near: Option<&Place>,
    candidates: &[&'a Instance],
) -> Option<&'a Name> {
    candidates
        .iter()
        .max_by_key(|c| {
            let same_region = near.is_some_and(|place| place.same_region(&c.place));
            (same_region, hash(&[thing, c.name.as_str()]), &c.name)
        })
        .map(|c| &c.name)
}
