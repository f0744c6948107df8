//! Delay of a claim. Daemons claim one after the other, those with more processor time first, since
//! the owner needs more of it than any other daemon.

#[cfg(test)]
mod tests;

use pimentovalve_core::clock::Millis;

/// Processor share of a whole core.
const CORE: u64 = 1000;
/// Delay of a daemon with half a core. It grows with the processor time that a decision takes there
/// beyond that on a whole core.
const HALF_CORE_DELAY: Millis = Millis(60);
/// Upper bound of the delay, so that a takeover is quick where only small machines are left.
const MAX_SHARE_DELAY: Millis = Millis(500);
/// Upper bound of the random part, in milliseconds. It differs between daemons with the same share.
const MAX_STAGGER_MS: u64 = 400;

/// Returns the delay of a daemon's claim, from its processor share in thousandths of a core and the
/// random number that it drew at its start.
pub(super) fn delay(processor_share: u64, nonce: u64) -> Millis {
    let lacking = CORE.saturating_sub(processor_share);
    let share_delay = Millis(HALF_CORE_DELAY.get() * lacking / processor_share.max(1));
    share_delay.min(MAX_SHARE_DELAY) + Millis(nonce % MAX_STAGGER_MS)
}
