//! Time that gangs need from their first turn to their start, measured by queue.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Weight of the newest start, in percent.
const WEIGHT: u64 = 10;

/// Smoothed time from the first turn to the start for each member of a gang, in microseconds, by
/// queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Leads {
    /// Sorted by queue.
    queues: Vec<(Box<str>, u64)>,
}

impl Leads {
    /// Adds a gang with `tasks` members that started `took` after its first turn.
    pub(super) fn record(&mut self, queue: &str, tasks: usize, took: Millis) {
        let tasks = u64::try_from(tasks).unwrap_or(u64::MAX).max(1);
        let each = took.get().saturating_mul(1000) / tasks;
        match self.find(queue) {
            Ok(i) => {
                let smoothed = &mut self.queues[i].1;
                *smoothed = (*smoothed * (100 - WEIGHT) + each.saturating_mul(WEIGHT)) / 100;
            }
            Err(i) => self.queues.insert(i, (queue.into(), each)),
        }
    }

    /// Returns the time that a gang with `tasks` members will probably need, zero before the first
    /// start of its queue.
    pub(super) fn expected(&self, queue: &str, tasks: usize) -> Millis {
        let tasks = u64::try_from(tasks).unwrap_or(u64::MAX);
        let each = self.find(queue).map_or(0, |i| self.queues[i].1);
        Millis(each.saturating_mul(tasks) / 1000)
    }

    fn find(&self, queue: &str) -> Result<usize, usize> {
        self.queues.binary_search_by(|(q, _)| (**q).cmp(queue))
    }
}
