//! How long a caller is held for a dependency that does not answer.
//!
//! A held caller is served as soon as the dependency is back, a refused one only when it returns. It is
//! held for less than half of its time, so that it can use the rest: for a retry elsewhere, or to tell its
//! own caller. An outage that has lasted for a while mostly lasts as long again, so holding is pointless
//! when it is old against the time that the caller has.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Time without an answer from which a dependency counts as silent: two intervals between log reads of
/// a daemon that does not own the shard, and a margin.
pub const SILENT_AFTER: Millis = Millis(550);
/// Share of a caller's time, in percent, for which it is held.
const HELD_PERCENT: u64 = 48;
/// Silence, as a multiple of the time for which a caller would be held, above which it is refused at
/// once: an outage that has lasted `n` times as long ends in that time with a chance of `1 / (n + 1)`.
const MAX_SILENCE_FACTOR: u64 = 3;
/// The same for a caller that can't come back after a refusal, for which a small chance is the only one.
const LAST_MAX_SILENCE_FACTOR: u64 = 12;

/// Returns for how long to hold a caller that has `left`, if a refused caller returns after
/// `retry_after` and the dependency has been silent for `silence`; zero when it has to be refused at once.
pub fn hold(left: Millis, retry_after: Millis, silence: Millis) -> Millis {
    let held = Millis(left.get() * HELD_PERCENT / 100);
    let can_return = held + retry_after < left;
    let factor = if can_return { MAX_SILENCE_FACTOR } else { LAST_MAX_SILENCE_FACTOR };
    if silence > held.times(factor) { Millis::ZERO } else { held }
}
