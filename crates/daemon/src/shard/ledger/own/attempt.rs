//! Attempts at one append. The store accepts each number of an epoch once, so an append may be sent
//! again while the answer to an earlier attempt is outstanding.

use super::Writer;
use crate::shard::border::{Failure, FencingToken};
use crate::shard::ledger::APPEND_TIMEOUT;
use crate::shard::view;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::link::patience::SILENT_AFTER;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Interval between two attempts while the store is silent. A connection that was opened in an outage may
/// answer only a second after its end; a new one answers at once.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of attempts that await an answer.
const MAX_PROBES: usize = 6;
/// Maximum size of a batch that is sent several times at once: a link of 2 Mbit/s sends it in 60 ms.
const MAX_PROBE_BYTES: usize = 16 * 1024;

impl Writer {
    /// Sends a batch until it is in the log, or all attempts have failed. A batch whose outcome is already
    /// in doubt is sent again at short intervals while the store is silent. Returns how long the attempt
    /// took that succeeded.
    pub(super) async fn attempts(
        &self,
        bodies: Arc<Vec<Vec<u8>>>,
        size: usize,
        token: FencingToken,
        is_doubtful: bool,
    ) -> Result<Millis, Failure> {
        let may_probe = is_doubtful && size <= MAX_PROBE_BYTES;
        let mut attempts = JoinSet::new();
        loop {
            let timeout = self.shard_status.borrow().response_time.timeout(APPEND_TIMEOUT);
            let (store, bodies) = (Arc::clone(&self.store), Arc::clone(&bodies));
            attempts.spawn(async move {
                let began = view::now();
                let outcome = store.append(&bodies, Some(token), timeout).await;
                outcome.map(|()| view::now().since(began))
            });
            let next_probe = Instant::now() + PROBE_INTERVAL;
            let mut failure = None;
            loop {
                let may_send = may_probe && attempts.len() < MAX_PROBES && self.is_store_silent();
                tokio::select! {
                    joined = attempts.join_next() => match joined {
                        Some(Ok(Err(Failure::Fenced))) => return Err(Failure::Fenced),
                        Some(Ok(Err(other))) => failure = Some(other),
                        Some(Ok(Ok(took))) => return Ok(took),
                        Some(Err(error)) => {
                            failure = Some(Failure::Unknown { message: error.to_string() });
                        }
                        None => {
                            let message = "no attempt was made".into();
                            return Err(failure.unwrap_or(Failure::Unknown { message }));
                        }
                    },
                    () = sleep_until(next_probe), if may_send => break,
                }
            }
        }
    }

    /// Returns whether reads of the log aren't answered either. A store that is slow would only be
    /// delayed by further attempts.
    fn is_store_silent(&self) -> bool {
        let usual = SILENT_AFTER + self.shard_status.borrow().response_time.typical();
        view::now().since(*self.log_answered_at.borrow()) > usual
    }
}
