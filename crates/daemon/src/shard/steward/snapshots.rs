//! When a snapshot is due, and what follows from one that stands for the log's beginning.

use super::State;
use crate::shard::ledger::Append;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::snapshot::Snapshot;

/// Times that a snapshot is due within the time for which the store keeps the log.
const SNAPSHOTS_KEPT: u64 = 4;
/// Part of that time by which daemons differ in when they save one, at most, so that one does.
const SNAPSHOT_SPREAD: u64 = 4;

impl State {
    /// Goes on from a snapshot. What this daemon decided as owner rested on what it had read: it
    /// owns nothing any more.
    pub(super) fn restore(&mut self, snapshot: Snapshot, now: Millis) {
        (self.taken, self.next, self.saved_at) = (snapshot.taken, snapshot.offset, now);
        self.book = snapshot.restore(now);
        self.caught_up = false;
        self.sign = now;
        if let Some(tenure) = self.tenure.take() {
            tracing::warn!(epoch = tenure.epoch, "ownership lost: the log was read too late");
        }
        self.publish();
    }

    /// Saves a snapshot when none was saved for a while. Only what the log alone says is saved: the
    /// owner, whose book may be ahead of what it read, leaves it to others while there are any.
    pub(super) fn consider_snapshot(&mut self, now: Millis) {
        let every = Millis(self.duty.retention.get() / SNAPSHOTS_KEPT);
        let stagger = Millis(self.duty.nonce % (1 + every.get() / SNAPSHOT_SPREAD));
        let due = if self.tenure.is_some() { every + every } else { every + stagger };
        // A slow store is spared for as long again.
        let due = if self.pace.is_slow() { due + due } else { due };
        if !self.caught_up || now.since(self.saved_at) < due {
            return;
        }
        self.saved_at = now;
        let (number, offset, taken) = (self.book.saves() + 1, self.next, self.taken);
        let snapshot = Snapshot { number, offset, taken, at: now, book: self.book.clone() };
        if self.duty.ledger.offer(Append::Snapshot(Box::new(snapshot))).is_err() {
            tracing::warn!(number, offset, "the ring of appends is full; no snapshot");
        }
    }
}
