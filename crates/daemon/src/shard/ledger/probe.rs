//! Probes of a silent store. A read that was sent in an outage may be answered by nobody and end only with
//! its time-out, seconds after the store is back. New connections notice the return at once.

use crate::ring::Latest;
use crate::shard::border::Store;
use crate::shard::view::{self, ShardStatus};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::link::patience::SILENT_AFTER;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Interval between two probes.
const INTERVAL: Duration = Duration::from_millis(300);
/// Time-out of a probe. The reads of a slow link or store end within a few times as long.
const TIMEOUT: Millis = Millis(1000);
/// Failed probes after which a success means that the store is back. Repeating a read earlier would only
/// take time from the one that a slow link still carries.
const MIN_FAILURES: usize = 2;

/// Probes the store while the log is silent, and notifies `regained` when the store answers again.
pub(super) async fn watch(
    store: Arc<dyn Store>,
    log_answered_at: Latest<Millis>,
    shard_status: Latest<ShardStatus>,
    regained: Arc<Notify>,
) {
    loop {
        sleep(INTERVAL).await;
        let usual = SILENT_AFTER + shard_status.borrow().response_time.typical();
        let is_silent = || view::now().since(*log_answered_at.borrow()) > usual;
        let (mut probes, mut failures) = (JoinSet::new(), 0);
        while is_silent() {
            let store = Arc::clone(&store);
            probes.spawn(async move { store.probe(TIMEOUT).await });
            sleep(INTERVAL).await;
            let mut is_answered = false;
            while let Some(probe) = probes.try_join_next() {
                match probe {
                    Ok(Ok(())) => is_answered = true,
                    Ok(Err(_)) | Err(_) => failures += 1,
                }
            }
            if is_answered && failures >= MIN_FAILURES {
                tracing::info!(failures, "store answers again; reads are repeated");
                regained.notify_waiters();
                failures = 0;
            }
        }
    }
}
