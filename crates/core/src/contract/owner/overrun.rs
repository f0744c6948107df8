//! Time that runs take beyond their estimate, from their placement to their recorded end, measured by
//! queue.
//!
//! A start costs a record in the store, the way to the worker, the run at that worker's speed, a
//! poll and another record. A step that has only its estimate left until its objective is therefore
//! late already, and its room is worth more to a step that can still be in time.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Weight of the newest run in percent if it took longer than expected, and if not: about four of five
/// runs then take less than expected.
const WEIGHT_ABOVE: u64 = 8;
const WEIGHT_BELOW: u64 = 2;
/// Most that one run counts. Longer ones waited for a store or a worker that was gone for a while.
const MAX_OVERRUN: Millis = Millis(1500);
/// Part of a job's time beyond its estimate that overruns may take, in tenths: whatever is measured, a
/// job is in time for a while after its arrival.
const MAX_SLACK_TENTHS: u64 = 5;

/// Smoothed time beyond the estimate, in microseconds, by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Overruns {
    /// Sorted by queue.
    queues: Vec<(Box<str>, u64)>,
}

impl Overruns {
    /// Adds a run with the given estimate that took `took` from its placement to its recorded end.
    pub(super) fn record(&mut self, queue: &str, estimate: Millis, took: Millis) {
        let over = took.since(estimate).min(MAX_OVERRUN).get() * 1000;
        match self.find(queue) {
            Ok(i) => {
                let smoothed = &mut self.queues[i].1;
                let weight = if over > *smoothed { WEIGHT_ABOVE } else { WEIGHT_BELOW };
                *smoothed = (*smoothed * (100 - weight) + over * weight) / 100;
            }
            Err(i) => self.queues.insert(i, (queue.into(), over)),
        }
    }

    /// Returns the time beyond their estimates that `steps` steps, one after the other, will probably
    /// take, of a job that may take `slack` beyond its estimate; zero before the first run of its queue.
    pub(super) fn expected(&self, queue: &str, steps: u64, slack: Millis) -> Millis {
        let each = self.find(queue).map_or(0, |i| self.queues[i].1);
        let most = Millis(slack.get() * MAX_SLACK_TENTHS / 10);
        Millis(each.saturating_mul(steps) / 1000).min(most)
    }

    fn find(&self, queue: &str) -> Result<usize, usize> {
        self.queues.binary_search_by(|(q, _)| (**q).cmp(queue))
    }
}
