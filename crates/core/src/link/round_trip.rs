//! Round-trip time of a link, apart from the time that the callee needs for its answer.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Inverse weight of a sample above the estimate.
const RISE_DIVISOR: u64 = 8;

/// Estimated round-trip time of a link.
///
/// A shorter sample applies at once and a longer one with a weight of one eighth, so that the
/// estimate follows the link and not the load on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundTrip {
    estimate: Option<Millis>,
}

impl RoundTrip {
    /// Records the round-trip time of one call.
    pub fn record(&mut self, took: Millis) {
        self.estimate = Some(match self.estimate {
            Some(old) if took > old => old + Millis(took.since(old).get().div_ceil(RISE_DIVISOR)),
            _ => took,
        });
    }

    /// Returns the estimate, or `None` before the first sample.
    pub const fn get(&self) -> Option<Millis> {
        self.estimate
    }
}
