//! Adaptive time-outs: tracks the latency of a dependency and derives how long to wait for it.
//!
//! Timing out on a slow dependency and retrying only lengthens its queue. The time-out therefore
//! grows with the latency of its responses.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Latency from which a dependency counts as slow: twice the longest latency between regions, plus
/// a margin.
const SLOW_LATENCY: Millis = Millis(150);
/// Time-out as a multiple of the typical latency. An append waits behind others, takes as long as
/// another read, and may be tried twice.
const TIMEOUT_FACTOR: u64 = 8;
/// Longest time-out; callers themselves wait for 3 s.
const MAX_TIMEOUT: Millis = Millis(3000);

/// Latency of a dependency's responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseTime {
    typical: Millis,
}

impl ResponseTime {
    /// Records the latency of a response. A higher latency applies at once, a lower one with a
    /// weight of one quarter, so that a single fast response doesn't shorten the time-out much.
    pub fn record(&mut self, took: Millis) {
        let average = Millis((self.typical.get() * 3 + took.get()) / 4);
        self.typical = took.max(average);
    }

    /// Returns the current latency estimate.
    pub const fn typical(&self) -> Millis {
        self.typical
    }

    /// Returns whether the latency estimate counts as slow.
    pub fn is_slow(&self) -> bool {
        self.typical >= SLOW_LATENCY
    }

    /// Returns the time-out for a response: `usual`, or longer while the dependency is slow.
    pub fn timeout(&self, usual: Millis) -> Millis {
        if self.is_slow() {
            usual.max(MAX_TIMEOUT.min(self.typical.times(TIMEOUT_FACTOR)))
        } else {
            usual
        }
    }
}
