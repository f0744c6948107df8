//! Snapshots: the state of a stream at an offset, which replaces the records before it.
//!
//! The log keeps records for a limited time. A snapshot is a function of the records before its
//! offset alone: all writers produce the same snapshot for an offset, duplicates are harmless, and
//! the one with the greatest offset is the best. The snapshots of a stream are kept in a stream of
//! their own and are repeated well before the last one expires. Restoring takes the best snapshot
//! and then the records from its offset on, and never reverts to an older state.
//! Model: `specs/configuration.tla`.

use crate::clock::Millis;
use crate::ledger::fleet::Fleet;
use crate::ledger::history::History;
use crate::ledger::replica::Replica;
use crate::ledger::{Offset, Stream};
use serde::{Deserialize, Serialize};

/// Snapshots per retention period: the next one is due after a quarter of it.
const REPEATS_PER_RETENTION: u64 = 4;
/// Number of records after which the next snapshot is due, which bounds the replay on a restart.
const MAX_RECORDS: u64 = 4096;
/// Attempts per retention period: the minimum pause between two attempts is a 32nd of it.
const RETRIES_PER_RETENTION: u64 = 32;

/// The state of one stream, as stored in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Of the configuration stream.
    History(History),
    /// Of the fleet stream.
    Fleet(Fleet),
    /// Of a partition.
    #[serde(rename = "book")]
    Replica(Replica),
}

impl State {
    /// Returns the offset of the first record that the state does not contain.
    pub const fn next(&self) -> Offset {
        match self {
            Self::History(history) => history.next,
            Self::Fleet(fleet) => fleet.next,
            Self::Replica(replica) => replica.next,
        }
    }

    /// Returns whether the state is of the kind that belongs to a stream.
    pub const fn fits(&self, stream: Stream) -> bool {
        matches!(
            (self, stream),
            (Self::History(_), Stream::Configuration)
                | (Self::Fleet(_), Stream::Fleet)
                | (Self::Replica(_), Stream::Partition(_))
        )
    }
}

/// Returns the name of the stream that holds the snapshots of `stream`.
pub fn name(stream: Stream) -> String {
    format!("{stream}-snapshots")
}

/// Returns the best of some snapshots of a stream: the one with the greatest offset.
pub fn best(stream: Stream, snapshots: impl IntoIterator<Item = State>) -> Option<State> {
    snapshots.into_iter().filter(|s| s.fits(stream)).max_by_key(State::next)
}

/// When the next snapshot of a stream is to be written.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    retention: Millis,
    /// Offset of the last snapshot that was written, 0 before the first.
    last: Offset,
    /// When the next one is due, unless [`MAX_RECORDS`] records come earlier.
    due: Millis,
    /// Earliest time of the next attempt.
    not_before: Millis,
}

impl Schedule {
    /// Returns the schedule of a stream without a known snapshot, whose records are kept for
    /// `retention`.
    pub const fn new(retention: Millis) -> Self {
        Self { retention, last: 0, due: Millis::ZERO, not_before: Millis::ZERO }
    }

    /// Returns whether a snapshot at `next` is to be written now. A stream without records needs none.
    pub fn is_due(&self, next: Offset, now: Millis) -> bool {
        let is_long = next.saturating_sub(self.last) >= MAX_RECORDS;
        next > 0 && now >= self.not_before && (is_long || now >= self.due)
    }

    /// Records that the write of a snapshot was started. Unless [`Self::written`] follows, it is
    /// attempted again after a pause.
    pub fn tried(&mut self, now: Millis) {
        self.not_before = now + Millis(self.retention.get() / RETRIES_PER_RETENTION);
    }

    /// Records that the snapshot at `next`, whose write was started at `at`, was written.
    pub fn written(&mut self, next: Offset, at: Millis) {
        self.last = self.last.max(next);
        self.due = at + Millis(self.retention.get() / REPEATS_PER_RETENTION);
    }
}

#[cfg(test)]
mod tests;
