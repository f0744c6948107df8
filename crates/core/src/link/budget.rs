//! The retry budget: retries and hedges are a fraction of first tries, so that they can't amplify
//! an overload.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Thousandths of a token that one try costs.
const TRY: u64 = 1000;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Further tries that are allowed for each thousand first tries.
    pub per_mille: u64,
    /// Further tries that are allowed each second even when there are no first tries.
    pub per_second: u64,
    /// Most further tries at once.
    pub burst: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self { per_mille: 200, per_second: 10, burst: 100 }
    }
}

/// A token bucket that first tries fill and further tries empty.
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    /// Thousandths of a token.
    tokens: u64,
    filled: Millis,
}

impl Budget {
    /// Returns a full budget.
    pub const fn new(config: Config) -> Self {
        Self { config, tokens: config.burst * TRY, filled: Millis::ZERO }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.add(self.config.per_mille);
    }

    /// Takes a token for a further try, if there is one.
    pub fn spend(&mut self, now: Millis) -> bool {
        let passed = now.since(self.filled).get().min(self.config.burst * TRY);
        self.filled = self.filled.max(now);
        // One token a second is one thousandth a millisecond.
        self.add(passed * self.config.per_second);
        let enough = self.tokens >= TRY;
        if enough {
            self.tokens -= TRY;
        }
        enough
    }

    fn add(&mut self, tokens: u64) {
        self.tokens = (self.tokens + tokens).min(self.config.burst * TRY);
    }
}
