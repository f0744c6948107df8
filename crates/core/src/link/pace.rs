//! How fast a dependency answers at present, and how long it is worth waiting for it.
//!
//! A dependency that is slow is not away: what gives up on it and asks again only lengthens its
//! queue. So the patience with it grows with what its answers take.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Answers that take this long come from a slow dependency; twice the longest way between regions
/// and a margin.
const SLOW: Millis = Millis(150);
/// Answers that one wait is worth: an append waits behind others, takes as long as a read again,
/// and may be tried twice.
const ANSWERS: u64 = 8;
/// Longest patience; callers wait three seconds themselves.
const MAX_PATIENCE: Millis = Millis(3000);

/// What the answers of a dependency take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    typical: Millis,
}

impl Pace {
    /// Takes in what an answer took: a slower one counts at once, a faster one by a quarter, so
    /// that one quick answer does not end the patience.
    pub fn note(&mut self, took: Millis) {
        let eased = Millis((self.typical.get() * 3 + took.get()) / 4);
        self.typical = took.max(eased);
    }

    /// Returns what an answer takes.
    pub const fn typical(&self) -> Millis {
        self.typical
    }

    /// Returns whether the dependency is slow.
    pub fn is_slow(&self) -> bool {
        self.typical >= SLOW
    }

    /// Returns how long to wait for an answer: `usual`, or longer while the dependency is slow.
    pub fn patience(&self, usual: Millis) -> Millis {
        if self.is_slow() {
            usual.max(MAX_PATIENCE.min(self.typical.times(ANSWERS)))
        } else {
            usual
        }
    }
}
