//! Snapshots: what must outlast the log's retention.
//!
//! A snapshot is the state of a stream at an offset, and a function of that offset: whoever writes
//! it, it is the same, so duplicates and racing writers do no harm. It goes to a stream of its own
//! ([`Stream::snapshots`](crate::ledger::Stream::snapshots)), in parts that fit into records, well
//! before what it covers is forgotten. A reader takes the newest whole one and then the tail; a
//! stale one changes nothing, because only what is newer is taken. Model:
//! `specs/configuration.tla`.

use crate::clock::Millis;
use crate::ledger::Offset;
use crate::ledger::book::Book;
use crate::ledger::fleet::Fleet;
use crate::ledger::history::History;
use serde::{Deserialize, Serialize};

/// Part of the retention after which a snapshot is written again.
const RENEWALS: u64 = 4;

/// The state of a stream at an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Snapshot {
    /// Of the configuration stream.
    Configuration(History),
    /// Of the fleet stream.
    Fleet(Fleet),
    /// Of a partition.
    Partition(Book),
}

impl Snapshot {
    /// Returns the offset of the first record that the snapshot doesn't cover.
    pub const fn next(&self) -> Offset {
        match self {
            Self::Configuration(history) => history.next,
            Self::Fleet(fleet) => fleet.next,
            Self::Partition(book) => book.next,
        }
    }
}

/// The records from the offset on are no longer kept, and the view doesn't cover them: it needs a
/// snapshot before it may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The first offset that the view misses.
    pub next: Offset,
    /// The first offset that the log still has.
    pub first: Offset,
}

/// Checks that a view that took in everything before `next` may go on with a log that still has
/// the records from `first` on.
///
/// # Errors
///
/// Returns the [`Gap`] when records between the two are gone.
pub const fn check(next: Offset, first: Offset) -> Result<(), Gap> {
    if next >= first { Ok(()) } else { Err(Gap { next, first }) }
}

/// When the last snapshot of a stream was written, and what it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// The first offset that it doesn't cover.
    pub next: Offset,
    /// When it was written, by its writer's clock.
    pub at: Millis,
}

/// Returns whether a snapshot of a stream that was read up to `next` is due.
///
/// One is written four times in the `retention`, also when nothing changed: snapshots are
/// forgotten like other records. Four chances leave time for an outage of half the retention.
pub fn is_due(last: Option<Written>, next: Offset, retention: Millis, now: Millis) -> bool {
    let interval = Millis(retention.get() / RENEWALS);
    next > 0 && last.is_none_or(|last| now.since(last.at) >= interval)
}

/// One part of an encoded snapshot, which fits into a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The first offset that the snapshot doesn't cover.
    pub next: Offset,
    /// Position of the part, from 0.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Encoded content.
    pub bytes: Vec<u8>,
}

/// Splits an encoded snapshot into parts of at most `max` bytes.
pub fn split(next: Offset, bytes: &[u8], max: usize) -> Vec<Part> {
    let chunks: Vec<&[u8]> = bytes.chunks(max.max(1)).collect();
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let part = |(index, chunk): (u32, &&[u8])| Part { next, index, count, bytes: chunk.to_vec() };
    (0..count).zip(&chunks).map(part).collect()
}

/// Puts parts together, read in the order of their stream, and keeps the newest whole snapshot.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    /// Parts of snapshots that are not whole yet, sorted by offset and index.
    parts: Vec<Part>,
    whole: Option<(Offset, Vec<u8>)>,
}

impl Assembly {
    /// Takes in a part. Parts of older snapshots than the newest whole one are dropped.
    pub fn take(&mut self, part: Part) {
        if self.whole.as_ref().is_some_and(|(next, _)| part.next <= *next) {
            return;
        }
        let key = (part.next, part.index);
        if let Err(i) = self.parts.binary_search_by_key(&key, |p| (p.next, p.index)) {
            let (next, count) = (part.next, part.count);
            self.parts.insert(i, part);
            self.join(next, count);
        }
    }

    /// Returns the newest whole snapshot: the first offset that it doesn't cover, and its encoding.
    pub fn newest(&self) -> Option<(Offset, &[u8])> {
        self.whole.as_ref().map(|(next, bytes)| (*next, bytes.as_slice()))
    }

    fn join(&mut self, next: Offset, count: u32) {
        let parts = self.parts.iter().filter(|p| p.next == next && p.count == count);
        if parts.clone().count() == count as usize {
            let bytes = parts.flat_map(|p| p.bytes.iter().copied()).collect();
            self.whole = Some((next, bytes));
            self.parts.retain(|p| p.next > next);
        }
    }
}

#[cfg(test)]
mod tests;
