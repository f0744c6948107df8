//! Recent latencies of a service, for hedging and for estimates of waiting time.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Latencies that are remembered.
const WINDOW: usize = 128;
/// Latencies below which nothing is said of a quantile.
const ENOUGH: usize = 16;

/// The most recent latencies.
#[derive(Clone, Debug, Default)]
pub struct Window {
    samples: Vec<Millis>,
    /// Position of the oldest sample once the window is full.
    oldest: usize,
}

impl Window {
    /// Notes how long a request took.
    pub fn note(&mut self, latency: Millis) {
        if self.samples.len() < WINDOW {
            self.samples.push(latency);
        } else {
            self.samples[self.oldest] = latency;
            self.oldest = (self.oldest + 1) % WINDOW;
        }
    }

    /// Returns the quantile in thousandths. `None` while there are too few samples.
    pub fn quantile(&self, per_mille: usize) -> Option<Millis> {
        if self.samples.len() < ENOUGH {
            return None;
        }
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() * per_mille).div_ceil(1000).clamp(1, sorted.len());
        Some(sorted[rank - 1])
    }

    /// Returns the mean. `None` without samples.
    pub fn mean(&self) -> Option<Millis> {
        let count = u64::try_from(self.samples.len()).ok().filter(|n| *n > 0)?;
        let sum: u64 = self.samples.iter().map(|s| s.get()).sum();
        Some(Millis(sum.div_ceil(count)))
    }
}
