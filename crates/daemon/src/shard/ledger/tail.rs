//! Reads the log and passes its records to the steward.

use super::{Backoff, OutageLog, snapshots};
use crate::ring::{Latest, Publisher, Sender};
use crate::shard::border::{Chunk, Failure, Store};
use crate::shard::steward::Event;
use crate::shard::view::{self, ShardStatus};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::Record;
use pimentovalve_wire::codec;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Interval between two log reads of the owner, which needs entries that other daemons appended
/// directly.
const OWNER_READ_INTERVAL: Duration = Duration::from_millis(80);
/// Interval between two log reads of other daemons; the job states that they report are this stale.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between two log reads of a daemon whose callers wait for a newer replica.
const WANTED_READ_INTERVAL: Duration = Duration::from_millis(60);

/// What a daemon has read of the log since it started, until it has caught up.
struct Replay {
    began: Millis,
    reads: usize,
    records: usize,
    bytes: usize,
}

impl Replay {
    fn new() -> Self {
        Self { began: view::now(), reads: 0, records: 0, bytes: 0 }
    }

    /// Adds a chunk. Logs the sums and returns `None` when it is the last one.
    fn add(self, chunk: &Chunk, caught_up: bool) -> Option<Self> {
        let reads = self.reads + 1;
        let records = self.records + chunk.records.len();
        let bytes = self.bytes + chunk.records.iter().map(Vec::len).sum::<usize>();
        if caught_up {
            let took_ms = view::now().since(self.began).get();
            tracing::info!(reads, records, bytes, took_ms, "log replayed");
            return None;
        }
        Some(Self { reads, records, bytes, ..self })
    }
}

/// The loop that follows the log.
pub(super) struct Tail {
    /// Platform adapter for the store.
    pub(super) store: Arc<dyn Store>,
    /// Time for which the first read is deferred.
    pub(super) replay_delay: Millis,
    /// Ring to the steward.
    pub(super) steward: Sender<Event>,
    /// Ownership and log progress, published by the steward.
    pub(super) shard_status: Latest<ShardStatus>,
    /// Notified after an attempt to claim the shard, to learn whether it succeeded.
    pub(super) claimed: Arc<Notify>,
    /// Notified when a caller waits for a newer replica.
    pub(super) read_wanted: Arc<Notify>,
    /// Notified when the store answers again, to repeat a read that is stuck.
    pub(super) regained: Arc<Notify>,
    /// Publishes when the store last answered a read.
    pub(super) answered: Publisher<Millis>,
}

impl Tail {
    /// Reads the log from the newest snapshot, or from its start, and follows it. When the store has
    /// trimmed unread records, resumes from the newest snapshot.
    pub(super) async fn run(self) {
        let Self {
            store,
            replay_delay,
            steward,
            mut shard_status,
            claimed,
            read_wanted,
            regained,
            answered,
        } = self;
        sleep(replay_delay.into()).await;
        let mut from = 0;
        let (mut outage, mut backoff) = (OutageLog::new("log"), Backoff::new());
        let mut replay = Some(Replay::new());
        let mut has_started = false;
        loop {
            if !has_started {
                match snapshots::load(&*store, from).await {
                    Ok(Some((event, offset))) => {
                        if steward.push(event).await.is_err() {
                            return;
                        }
                        (from, has_started) = (offset, true);
                    }
                    Ok(None) => has_started = true,
                    // The log may be readable nevertheless.
                    Err(failure) => outage.lost(&failure),
                }
            }
            let began = view::now();
            let read = tokio::select! {
                read = store.read(from) => read,
                () = regained.notified() => continue,
            };
            match read {
                Ok(chunk) => {
                    if outage.regained() {
                        regained.notify_waiters();
                    }
                    backoff.reset();
                    answered.send_replace(view::now());
                    has_started = true;
                    let count = u64::try_from(chunk.records.len()).unwrap_or_default();
                    let bytes = chunk.records.iter().map(Vec::len).sum();
                    let records = chunk.records.iter().filter_map(|bytes| decode(bytes)).collect();
                    from += count;
                    let caught_up = from >= chunk.end;
                    replay = replay.and_then(|r| r.add(&chunk, caught_up));
                    let event = Event::Read { records, bytes, next: from, caught_up, began };
                    if steward.push(event).await.is_err() {
                        return;
                    }
                    if !caught_up {
                        continue;
                    }
                    let pause = if shard_status.borrow().owns() {
                        OWNER_READ_INTERVAL
                    } else {
                        READ_INTERVAL
                    };
                    tokio::select! {
                        () = sleep(pause) => {}
                        () = claimed.notified() => {}
                        () = async { sleep(WANTED_READ_INTERVAL).await; read_wanted.notified().await } => {}
                        _ = shard_status.wait_for(|f| f.owns() && pause > OWNER_READ_INTERVAL) => {}
                    }
                }
                Err(Failure::Gone { first }) => {
                    match snapshots::load(&*store, first).await {
                        Ok(Some((event, offset))) => {
                            if steward.push(event).await.is_err() {
                                return;
                            }
                            from = offset;
                        }
                        Ok(None) => {
                            // The trimmed records can't be recovered; continue with the first one left.
                            tracing::error!(
                                from,
                                first,
                                "log trimmed before it was read, and no snapshot covers the gap"
                            );
                            from = first;
                        }
                        Err(failure) => {
                            outage.lost(&failure);
                            backoff.pause().await;
                        }
                    }
                }
                Err(failure) => {
                    outage.lost(&failure);
                    tokio::select! {
                        () = backoff.pause() => {}
                        () = regained.notified() => {}
                    }
                }
            }
        }
    }
}

fn decode(bytes: &[u8]) -> Option<Record> {
    match codec::unpack(bytes) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(%error, bytes = bytes.len(), "log record can't be decoded; skipped");
            None
        }
    }
}
