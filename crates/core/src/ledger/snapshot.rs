//! Snapshots: the state of a stream at an offset, so that its records may go.
//!
//! The log keeps records for a limited time. A snapshot is a function of the records before its
//! offset alone, so that any two writers of the same offset write the same, duplicates are
//! harmless, and the one with the greatest offset is the best. Snapshots have a stream of their
//! own beside each stream, and are repeated well before the oldest useful one would go.
//! Restoring takes the best snapshot and then the records from its offset on, and never goes back.
//! Model: `specs/configuration.tla`.

use crate::clock::Millis;
use crate::ledger::book::Book;
use crate::ledger::fleet::Fleet;
use crate::ledger::history::History;
use crate::ledger::{Offset, Stream};
use serde::{Deserialize, Serialize};

/// A snapshot is repeated after this part of the retention, as a divisor.
const REPEATS_PER_RETENTION: u64 = 4;
/// A snapshot is repeated after this many records, so that a restart reads few.
const MAX_RECORDS: u64 = 4096;
/// Pause after a snapshot that could not be written, as a divisor of the retention.
const RETRIES_PER_RETENTION: u64 = 32;

/// The state of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Of the configuration stream.
    History(History),
    /// Of the fleet stream.
    Fleet(Fleet),
    /// Of a partition.
    Book(Book),
}

impl State {
    /// Returns the offset of the first record that the state doesn't have.
    pub const fn next(&self) -> Offset {
        match self {
            Self::History(history) => history.next,
            Self::Fleet(fleet) => fleet.next,
            Self::Book(book) => book.next,
        }
    }

    /// Returns whether it is the state of such a stream.
    pub const fn fits(&self, stream: Stream) -> bool {
        matches!(
            (self, stream),
            (Self::History(_), Stream::Configuration)
                | (Self::Fleet(_), Stream::Fleet)
                | (Self::Book(_), Stream::Partition(_))
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
    /// Offset of the last snapshot that was written.
    last: Offset,
    /// Not before this instant, unless many records came since.
    due: Millis,
    /// Not before this instant in any case.
    not_before: Millis,
}

impl Schedule {
    /// Returns the schedule of a stream whose records are kept for `retention`, of which no
    /// snapshot is known.
    pub const fn new(retention: Millis) -> Self {
        Self { retention, last: 0, due: Millis::ZERO, not_before: Millis::ZERO }
    }

    /// Returns whether a snapshot at `next` is to be written now. A stream without a record needs
    /// none.
    pub fn is_due(&self, next: Offset, now: Millis) -> bool {
        let grown = next.saturating_sub(self.last) >= MAX_RECORDS;
        next > 0 && now >= self.not_before && (grown || now >= self.due)
    }

    /// Notes that a snapshot is on its way; without [`Self::written`] it is tried again.
    pub fn tried(&mut self, now: Millis) {
        self.not_before = now + Millis(self.retention.get() / RETRIES_PER_RETENTION);
    }

    /// Notes that the snapshot at `next`, which was begun at `at`, was written.
    pub fn written(&mut self, next: Offset, at: Millis) {
        self.last = self.last.max(next);
        self.due = at + Millis(self.retention.get() / REPEATS_PER_RETENTION);
    }
}

#[cfg(test)]
mod tests;
