//! Schedules snapshots, and restores the replica from one.

use super::State;
use crate::shard::ledger::Append;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::snapshot::Snapshot;

/// Number of snapshots that fall due within the retention time of the log.
const SNAPSHOTS_PER_RETENTION: u64 = 4;
/// Size of the log after the last snapshot at which the next one falls due. A link of 10 Mbit/s
/// carries it in less than 2 s.
const SNAPSHOT_LOG_BYTES: usize = 2 << 20;
/// Largest per-daemon addition to [`SNAPSHOT_LOG_BYTES`], so that most daemons learn that another one
/// has saved before they would.
const STAGGER_BYTES: usize = SNAPSHOT_LOG_BYTES;
/// Divides the snapshot interval to give the largest per-daemon delay. Delays differ between daemons
/// so that usually only one of them saves.
const STAGGER_DIVISOR: u64 = 4;
/// Divides the snapshot interval to give the delay of the first snapshot of an owner that does not know the age
/// of the last one. It leaves the owner time to take over.
const UNKNOWN_AGE_DIVISOR: u64 = 4;

impl State {
    /// Replaces the replica by a snapshot. Any tenure ends, because its decisions were based on the
    /// replaced replica.
    pub(super) fn restore(&mut self, snapshot: Snapshot, now: Millis) {
        (self.last_applied, self.next_offset, self.snapshot_at) =
            (snapshot.taken, snapshot.offset, now);
        self.knows_snapshot_age = false;
        self.replica = snapshot.restore(now);
        self.unsaved_bytes = 0;
        self.caught_up = false;
        self.owner_seen_at = now;
        if let Some(tenure) = self.tenure.take() {
            tracing::warn!(epoch = tenure.epoch, "ownership lost: log trimmed before it was read");
        }
        self.publish();
    }

    /// Makes a snapshot due soon if this process can't know how long ago the last one was saved. Processes that
    /// live for a short time would otherwise follow each other until the log expires. Only the owner does
    /// so: after a loss of single daemons another one saves in time.
    pub(super) fn hasten_snapshot(&mut self, now: Millis) {
        if !self.knows_snapshot_age {
            self.knows_snapshot_age = true;
            let every = self.snapshot_interval();
            let delay = Millis(every.get() / UNKNOWN_AGE_DIVISOR);
            self.snapshot_at = now.since((every + every).since(delay));
        }
    }

    fn snapshot_interval(&self) -> Millis {
        Millis(self.duty.retention.get() / SNAPSHOTS_PER_RETENTION)
    }

    /// Saves a snapshot when one is due, by time or by the growth of the log. The owner's replica may
    /// be ahead of its log offset, since acknowledged records are applied before they are read back.
    /// It therefore waits twice as long, so that another daemon saves first if there is one.
    pub(super) fn consider_snapshot(&mut self, now: Millis) {
        let every = self.snapshot_interval();
        let stagger = Millis(self.duty.nonce % (1 + every.get() / STAGGER_DIVISOR));
        let stagger_bytes =
            STAGGER_BYTES * usize::from(self.duty.nonce.to_be_bytes()[0]) / usize::from(u8::MAX);
        let (due, due_bytes) = if self.tenure.is_some() {
            (every + every, SNAPSHOT_LOG_BYTES * 2)
        } else {
            (every + stagger, SNAPSHOT_LOG_BYTES + stagger_bytes)
        };
        // Snapshots are half as frequent while the store is slow.
        let (due, due_bytes) = if self.response_time.is_slow() {
            (due + due, due_bytes * 2)
        } else {
            (due, due_bytes)
        };
        // A snapshot larger than the log that it replaces is of no use.
        let has_grown = || {
            self.unsaved_bytes >= due_bytes && self.unsaved_bytes >= self.replica.size_estimate()
        };
        if !self.caught_up || (now.since(self.snapshot_at) < due && !has_grown()) {
            return;
        }
        (self.snapshot_at, self.unsaved_bytes) = (now, 0);
        let (number, offset, taken) =
            (self.replica.snapshot_number() + 1, self.next_offset, self.last_applied);
        let is_retry = std::mem::replace(&mut self.snapshot_tried, number) == number;
        let snapshot = Snapshot { number, offset, taken, at: now, replica: self.replica.clone() };
        let append = Append::Snapshot { snapshot: Box::new(snapshot), is_retry };
        if self.duty.ledger.offer(append).is_err() {
            tracing::warn!(number, offset, "append ring full; snapshot not saved");
        }
    }
}
