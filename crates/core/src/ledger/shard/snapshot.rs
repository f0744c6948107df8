//! Snapshots of the shard state, for daemons that start after the first log entries have expired.
//!
//! A snapshot covers all entries before an offset; later entries are read from the log. Its times
//! are readings of the writer's monotonic clock and are converted to the reader's clock on restore.

use super::replica::Replica;
use crate::clock::Millis;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The shard state at an offset of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the snapshot, as in [`Entry::Saved`](super::Entry::Saved).
    pub number: u64,
    /// All entries before this offset are covered.
    pub offset: u64,
    /// Epoch and sequence of the last record by an owner that is covered.
    pub taken: (u64, u64),
    /// When it was taken, on the writer's monotonic clock.
    pub at: Millis,
    /// The shard state.
    #[serde(rename = "book")]
    pub replica: Replica,
}

impl Snapshot {
    /// Returns the state with its times converted to this process's monotonic clock, which reads
    /// `now`. Ages are preserved.
    pub fn restore(mut self, now: Millis) -> Replica {
        self.replica.rebase(self.at, now);
        self.replica
    }
}
