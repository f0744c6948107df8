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
/// Time for which the shortest latency is kept.
const LEAST_WINDOW: Millis = Millis::from_secs(30);
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

/// Shortest latency of a dependency in the last minute: its distance, apart from what slows it down at
/// times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Least {
    /// Start of the present window.
    since: Millis,
    /// Shortest latency of the present window and of the one before.
    windows: [Option<Millis>; 2],
}

impl Least {
    /// Records the latency of a response that arrived at `now`.
    pub fn record(&mut self, took: Millis, now: Millis) {
        let [present, before] = &mut self.windows;
        if now.since(self.since) > LEAST_WINDOW {
            (self.since, *before, *present) = (now, *present, None);
        }
        *present = Some(present.map_or(took, |p| p.min(took)));
    }

    /// Returns the shortest latency, `None` before the first response.
    pub fn get(&self) -> Option<Millis> {
        self.windows.into_iter().flatten().min()
    }
}
