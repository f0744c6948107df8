//! Asks the daemon that the steward has chosen to claim the shard, once this daemon has released it.

use super::SUCCESSION_PATH;
use crate::ring::Latest;
use crate::shard::view::ShardStatus;
use pimentovalve_core::clock::Millis;
use pimentovalve_wire::http::client::Client;
use std::sync::Arc;

/// Timeout of the question: twice the longest round trip between regions, and a margin. After that the
/// other daemons claim the shard.
const INVITATION_TIMEOUT: Millis = Millis(300);

/// Asks each chosen successor once.
pub(super) async fn invite(client: Arc<Client>, mut shard_status: Latest<ShardStatus>) {
    let mut invited = 0;
    loop {
        let newer = |s: &ShardStatus| s.successor.clone().filter(|(epoch, _)| *epoch > invited);
        let due = shard_status.wait_for(|s| newer(s).is_some()).await;
        let Some((epoch, address)) = due.ok().and_then(|status| newer(&status)) else { return };
        invited = epoch;
        let asked =
            client.exchange::<_, bool>(&address, SUCCESSION_PATH, &epoch, INVITATION_TIMEOUT).await;
        tracing::info!(epoch, %address, ?asked, "successor asked to claim the shard");
    }
}
