//! Stewardship: the preferred owner of a worker or of a partition of the ledger.
//!
//! With rendezvous hashing, all instances with the same membership view choose the same owner, and
//! the loss of an instance reassigns only what it owned. The result is only a preference: ownership
//! of a worker is decided by the worker ([`crate::machine::arbiter`]), and acceptance of a record
//! by the ledger.

use crate::name::Name;
use crate::zone::Place;
use crate::zone::membership::Instance;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns a 64-bit hash of `parts` that is stable across instances and releases.
pub fn hash(parts: &[&str]) -> u64 {
    let mut state = FNV_OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            state = (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    // The high bits of FNV-1a vary little for short inputs; this is MurmurHash3's finalizer.
    state ^= state >> 33;
    state = state.wrapping_mul(0xff51_afd7_ed55_8ccd);
    state ^= state >> 33;
    state = state.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    state ^ (state >> 33)
}

/// Returns the preferred owner of the resource named `key`, or `None` without candidates.
///
/// Candidates in the region of `near` take precedence; among those, the highest hash wins.
pub fn owner<'a>(key: &str, near: Option<&Place>, candidates: &[&'a Instance]) -> Option<&'a Name> {
    candidates
        .iter()
        .max_by_key(|c| {
            let same_region = near.is_some_and(|place| place.same_region(&c.place));
            (same_region, hash(&[key, c.name.as_str()]), &c.name)
        })
        .map(|c| &c.name)
}
