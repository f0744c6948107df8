//! What is read beside the log: the configuration, the workers and the members.

use super::{Backoff, Watch};
use crate::ring::{Latest, Publisher, Sender};
use crate::shard::border::{Member, Store};
use crate::shard::steward::Event;
use crate::shard::view::Facts;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for which a change of the configuration is awaited in one call.
const CATALOG_WAIT: Millis = Millis(1000);
/// Pause between two reads of the list of workers by the owner.
const OWNER_LIST_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two reads of the list of workers by others, which only keep it warm.
const LIST_PAUSE: Duration = Duration::from_secs(3);
/// Time between two announcements of this daemon.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(3);

pub(super) async fn catalog(store: Arc<dyn Store>, catalog: Publisher<Option<Arc<Catalog>>>) {
    let (mut watch, mut backoff) = (Watch::new("configuration"), Backoff::new());
    loop {
        match store.catalog(CATALOG_WAIT).await {
            Ok(newest) => {
                watch.regained();
                backoff.reset();
                let Some(newest) = newest else { continue };
                let current = catalog.borrow().as_ref().map_or(0, |c| c.version);
                if newest.version > current {
                    let (version, queues) = (newest.version, newest.queues().len());
                    tracing::info!(version, queues, "configuration in force");
                    catalog.send_replace(Some(Arc::new(newest)));
                }
            }
            Err(failure) => {
                watch.lost(&failure);
                backoff.pause().await;
            }
        }
    }
}

pub(super) async fn workers(
    store: Arc<dyn Store>,
    steward: Sender<Event>,
    mut facts: Latest<Facts>,
) {
    let (mut watch, mut backoff) = (Watch::new("list of workers"), Backoff::new());
    loop {
        match store.workers().await {
            Ok(list) => {
                watch.regained();
                backoff.reset();
                if steward.push(Event::Listed(list)).await.is_err() {
                    return;
                }
                let pause = if facts.borrow().owns() { OWNER_LIST_PAUSE } else { LIST_PAUSE };
                tokio::select! {
                    () = sleep(pause) => {}
                    _ = facts.wait_for(|f| f.owns() && pause > OWNER_LIST_PAUSE) => {}
                }
            }
            Err(failure) => {
                watch.lost(&failure);
                backoff.pause().await;
            }
        }
    }
}

pub(super) async fn members(
    store: Arc<dyn Store>,
    mut member: Member,
    steward: Sender<Event>,
    facts: Latest<Facts>,
) {
    let (mut watch, mut backoff) = (Watch::new("list of members"), Backoff::new());
    loop {
        member.beat += 1;
        let announced = store.announce(&member).await;
        // Only the owner spreads questions over the members.
        let owns = facts.borrow().owns();
        let listed = if owns { store.members().await.map(Some) } else { Ok(None) };
        match announced.and(listed) {
            Ok(listed) => {
                watch.regained();
                backoff.reset();
                if let Some(members) = listed
                    && steward.push(Event::Members(members)).await.is_err()
                {
                    return;
                }
                let mut facts = facts.clone();
                tokio::select! {
                    () = sleep(ANNOUNCE_PAUSE) => {}
                    _ = facts.wait_for(|f| f.owns() && !owns) => {}
                }
            }
            Err(failure) => {
                watch.lost(&failure);
                backoff.pause().await;
            }
        }
    }
}
