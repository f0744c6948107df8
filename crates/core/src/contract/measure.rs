//! Measures of the scheduler: how long work waited, by class.

use crate::clock::Millis;
use crate::contract::class::Class;

/// Buckets of a histogram; bucket `i` counts waits below 2^i milliseconds.
pub const BUCKETS: usize = 32;

/// Waiting times of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// Number of waits in each bucket, not cumulated.
    pub buckets: [u64; BUCKETS],
    /// Number of waits.
    pub count: u64,
    /// Sum of the waits.
    pub sum: Millis,
}

impl Waits {
    /// Adds a wait.
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
    /// Waiting times from queue to decision, by class.
    pub waits: [Waits; Class::ALL.len()],
    /// Tasks for which a place was decided.
    pub placed: u64,
    /// Tasks that were preempted.
    pub preempted: u64,
    /// Claims that a controller refused.
    pub refused: u64,
    /// Tasks that were placed into the time before a reservation.
    pub backfilled: u64,
    /// Reservations for work that found no room.
    pub reservations: u64,
}
