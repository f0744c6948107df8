//! Appends of the owner: fenced by its epoch, in order, each append number once.

use super::{
    APPEND_TIMEOUT, Append, Backoff, Intake, MAX_GROUP_BYTES, MAX_GROUP_RECORDS, OutageLog, Stored,
    encode, snapshots,
};
use crate::ring::{Latest, Receiver, Sender};
use crate::shard::border::{Failure, FencingToken, Store};
use crate::shard::steward::Event;
use crate::shard::view::{self, ShardStatus};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::{Entry, Record};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Minimum time between two appends of the owner; records made in between form one batch.
const OWNER_APPEND_INTERVAL: Duration = Duration::from_millis(15);

/// Duration above which an append is logged as slow, since it delays every decision after it. The
/// value is ten times the store's stated append time plus the longest latency between regions.
const SLOW_APPEND: Millis = Millis(200);

/// Batch of records and callers' entries for one append of the owner.
#[derive(Default)]
struct Group {
    records: Vec<Record>,
    intake: Vec<Intake>,
    bytes: Vec<Vec<u8>>,
    size: usize,
}

impl Group {
    fn put(&mut self, append: Append) {
        match append {
            Append::Own(records) => records.into_iter().for_each(|r| self.add(r)),
            Append::Intake(item) => {
                self.add(Record::open(item.entry.clone()));
                self.intake.push(item);
            }
            Append::Claim { .. } | Append::Snapshot { .. } => {}
        }
    }

    fn add(&mut self, record: Record) {
        if let Some(bytes) = encode(&record) {
            self.size += bytes.len();
            self.bytes.push(bytes);
            self.records.push(record);
        }
    }

    fn is_full(&self) -> bool {
        self.records.len() >= MAX_GROUP_RECORDS || self.size >= MAX_GROUP_BYTES
    }

    fn epoch(&self) -> u64 {
        self.records.iter().map(|r| r.epoch).max().unwrap_or_default()
    }

    /// Answers callers whose deadline has passed. Their entries stay in the batch, so their outcome is
    /// unknown.
    fn expire_intake(&mut self, now: Millis) {
        let (late, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.intake).into_iter().partition(|i| now >= i.until);
        late.into_iter().for_each(|item| item.answer(Stored::Unknown));
        self.intake = waiting;
    }
}

/// Carries out the steward's writes one after the other, and reports each append to the steward.
pub(super) async fn append_own(
    store: Arc<dyn Store>,
    appends: Receiver<Append>,
    steward: Sender<Event>,
    shard_status: Latest<ShardStatus>,
    claimed: Arc<Notify>,
    appends_succeed: Arc<AtomicBool>,
) {
    // Epoch and number of the last append.
    let mut last = (0, 0);
    let mut deferred: Option<Append> = None;
    loop {
        let next = match deferred.take() {
            Some(append) => Some(append),
            None => appends.next().await,
        };
        let mut group = Group::default();
        match next {
            None => return,
            Some(Append::Claim { entry, epoch }) => {
                let timeout = shard_status.borrow().response_time.timeout(APPEND_TIMEOUT);
                claim(&*store, entry, epoch, timeout).await;
                claimed.notify_one();
                continue;
            }
            Some(Append::Snapshot { snapshot, is_retry }) => {
                let store = Arc::clone(&store);
                tokio::spawn(async move { snapshots::save(&*store, &snapshot, is_retry).await });
                continue;
            }
            Some(other) => group.put(other),
        }
        while !group.is_full() && deferred.is_none() {
            match appends.try_next() {
                Some(single @ (Append::Claim { .. } | Append::Snapshot { .. })) => {
                    deferred = Some(single)
                }
                Some(other) => group.put(other),
                None => break,
            }
        }
        // A batch of callers' entries only is fenced by this daemon's present epoch.
        let current = shard_status.borrow().epoch;
        let Some(epoch) = Some(group.epoch()).filter(|e| *e > 0).or(current) else {
            std::mem::take(&mut group.intake).into_iter().for_each(|i| i.answer(Stored::No));
            continue;
        };
        // Append numbers restart at 1 in each epoch; the claim has number 0.
        last = if last.0 == epoch { (epoch, last.1 + 1) } else { (epoch, 1) };
        let token = FencingToken { epoch, number: last.1 };
        let began = view::now();
        let stored =
            append_fenced(&*store, &mut group, token, &shard_status, &appends_succeed).await;
        std::mem::take(&mut group.intake).into_iter().for_each(|item| item.answer(stored));
        let records = group.records;
        let event = match stored {
            Stored::Yes => Event::Recorded { records, began },
            Stored::No | Stored::Unknown => Event::Fenced { epoch },
        };
        if steward.push(event).await.is_err() {
            return;
        }
        sleep(OWNER_APPEND_INTERVAL).await;
    }
}

/// Tries to append a claim, once.
async fn claim(store: &dyn Store, entry: Entry, epoch: u64, timeout: Millis) {
    let Some(body) = encode(&Record::open(entry)) else { return };
    let outcome = store.append(&[body], Some(FencingToken { epoch, number: 0 }), timeout).await;
    // The outcome is only logged. Whether the claim succeeded is learned by reading the log.
    tracing::info!(epoch, outcome = ?outcome.err(), "claim of the shard sent");
}

/// Appends a batch of the owner, retrying until it is in the log or a later epoch fences it.
async fn append_fenced(
    store: &dyn Store,
    group: &mut Group,
    token: FencingToken,
    shard_status: &Latest<ShardStatus>,
    appends_succeed: &AtomicBool,
) -> Stored {
    let (mut outage, mut backoff) = (OutageLog::new("fenced append"), Backoff::new());
    let mut outcome_if_fenced = Stored::No;
    loop {
        let timeout = shard_status.borrow().response_time.timeout(APPEND_TIMEOUT);
        let began = view::now();
        match store.append(&group.bytes, Some(token), timeout).await {
            Ok(()) => {
                outage.regained();
                let took = view::now().since(began);
                if took > SLOW_APPEND {
                    let (entries, bytes, number) = (group.records.len(), group.size, token.number);
                    tracing::info!(number, entries, bytes, took_ms = took.get(), "slow append");
                }
                appends_succeed.store(true, Ordering::Relaxed);
                return Stored::Yes;
            }
            Err(Failure::Fenced) => return outcome_if_fenced,
            Err(failure) => {
                if matches!(failure, Failure::Unknown { .. }) {
                    outcome_if_fenced = Stored::Unknown;
                }
                outage.lost(&failure);
                appends_succeed.store(false, Ordering::Relaxed);
            }
        }
        group.expire_intake(view::now());
        backoff.pause().await;
    }
}
