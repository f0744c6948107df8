//! Rate at which runs release the processor time of their workers.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Interval over which the rate is measured.
const INTERVAL: Millis = Millis(500);
/// Weight of the newest interval, in percent.
const WEIGHT: u64 = 40;

/// Smoothed rate at which processor time is released.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Turnover {
    /// Start of the present interval.
    since: Millis,
    /// Thousandths of a core that were released in the present interval.
    released: u64,
    /// Thousandths of a core released in a second.
    per_second: u64,
}

impl Turnover {
    /// Returns one whose first interval begins now.
    pub(super) const fn starting(now: Millis) -> Self {
        Self { since: now, released: 0, per_second: 0 }
    }

    /// Adds processor time, in thousandths of a core, that a run has released. The unit is free to
    /// choose: all that counts is that what is expected has the same.
    pub(super) const fn release(&mut self, cpu_milli: u64) {
        self.released = self.released.saturating_add(cpu_milli);
    }

    /// Returns how much processor time will probably be released within `time`, in thousandths of a
    /// core.
    pub(super) fn expected(&mut self, time: Millis, now: Millis) -> u64 {
        let over = now.since(self.since);
        if over >= INTERVAL {
            let rate = self.released.saturating_mul(1000) / over.get();
            self.per_second =
                (self.per_second * (100 - WEIGHT) + rate.saturating_mul(WEIGHT)) / 100;
            (self.since, self.released) = (now, 0);
        }
        self.per_second.saturating_mul(time.get()) / 1000
    }
}
