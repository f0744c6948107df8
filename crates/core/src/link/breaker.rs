//! Breaker in front of a dependency that carries out one call at a time.
//!
//! While the dependency does not answer, only probes are sent: calls that are due in any case, or
//! a single one of those that are held. What is not sent has a certain outcome. After an outage the
//! calls that were held are sent in steps of growing size, so that new work is not delayed behind all of
//! them.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Interval between two probes.
const PROBE_INTERVAL: Millis = Millis(250);
/// Calls of the first step after an outage.
const FIRST_STEP: usize = 256;
/// Weight, as a divisor, of the newest duration in the average.
const AVERAGE_WEIGHT: u64 = 4;
/// Maximum of the average duration. A longer one comes from an outage.
const MAX_TYPICAL: Millis = Millis(600);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The dependency answers; a step may have this many calls.
    Closed { step: usize },
    /// The dependency has not answered since `since`; the next probe is due at `probe_at`.
    Open { since: Millis, probe_at: Millis },
}

/// Breaker with the duration of the calls that it has let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Breaker {
    state: State,
    typical: Millis,
}

impl Default for Breaker {
    fn default() -> Self {
        Self { state: State::Closed { step: usize::MAX }, typical: Millis::ZERO }
    }
}

impl Breaker {
    /// Records a call that was carried out, and took `took`. Closes the breaker.
    pub fn succeeded(&mut self, took: Millis) {
        let sum = self.typical.get() * (AVERAGE_WEIGHT - 1) + took.get();
        self.typical = MAX_TYPICAL.min(Millis(sum / AVERAGE_WEIGHT));
        let step = match self.state {
            State::Closed { step } => step.saturating_mul(2),
            State::Open { .. } => FIRST_STEP,
        };
        self.state = State::Closed { step };
    }

    /// Records at `now` that a call was refused, or had no answer within its time. Opens the breaker.
    pub fn failed(&mut self, now: Millis) {
        let since = match self.state {
            State::Closed { .. } => now,
            State::Open { since, .. } => since,
        };
        self.state = State::Open { since, probe_at: now + PROBE_INTERVAL };
    }

    /// Returns whether the dependency does not answer.
    pub const fn is_open(&self) -> bool {
        matches!(self.state, State::Open { .. })
    }

    /// Returns for how long the breaker has been open.
    pub fn open_for(&self, now: Millis) -> Option<Millis> {
        match self.state {
            State::Closed { .. } => None,
            State::Open { since, .. } => Some(now.since(since)),
        }
    }

    /// Returns how many held calls may be sent together at `now`.
    pub fn allowance(&self, now: Millis) -> usize {
        match self.state {
            State::Closed { step } => step,
            State::Open { probe_at, .. } => usize::from(now >= probe_at),
        }
    }

    /// Returns when the allowance will no longer be zero.
    pub const fn probe_at(&self) -> Option<Millis> {
        match self.state {
            State::Closed { .. } => None,
            State::Open { probe_at, .. } => Some(probe_at),
        }
    }

    /// Returns how long a call usually takes.
    pub const fn typical(&self) -> Millis {
        self.typical
    }
}
