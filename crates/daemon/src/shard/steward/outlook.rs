//! The summary of the waiting work by which the daemons refuse jobs that can't be served.

use super::State;
use crate::shard::view::Prospect;
use pimentovalve_core::clock::Millis;
use std::sync::Arc;

/// Minimum time between two summaries.
const INTERVAL: Millis = Millis::from_secs(1);

impl State {
    /// Publishes a new summary if one is due. Does nothing while another daemon owns the shard: the last
    /// one names the epoch for which it holds.
    pub(super) fn publish_outlook(&mut self, now: Millis) {
        let is_due = now.since(self.outlook_at) >= INTERVAL;
        let Some(tenure) = self.tenure.as_mut().filter(|_| is_due) else { return };
        self.outlook_at = now;
        let epoch = tenure.epoch;
        let outlook = tenure.owner.outlook(&self.replica, now).map(Arc::new);
        let waits = outlook.as_deref().map(|outlook| outlook.waits()).unwrap_or_default();
        if !waits.is_empty() {
            let waits_ms: Vec<(u32, u64)> =
                waits.iter().map(|(p, wait)| (*p, wait.get())).collect();
            tracing::info!(epoch, ?waits_ms, "workers busy: expected waits by priority");
        }
        self.duty.prospect.send_replace(Prospect { epoch, at: now, outlook });
    }
}
