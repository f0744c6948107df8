//! Recent latencies of a service, used for hedging delays and wait estimates.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Number of latencies in the window.
const WINDOW_SAMPLES: usize = 128;
/// Number of latencies required for a quantile.
const MIN_QUANTILE_SAMPLES: usize = 16;

/// Sliding window over the most recent latencies.
#[derive(Clone, Debug, Default)]
pub struct Window {
    samples: Vec<Millis>,
    /// Position of the oldest sample once the window is full.
    oldest: usize,
}

impl Window {
    /// Adds the latency of one request.
    pub fn record(&mut self, latency: Millis) {
        if self.samples.len() < WINDOW_SAMPLES {
            self.samples.push(latency);
        } else {
            self.samples[self.oldest] = latency;
            self.oldest = (self.oldest + 1) % WINDOW_SAMPLES;
        }
    }

    /// Returns the quantile given in thousandths, or `None` with too few samples.
    pub fn quantile(&self, per_mille: usize) -> Option<Millis> {
        if self.samples.len() < MIN_QUANTILE_SAMPLES {
            return None;
        }
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() * per_mille).div_ceil(1000).clamp(1, sorted.len());
        Some(sorted[rank - 1])
    }

    /// Returns the mean, rounded up, or `None` without samples.
    pub fn mean(&self) -> Option<Millis> {
        let count = u64::try_from(self.samples.len()).ok().filter(|n| *n > 0)?;
        let sum: u64 = self.samples.iter().map(|s| s.get()).sum();
        Some(Millis(sum.div_ceil(count)))
    }
}
