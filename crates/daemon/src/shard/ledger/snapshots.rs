//! Snapshots of the shard: written for daemons that start after the log's first records are gone.

use super::{APPEND_PATIENCE, encode};
use crate::shard::border::{Failure, Saved, Store};
use crate::shard::steward::Event;
use crate::shard::view;
use pimentovalve_core::ledger::shard::snapshot::Snapshot;
use pimentovalve_core::ledger::shard::{Entry, Record};
use pimentovalve_wire::codec;

/// Keeps a snapshot, and tells the log. One that can't be kept is due again later.
pub(super) async fn save(store: &dyn Store, snapshot: &Snapshot) {
    let (number, offset, began) = (snapshot.number, snapshot.offset, view::now());
    let bytes = match codec::pack(snapshot) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(number, offset, %error, "a snapshot can't be encoded");
            return;
        }
    };
    let (size, jobs) = (bytes.len(), snapshot.book.jobs().len());
    let Some(told) = encode(&Record::open(Entry::Saved { number })) else { return };
    let saved = store.save(&Saved { number, offset, bytes }).await;
    let outcome = match saved {
        Ok(()) => store.append(&[told], None, APPEND_PATIENCE).await,
        Err(failure) => Err(failure),
    };
    let took_ms = view::now().since(began).get();
    match outcome {
        Ok(()) => tracing::info!(number, offset, jobs, bytes = size, took_ms, "snapshot kept"),
        Err(error) => tracing::warn!(number, offset, %error, "a snapshot was not kept"),
    }
}

/// Returns the newest snapshot as an event and the offset at which it ends, if it reaches up to
/// what the log still has: its offset `first`.
pub(super) async fn load(store: &dyn Store, first: u64) -> Result<Option<(Event, u64)>, Failure> {
    let Some(saved) = store.load().await? else { return Ok(None) };
    let (number, offset, bytes) = (saved.number, saved.offset, saved.bytes.len());
    if offset < first {
        tracing::error!(number, offset, first, "the newest snapshot ends before the log begins");
        return Ok(None);
    }
    match codec::unpack::<Snapshot>(&saved.bytes) {
        Ok(snapshot) => {
            tracing::info!(number, offset, bytes, "snapshot restored");
            Ok(Some((Event::Restored(Box::new(snapshot)), offset)))
        }
        Err(error) => {
            tracing::error!(number, offset, %error, "a snapshot can't be decoded");
            Ok(None)
        }
    }
}
