//! Schedules snapshots, and restores the replica from one after the store has trimmed the log.

use super::State;
use crate::shard::ledger::Append;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::snapshot::Snapshot;

/// Number of snapshots that fall due within the retention time of the log.
const SNAPSHOTS_PER_RETENTION: u64 = 4;
/// Divides the snapshot interval to give the largest per-daemon delay. Delays differ between daemons
/// so that usually only one of them saves.
const STAGGER_DIVISOR: u64 = 4;

impl State {
    /// Replaces the replica by a snapshot. Any tenure ends, because its decisions were based on the
    /// replaced replica.
    pub(super) fn restore(&mut self, snapshot: Snapshot, now: Millis) {
        (self.last_applied, self.next_offset, self.snapshot_at) =
            (snapshot.taken, snapshot.offset, now);
        self.replica = snapshot.restore(now);
        self.caught_up = false;
        self.owner_seen_at = now;
        if let Some(tenure) = self.tenure.take() {
            tracing::warn!(epoch = tenure.epoch, "ownership lost: log trimmed before it was read");
        }
        self.publish();
    }

    /// Saves a snapshot when one is due. The owner's replica may be ahead of its log offset, since
    /// acknowledged records are applied before they are read back. It therefore waits twice the
    /// interval, so that another daemon saves first if there is one.
    pub(super) fn consider_snapshot(&mut self, now: Millis) {
        let every = Millis(self.duty.retention.get() / SNAPSHOTS_PER_RETENTION);
        let stagger = Millis(self.duty.nonce % (1 + every.get() / STAGGER_DIVISOR));
        let due = if self.tenure.is_some() { every + every } else { every + stagger };
        // Snapshots are half as frequent while the store is slow.
        let due = if self.response_time.is_slow() { due + due } else { due };
        if !self.caught_up || now.since(self.snapshot_at) < due {
            return;
        }
        self.snapshot_at = now;
        let (number, offset, taken) =
            (self.replica.snapshot_number() + 1, self.next_offset, self.last_applied);
        let snapshot = Snapshot { number, offset, taken, at: now, replica: self.replica.clone() };
        if self.duty.ledger.offer(Append::Snapshot(Box::new(snapshot))).is_err() {
            tracing::warn!(number, offset, "append ring full; snapshot not saved");
        }
    }
}
