//! Delivery of callers' entries: to the owner, or directly to the log while no owner responds.

use super::{
    APPEND_TIMEOUT, Append, Backoff, INTAKE_PATH, Intake, MAX_GROUP_BYTES, MAX_GROUP_RECORDS,
    MAX_RETRY_DELAY, Stored, encode,
};
use crate::ring::{Latest, Receiver, Sender};
use crate::shard::border::{Failure, Store};
use crate::shard::view::{self, ShardStatus};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::{Entry, Record};
use pimentovalve_wire::http::client::{Client, Error};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Share of the caller's remaining time, in tenths, that forwarding to the owner may take.
const FORWARD_TIMEOUT_TENTHS: u64 = 6;
/// The same while the store is slow: the store handles one append at a time, so a direct append
/// would delay the owner's and rarely finish sooner.
const SLOW_FORWARD_TIMEOUT_TENTHS: u64 = 9;
/// Maximum number of entries of one call to the owner.
const MAX_RELAYED: usize = 64;
/// Minimum time between two calls to the owner; entries that arrive in between form a batch.
const RELAY_INTERVAL: Duration = Duration::from_millis(5);
/// Time since the last answer to a log read after which direct appends are refused at once. Normal
/// reads are 200 ms apart, and slow ones take half a second.
const MAX_LOG_SILENCE: Millis = Millis(1000);
/// Minimum time between two direct appends; entries that arrive in between form a batch.
const MIN_INTAKE_INTERVAL: Duration = Duration::from_millis(25);

/// Delivers callers' entries to the owner, which appends them together with its own records. Without
/// a responding owner they are appended directly: the log accepts unfenced entries from any daemon.
pub(super) async fn relay(
    intake: Receiver<Intake>,
    shard_status: Latest<ShardStatus>,
    owner: Sender<Append>,
    direct: Sender<Intake>,
    client: Arc<Client>,
    appends_succeed: Arc<AtomicBool>,
) {
    while let Some(first) = intake.next().await {
        let mut group = vec![first];
        while let Some(item) = intake.try_next().filter(|_| group.len() < MAX_RELAYED) {
            group.push(item);
        }
        let (owns, address) = {
            let shard_status = shard_status.borrow();
            (shard_status.owns(), shard_status.owner.clone())
        };
        if owns && appends_succeed.load(Ordering::Relaxed) {
            group.into_iter().for_each(|item| offer(&owner, Append::Intake(item)));
        } else if owns || address.is_empty() {
            group.into_iter().for_each(|item| offer(&direct, item));
        } else {
            let (client, direct) = (Arc::clone(&client), direct.clone());
            let tenths = if shard_status.borrow().response_time.is_slow() {
                SLOW_FORWARD_TIMEOUT_TENTHS
            } else {
                FORWARD_TIMEOUT_TENTHS
            };
            tokio::spawn(async move { forward(&client, &address, group, tenths, &direct).await });
            sleep(RELAY_INTERVAL).await;
        }
    }
}

/// Puts an item in a ring. An item that does not fit is dropped, and its caller gets an unknown
/// outcome.
fn offer<T>(ring: &Sender<T>, item: T) {
    if ring.offer(item).is_err() {
        tracing::warn!("append ring full; entry dropped");
    }
}

/// Forwards a batch to the owner; if the owner does not store it, passes it on to `direct`.
async fn forward(
    client: &Client,
    address: &str,
    group: Vec<Intake>,
    tenths: u64,
    direct: &Sender<Intake>,
) {
    let now = view::now();
    let until = group.iter().map(|i| i.until).min().unwrap_or_default();
    let timeout = Millis(until.since(now).get() * tenths / 10);
    let entries: Vec<&Entry> = group.iter().map(|i| &i.entry).collect();
    let message = (timeout, entries);
    match client.exchange::<_, Stored>(address, INTAKE_PATH, &message, timeout).await {
        Ok(Stored::Yes) => group.into_iter().for_each(|item| item.answer(Stored::Yes)),
        outcome => {
            let entries = group.len();
            let may_be_stored = !matches!(
                outcome,
                Ok(Stored::No) | Err(Error::Unsent { .. } | Error::Status { .. })
            );
            tracing::info!(address, entries, outcome = ?outcome, "owner did not confirm entries");
            for item in group {
                let may_be_stored = may_be_stored || item.may_be_stored;
                offer(direct, Intake { may_be_stored, ..item });
            }
        }
    }
}

/// Appends entries directly that the owner did not store, unless the store is unavailable or slow. A
/// daemon that has not caught up with the log does so too: it may not know the owner yet, and of
/// several submissions of one job the replay keeps the first.
pub(super) async fn append_direct(
    store: Arc<dyn Store>,
    intake: Receiver<Intake>,
    shard_status: Latest<ShardStatus>,
    log_answered_at: Latest<Millis>,
) {
    while let Some(first) = intake.next().await {
        let away_ms = view::now().since(*log_answered_at.borrow());
        // The log takes one append at a time. While appends are slow, direct ones of several daemons
        // would only delay the owner's, which carry all entries.
        let is_slow = shard_status.borrow().response_time.is_slow();
        if away_ms > MAX_LOG_SILENCE || is_slow {
            tracing::info!(%away_ms, is_slow, "direct append refused: store unavailable or slow");
            first.answer(Stored::No);
            continue;
        }
        let (mut group, mut bodies, mut size) = (Vec::new(), Vec::new(), 0);
        let mut next = Some(first);
        while let Some(item) = next {
            if let Some(body) = encode(&Record::open(item.entry.clone())) {
                size += body.len();
                bodies.push(body);
                group.push(item);
            }
            let is_full = group.len() >= MAX_GROUP_RECORDS || size >= MAX_GROUP_BYTES;
            next = if is_full { None } else { intake.try_next() };
        }
        let began = view::now();
        let stored = append_group(&*store, &bodies, &group, &shard_status).await;
        group.into_iter().for_each(|item| item.answer(stored));
        // The slower the store, the fewer and larger the appends.
        let pause = MIN_INTAKE_INTERVAL.max(view::now().since(began).into());
        sleep(pause.min(MAX_RETRY_DELAY)).await;
    }
}

/// Appends a batch of callers' entries, retrying until it is stored or the earliest deadline of the
/// batch has passed.
async fn append_group(
    store: &dyn Store,
    bodies: &[Vec<u8>],
    group: &[Intake],
    shard_status: &Latest<ShardStatus>,
) -> Stored {
    let until = group.iter().map(|i| i.until).min().unwrap_or_default();
    let mut backoff = Backoff::new();
    let mut worst = Stored::No;
    while view::now() < until {
        let timeout = shard_status.borrow().response_time.timeout(APPEND_TIMEOUT);
        match store.append(bodies, None, timeout).await {
            Ok(()) => return Stored::Yes,
            Err(Failure::Unknown { message }) => {
                tracing::debug!(message, "direct append got no answer");
                worst = Stored::Unknown;
            }
            Err(failure) => tracing::debug!(error = %failure, "direct append refused"),
        }
        backoff.pause().await;
    }
    tracing::warn!(entries = group.len(), outcome = ?worst, "direct append given up: deadline passed");
    worst
}
