//! Snapshots of the shard, from which daemons start instead of the start of the log.

use super::{APPEND_TIMEOUT, encode};
use crate::shard::border::{Failure, Store, StoredSnapshot};
use crate::shard::steward::Event;
use crate::shard::view;
use pimentovalve_core::ledger::shard::snapshot::Snapshot;
use pimentovalve_core::ledger::shard::{Entry, Record};
use pimentovalve_wire::codec;

/// Saves a snapshot and records it in the log, unless another daemon does. There is no retry: after a
/// failure the next snapshot falls due after the usual interval.
pub(super) async fn save(store: &dyn Store, snapshot: &Snapshot, is_retry: bool) {
    let (number, offset, began) = (snapshot.number, snapshot.offset, view::now());
    match store.reserve(number, is_retry).await {
        Ok(true) => {}
        Ok(false) => {
            tracing::debug!(number, offset, "snapshot left to another daemon");
            return;
        }
        Err(error) => {
            tracing::warn!(number, offset, %error, "snapshot not reserved");
            return;
        }
    }
    let bytes = match codec::pack(snapshot) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(number, offset, %error, "snapshot can't be encoded");
            return;
        }
    };
    let (size, jobs) = (bytes.len(), snapshot.replica.jobs().len());
    let Some(saved_record) = encode(&Record::open(Entry::Saved { number })) else { return };
    let saved = store.save(&StoredSnapshot { number, offset, bytes }).await;
    let outcome = match saved {
        Ok(()) => store.append(&[saved_record], None, APPEND_TIMEOUT).await,
        Err(failure) => Err(failure),
    };
    let took_ms = view::now().since(began).get();
    match outcome {
        Ok(()) => tracing::info!(number, offset, jobs, bytes = size, took_ms, "snapshot saved"),
        Err(error) => tracing::warn!(number, offset, %error, "snapshot not saved"),
    }
}

/// Returns the newest snapshot as an event and the log offset at which to continue. Returns `None`
/// when there is no readable snapshot, or it ends before `first`, the first offset left in the log.
pub(super) async fn load(store: &dyn Store, first: u64) -> Result<Option<(Event, u64)>, Failure> {
    let Some(saved) = store.load().await? else { return Ok(None) };
    let (number, offset, bytes) = (saved.number, saved.offset, saved.bytes.len());
    if offset < first {
        tracing::error!(
            number,
            offset,
            first,
            "newest snapshot ends before the first offset of the log"
        );
        return Ok(None);
    }
    match codec::unpack::<Snapshot>(&saved.bytes) {
        Ok(snapshot) => {
            tracing::info!(number, offset, bytes, "snapshot restored");
            Ok(Some((Event::Restored(Box::new(snapshot)), offset)))
        }
        Err(error) => {
            tracing::error!(number, offset, %error, "snapshot can't be decoded");
            Ok(None)
        }
    }
}
