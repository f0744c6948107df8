//! Delivery of callers' entries: to the owner, or directly to the log while no owner responds. Entries that
//! can go neither way are held, so that their outcome stays certain.

use super::counts::Counts;
use super::{
    APPEND_TIMEOUT, Append, Backoff, HELD_PATH, INTAKE_PATH, Intake, MAX_GROUP_BYTES,
    MAX_GROUP_RECORDS, MAX_RETRY_DELAY, Stored, encode,
};
use crate::ring::{Latest, Receiver, Sender};
use crate::shard::border::{Failure, Store};
use crate::shard::view::{self, ShardStatus};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::{Entry, Record};
use pimentovalve_core::link::patience::SILENT_AFTER;
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
/// Maximum number of entries that wait for an owner or for the store in this daemon.
const MAX_WAITING: usize = 1024;
/// Minimum time between two calls to the owner; entries that arrive in between form a batch.
const RELAY_INTERVAL: Duration = Duration::from_millis(5);
/// Pause before an entry that could not be delivered is tried again.
const REDELIVERY_INTERVAL: Duration = Duration::from_millis(120);
/// Time before its deadline at which an entry is refused, so that the answer arrives in time.
const ANSWER_MARGIN: Millis = Millis(20);
/// The same while the store is silent: a call to the owner would come back too late.
const SILENT_ANSWER_MARGIN: Millis = Millis(200);
/// Time after the store's return within which the owner must have answered about held entries: a few
/// appends. An owner that has lost power answers nothing.
const OWNER_GRACE: Duration = Duration::from_millis(400);
/// Minimum time between two direct appends; entries that arrive in between form a batch.
const MIN_INTAKE_INTERVAL: Duration = Duration::from_millis(25);

/// Ways of a caller's entry to the log.
pub(super) struct Route {
    pub(super) shard_status: Latest<ShardStatus>,
    /// Ring of the owner's appends, for entries while this daemon owns the shard.
    pub(super) owner: Sender<Append>,
    /// Ring of direct appends.
    pub(super) direct: Sender<Intake>,
    pub(super) client: Arc<Client>,
    pub(super) appends_succeed: Arc<AtomicBool>,
    /// When a read of the log was last answered.
    pub(super) log_answered_at: Latest<Millis>,
    pub(super) counts: Arc<Counts>,
}

/// Delivers callers' entries to the owner, which appends them together with its own records. Without
/// a responding owner they are appended directly: the log accepts unfenced entries from any daemon.
pub(super) async fn relay(intake: Receiver<Intake>, route: Route) {
    let route = Arc::new(route);
    while let Some(first) = intake.next().await {
        let mut group = vec![first];
        while let Some(item) = intake.try_next().filter(|_| group.len() < MAX_RELAYED) {
            group.push(item);
        }
        if route.is_own() {
            group.into_iter().for_each(|item| offer(&route.owner, Append::Intake(item)));
            continue;
        }
        if !route.counts.reserve(group.len(), MAX_WAITING) {
            tracing::warn!(entries = group.len(), "too many entries are waiting; refused");
            group.into_iter().for_each(|item| item.answer(Stored::No));
            continue;
        }
        let route = Arc::clone(&route);
        tokio::spawn(async move {
            let entries = group.len();
            route.deliver(group).await;
            route.counts.release(entries);
        });
        sleep(RELAY_INTERVAL).await;
    }
}

/// Puts an item in a ring. An item that does not fit is dropped, and its caller gets an unknown
/// outcome.
fn offer<T>(ring: &Sender<T>, item: T) {
    if ring.offer(item).is_err() {
        tracing::warn!("append ring full; entry dropped");
    }
}

/// What came of a call to the owner.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Call {
    /// The entries are stored.
    Stored,
    /// The entries are not stored and will not be, because the owner can't append now.
    Refused,
    /// The owner did not get the entries.
    Unsent,
    /// The entries may be stored.
    Unknown,
}

impl Route {
    /// Returns whether this daemon appends entries itself as the owner. While its appends fail
    /// although the store answers it, only other ways may succeed.
    fn is_own(&self) -> bool {
        let can_append = self.appends_succeed.load(Ordering::Relaxed) || self.is_store_silent();
        can_append && self.shard_status.borrow().owns()
    }

    /// Returns whether the store answers no reads of this daemon, so that an append would have no certain
    /// outcome.
    fn is_store_silent(&self) -> bool {
        let usual = SILENT_AFTER + self.shard_status.borrow().response_time.typical();
        view::now().since(*self.log_answered_at.borrow()) > usual
    }

    /// Delivers a batch by the way that is open, or holds it until one is.
    async fn deliver(&self, mut group: Vec<Intake>) {
        loop {
            let now = view::now();
            let margin = if self.is_store_silent() { SILENT_ANSWER_MARGIN } else { ANSWER_MARGIN };
            group
                .extract_if(.., |item| now + margin >= item.until)
                .for_each(|item| item.answer(Stored::No));
            if group.is_empty() {
                return;
            }
            if self.is_own() {
                return group.into_iter().for_each(|i| offer(&self.owner, Append::Intake(i)));
            }
            let (owns, address, is_slow) = {
                let status = self.shard_status.borrow();
                (status.owns(), status.owner.clone(), status.response_time.is_slow())
            };
            let mut call = Call::Unsent;
            if !owns && !address.is_empty() {
                call = self.forward(&address, &group, is_slow).await;
                match call {
                    Call::Stored => {
                        return group.into_iter().for_each(|item| item.answer(Stored::Yes));
                    }
                    Call::Unknown => group.iter_mut().for_each(|item| item.may_be_stored = true),
                    Call::Refused | Call::Unsent => {}
                }
            }
            // An owner that can't append mostly says so because the store is silent for all.
            if !is_slow && self.can_append(call == Call::Refused, &group).await {
                return group.into_iter().for_each(|item| offer(&self.direct, item));
            }
            sleep(REDELIVERY_INTERVAL).await;
        }
    }

    /// Returns whether the store answers this daemon. With `anew`, waits for an answer to a read.
    async fn can_append(&self, anew: bool, group: &[Intake]) -> bool {
        if !anew || self.is_store_silent() {
            return !self.is_store_silent();
        }
        let now = view::now();
        let left = group.iter().map(|i| i.until).min().unwrap_or_default().since(now);
        let mut answered_at = self.log_answered_at.clone();
        let answer = answered_at.wait_for(|at| *at > now);
        matches!(tokio::time::timeout(SILENT_AFTER.min(left).into(), answer).await, Ok(Ok(_)))
    }

    /// Waits until a read of the log has been answered after `since`, and the owner had time to answer.
    async fn store_returned(&self, since: Millis) {
        if self.log_answered_at.clone().wait_for(|at| *at > since).await.is_err() {
            return std::future::pending().await;
        }
        sleep(OWNER_GRACE).await;
    }

    /// Forwards a batch to the owner. While the store is silent the owner holds it for the callers'
    /// whole time.
    async fn forward(&self, address: &str, group: &[Intake], is_slow: bool) -> Call {
        let now = view::now();
        let until = group.iter().map(|i| i.until).min().unwrap_or_default();
        let (path, tenths) = match self.is_store_silent() {
            true => (HELD_PATH, 10),
            false if is_slow => (INTAKE_PATH, SLOW_FORWARD_TIMEOUT_TENTHS),
            false => (INTAKE_PATH, FORWARD_TIMEOUT_TENTHS),
        };
        let timeout = Millis(until.since(now).get() * tenths / 10);
        let entries: Vec<&Entry> = group.iter().map(|i| &i.entry).collect();
        let message = (timeout, entries);
        let call = self.client.exchange::<_, Stored>(address, path, &message, timeout);
        let outcome = tokio::select! {
            outcome = call => outcome,
            () = self.store_returned(now), if path == HELD_PATH => {
                tracing::info!(address, entries = group.len(), "owner silent after the store's return");
                return Call::Unknown;
            }
        };
        if !matches!(outcome, Ok(Stored::Yes)) {
            let (entries, is_held) = (group.len(), path == HELD_PATH);
            tracing::info!(address, entries, is_held, outcome = ?outcome, "owner did not confirm entries");
        }
        match outcome {
            Ok(Stored::Yes) => Call::Stored,
            Ok(Stored::No) | Err(Error::Status { .. }) => Call::Refused,
            Err(Error::Unsent { .. }) => Call::Unsent,
            Ok(Stored::Unknown) | Err(_) => Call::Unknown,
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
        if away_ms > SILENT_AFTER || is_slow {
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
