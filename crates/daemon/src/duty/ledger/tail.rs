//! Tails one stream: restores its newest usable snapshot, then reads the records that follow it.

use super::{Event, READ_MAX};
use crate::platform::{Failure, Log};
use crate::ring::Sender;
use crate::view;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::record::Record;
use pimentovalve_core::ledger::snapshot::{self, State};
use pimentovalve_core::ledger::{Offset, Stream};
use pimentovalve_wire::codec;
use pimentovalve_wire::log::Chunk;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of newest snapshots that are tried first; older ones are read only if none of these can
/// be used.
const NEWEST_SNAPSHOTS: u64 = 2;

/// The reader of one stream. It runs until its future is dropped.
pub(super) struct Tail {
    pub stream: Stream,
    pub log: Arc<dyn Log>,
    /// Longest time for which a read at the end of the stream waits for an entry.
    pub wait: Millis,
    pub events: Sender<Event>,
    /// Next offset of the state that the ledger duty has. Peers may have advanced it.
    pub known: Arc<AtomicU64>,
}

impl Tail {
    /// Restores the stream from a snapshot, then reads its records.
    pub async fn run(self) {
        let name = self.stream.to_string();
        let Some(mut from) = self.restore(0).await else { return };
        loop {
            let asked = view::now();
            let result = self.log.read(&name, from, READ_MAX, self.wait).await;
            let (stream, failed) = (self.stream, result.is_err());
            let gone = match &result {
                Err(Failure::Gone { horizon }) => Some(*horizon),
                _ => None,
            };
            let read = result.as_ref().map_or(0, |chunk| chunk.entries.len() as u64);
            if self.events.push(Event::Read { stream, asked, from, result }).await.is_err() {
                return;
            }
            from += read;
            if let Some(horizon) = gone {
                let Some(next) = self.restore(horizon).await else { return };
                from = next;
            } else if failed {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Finds a state after which the log still has every record: a snapshot, or state that the
    /// duty received from a peer. Retries until there is one, because otherwise the records in
    /// between would be skipped silently. Returns the offset at which reading continues, or `None`
    /// when the ledger duty has ended.
    async fn restore(&self, mut horizon: Offset) -> Option<Offset> {
        loop {
            match self.best_snapshot(horizon).await {
                Ok(Some(state)) => {
                    let next = state.next();
                    let event = Event::Restored { stream: self.stream, state: Some(state) };
                    return self.events.push(event).await.ok().map(|()| next);
                }
                Ok(None) if horizon == 0 => {
                    let event = Event::Restored { stream: self.stream, state: None };
                    return self.events.push(event).await.ok().map(|()| 0);
                }
                Ok(None) => {
                    let stream = self.stream;
                    tracing::error!(%stream, horizon, "no snapshot covers the discarded records");
                }
                Err(failure) => {
                    tracing::debug!(stream = %self.stream, ?failure, "cannot read snapshots");
                    self.events.push(Event::Unavailable).await.ok()?;
                }
            }
            let known = self.known.load(Ordering::Relaxed);
            if horizon > 0 && known >= horizon {
                return Some(known);
            }
            tokio::time::sleep(RETRY_DELAY).await;
            horizon = self.read_horizon(horizon).await;
        }
    }

    /// Returns the first offset that the log retains, or `known` if the log cannot tell.
    async fn read_horizon(&self, known: Offset) -> Offset {
        let name = self.stream.to_string();
        match self.log.read(&name, known, 1, Millis::ZERO).await {
            Err(Failure::Gone { horizon }) => horizon,
            Ok(_) | Err(_) => known,
        }
    }

    /// Returns the best snapshot whose next offset is at or after `horizon`.
    async fn best_snapshot(&self, horizon: Offset) -> Result<Option<State>, Failure> {
        let name = snapshot::name(self.stream);
        let (first, end) = match self.log.read(&name, 0, 1, Millis::ZERO).await {
            Ok(chunk) => (chunk.horizon, chunk.end),
            Err(Failure::Gone { horizon }) => {
                (horizon, self.log.read(&name, horizon, 1, Millis::ZERO).await?.end)
            }
            Err(failure) => return Err(failure),
        };
        for from in [first.max(end.saturating_sub(NEWEST_SNAPSHOTS)), first] {
            let states = self.read_snapshots(&name, from, end).await?;
            let best = snapshot::best(self.stream, states);
            if let Some(state) = best.filter(|s| s.next() >= horizon) {
                return Ok(Some(state));
            }
        }
        Ok(None)
    }

    async fn read_snapshots(
        &self,
        name: &str,
        mut from: Offset,
        end: Offset,
    ) -> Result<Vec<State>, Failure> {
        let mut states = Vec::new();
        while from < end {
            match self.log.read(name, from, READ_MAX, Millis::ZERO).await {
                Ok(chunk) if chunk.entries.is_empty() => break,
                Ok(chunk) => {
                    from += chunk.entries.len() as u64;
                    states.extend(chunk.entries.iter().filter_map(|e| codec::unpack(e).ok()));
                }
                Err(Failure::Gone { horizon }) => from = horizon,
                Err(failure) => return Err(failure),
            }
        }
        Ok(states)
    }
}

/// Decodes the entries of a chunk. Entries that are not records are skipped, by every reader alike.
pub(super) fn decode(from: Offset, chunk: &Chunk) -> Vec<(Offset, Record)> {
    let numbered = (from..).zip(&chunk.entries);
    numbered.filter_map(|(offset, entry)| Some((offset, codec::unpack(entry).ok()?))).collect()
}

/// Reads one chunk of records from an offset, or from the first offset that the log retains.
pub(super) async fn read_records(
    log: &dyn Log,
    stream: Stream,
    from: Offset,
) -> Result<Vec<(Offset, Record)>, Failure> {
    let name = stream.to_string();
    match log.read(&name, from, READ_MAX, Millis::ZERO).await {
        Ok(chunk) => Ok(decode(from, &chunk)),
        Err(Failure::Gone { horizon }) => {
            let chunk = log.read(&name, horizon, READ_MAX, Millis::ZERO).await?;
            Ok(decode(horizon, &chunk))
        }
        Err(failure) => Err(failure),
    }
}
