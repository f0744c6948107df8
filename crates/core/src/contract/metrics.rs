//! Metrics of the scheduler: waiting times by class, and counters of decisions.

use crate::clock::Millis;
use crate::contract::class::Class;

/// Number of buckets of a histogram. Bucket 0 counts waits of 0 ms, and bucket `i` those from
/// 2^(i-1) ms to below 2^i ms; the last one also counts all longer waits.
pub const BUCKETS: usize = 32;

/// Histogram of the waiting times of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// Number of waits in each bucket, not cumulative.
    pub buckets: [u64; BUCKETS],
    /// Total number of waits.
    pub count: u64,
    /// Sum of all waiting times.
    pub sum: Millis,
}

impl Waits {
    /// Adds a waiting time to the histogram.
    pub fn add(&mut self, wait: Millis) {
        let bucket = wait.get().checked_ilog2().map_or(0, |log| log as usize + 1);
        self.buckets[bucket.min(BUCKETS - 1)] += 1;
        self.count += 1;
        self.sum = self.sum + wait;
    }
}

/// Counters of a scheduler since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Times from queueing to the placement decision, by class.
    pub waits: [Waits; Class::ALL.len()],
    /// Number of placement decisions.
    pub placed: u64,
    /// Number of preempted tasks.
    pub preempted: u64,
    /// Number of claims that a controller refused.
    pub refused: u64,
    /// Number of tasks that were backfilled into reserved capacity.
    pub backfilled: u64,
    /// Number of reservations made for blocked work.
    pub reservations: u64,
}
