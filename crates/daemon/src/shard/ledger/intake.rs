//! What callers hand in: to the owner, or into the log directly while no owner answers.

use super::{
    APPEND_PATIENCE, Append, Backoff, Intake, MAX_GROUP, MAX_GROUP_BYTES, MAX_RETRY, PATH, Stored,
    encode,
};
use crate::ring::{Latest, Receiver, Sender};
use crate::shard::border::{Failure, Store};
use crate::shard::view::{self, Facts};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::{Entry, Record};
use pimentovalve_wire::http::client::{Client, Error};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Part of the time that is left to a caller, in tenths, that the owner may use.
const FORWARD_TENTHS: u64 = 6;
/// The same while the store is slow: the owner appends everything in one queue, and more appends
/// beside its own would only make that queue longer.
const SLOW_FORWARD_TENTHS: u64 = 9;
/// Most entries that are handed to the owner at once.
const MAX_RELAYED: usize = 64;
/// Pause between two calls to the owner: entries are grouped in the meantime.
const RELAY_PAUSE: Duration = Duration::from_millis(5);
/// A store whose log could not be read for so long is not tried with what callers hand in: they
/// are told at once. Reads are 200 ms apart, and slow ones take half a second.
const AWAY: Millis = Millis(1000);
/// Pause between two appends of what callers hand in: they are grouped in the meantime.
const INTAKE_PAUSE: Duration = Duration::from_millis(25);

/// Brings what callers hand in to the owner, which appends it with its own records. Without an
/// owner that answers it is appended directly: the log takes it from any daemon.
pub(super) async fn relay(
    intake: Receiver<Intake>,
    facts: Latest<Facts>,
    owner: Sender<Append>,
    direct: Sender<Intake>,
    client: Arc<Client>,
    appending: Arc<AtomicBool>,
) {
    while let Some(first) = intake.next().await {
        let mut group = vec![first];
        while let Some(item) = intake.try_next().filter(|_| group.len() < MAX_RELAYED) {
            group.push(item);
        }
        let (owns, address) = {
            let facts = facts.borrow();
            (facts.owns(), facts.owner.clone())
        };
        if owns && appending.load(Ordering::Relaxed) {
            group.into_iter().for_each(|item| offer(&owner, Append::Intake(item)));
        } else if owns || address.is_empty() {
            group.into_iter().for_each(|item| offer(&direct, item));
        } else {
            let (client, direct) = (Arc::clone(&client), direct.clone());
            let tenths =
                if facts.borrow().pace.is_slow() { SLOW_FORWARD_TENTHS } else { FORWARD_TENTHS };
            tokio::spawn(async move { forward(&client, &address, group, tenths, &direct).await });
            sleep(RELAY_PAUSE).await;
        }
    }
}

/// Puts an item in a ring; one that does not fit is dropped, which its caller hears as "unknown".
fn offer<T>(ring: &Sender<T>, item: T) {
    if ring.offer(item).is_err() {
        tracing::warn!("a ring of appends is full");
    }
}

/// Hands a group to the owner, and what the owner can't store to `direct`.
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
    match client.exchange::<_, Stored>(address, PATH, &message, timeout).await {
        Ok(Stored::Yes) => group.into_iter().for_each(|item| item.answer(Stored::Yes)),
        outcome => {
            let entries = group.len();
            let is_doubtful = !matches!(
                outcome,
                Ok(Stored::No) | Err(Error::Unsent { .. } | Error::Status { .. })
            );
            tracing::info!(address, entries, outcome = ?outcome, "the owner stored nothing");
            for item in group {
                let is_doubtful = is_doubtful || item.is_doubtful;
                offer(direct, Intake { is_doubtful, ..item });
            }
        }
    }
}

/// Appends what the owner did not take, unless the store is away or slow.
pub(super) async fn append_direct(
    store: Arc<dyn Store>,
    intake: Receiver<Intake>,
    facts: Latest<Facts>,
) {
    let began = view::now();
    while let Some(first) = intake.next().await {
        // A daemon that has just begun has not heard of the store yet.
        let away_ms = view::now().since(facts.borrow().heard.max(began));
        // The log takes one append at a time. While each takes long, those of several daemons would
        // only hold up the owner's, which bring everything.
        let is_slow = facts.borrow().pace.is_slow();
        if away_ms > AWAY || is_slow {
            tracing::info!(%away_ms, is_slow, "entry not appended beside the owner");
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
            let is_full = group.len() >= MAX_GROUP || size >= MAX_GROUP_BYTES;
            next = if is_full { None } else { intake.try_next() };
        }
        let began = view::now();
        let stored = append_group(&*store, &bodies, &group, &facts).await;
        group.into_iter().for_each(|item| item.answer(stored));
        // A slow store is asked less often, with more at once.
        let pause = INTAKE_PAUSE.max(view::now().since(began).into());
        sleep(pause.min(MAX_RETRY)).await;
    }
}

/// Appends what callers handed in, until it is stored or the first of them can't wait any more.
async fn append_group(
    store: &dyn Store,
    bodies: &[Vec<u8>],
    group: &[Intake],
    facts: &Latest<Facts>,
) -> Stored {
    let until = group.iter().map(|i| i.until).min().unwrap_or_default();
    let mut backoff = Backoff::new();
    let mut worst = Stored::No;
    while view::now() < until {
        let patience = facts.borrow().pace.patience(APPEND_PATIENCE);
        match store.append(bodies, None, patience).await {
            Ok(()) => return Stored::Yes,
            Err(Failure::Unknown { message }) => {
                tracing::debug!(message, "an intake append has no answer");
                worst = Stored::Unknown;
            }
            Err(failure) => tracing::debug!(error = %failure, "an intake append was refused"),
        }
        backoff.pause().await;
    }
    tracing::warn!(entries = group.len(), outcome = ?worst, "an intake append was given up");
    worst
}
