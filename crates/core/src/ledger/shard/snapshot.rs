//! Snapshots of the book, for daemons that start when the log no longer has its beginning.
//!
//! A snapshot is the fold of all entries before an offset; what follows is read from the log. Its
//! times are readings of the writer's steady clock and are moved to the reader's.

use super::book::Book;
use crate::clock::Millis;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// A book at an offset of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the snapshot; the log tells how many there are.
    pub number: u64,
    /// The book has all entries before this offset.
    pub offset: u64,
    /// Epoch and sequence of the last owner's record that the book has.
    pub taken: (u64, u64),
    /// When it was made, on the writer's steady clock.
    pub at: Millis,
    /// What the log says.
    pub book: Book,
}

impl Snapshot {
    /// Returns the book as of `now` on this process's steady clock: ages are kept.
    pub fn restore(mut self, now: Millis) -> Book {
        self.book.rebase(self.at, now);
        self.book
    }
}
