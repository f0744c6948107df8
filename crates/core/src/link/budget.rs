//! The retry budget: limits retries and hedges to a fraction of first attempts, so that they can't
//! amplify an overload.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Cost of a retry or hedge, in thousandths of a token.
const RETRY_COST: u64 = 1000;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Retries and hedges allowed per thousand first attempts.
    pub per_mille: u64,
    /// Retries and hedges allowed per second regardless of first attempts.
    pub per_second: u64,
    /// Capacity of the token bucket: the largest burst of retries and hedges.
    pub burst: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self { per_mille: 200, per_second: 10, burst: 100 }
    }
}

/// A token bucket that first attempts and time fill, and that retries and hedges drain.
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    /// Thousandths of a token.
    tokens: u64,
    /// When the tokens per second were last added.
    filled: Millis,
}

impl Budget {
    /// Returns a full budget.
    pub const fn new(config: Config) -> Self {
        Self { config, tokens: config.burst * RETRY_COST, filled: Millis::ZERO }
    }

    /// Adds the tokens earned by a first attempt.
    pub fn earn(&mut self) {
        self.add(self.config.per_mille);
    }

    /// Takes a token for a retry or hedge. Returns whether there was one.
    pub fn spend(&mut self, now: Millis) -> bool {
        let passed = now.since(self.filled).get().min(self.config.burst * RETRY_COST);
        self.filled = self.filled.max(now);
        // One token per second is one thousandth per millisecond.
        self.add(passed * self.config.per_second);
        let enough = self.tokens >= RETRY_COST;
        if enough {
            self.tokens -= RETRY_COST;
        }
        enough
    }

    fn add(&mut self, tokens: u64) {
        self.tokens = (self.tokens + tokens).min(self.config.burst * RETRY_COST);
    }
}
