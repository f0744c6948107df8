//! Appends of the owner: fenced by its epoch, in order, each append number once.
//!
//! Callers' entries are held outside while an append is in flight, so that their outcome is certain until
//! they are sent. While the store does not answer, the owner's own records are the probes.

mod attempt;
mod queue;

use super::counts::Counts;
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
use queue::Queue;
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

/// Share of a batch, in quarters, that the owner's records may take while callers' entries are held.
const OWN_QUARTERS: usize = 3;

/// Batch of records and callers' entries for one append of the owner.
#[derive(Default)]
struct Group {
    /// The owner's records, and after them those of `intake`.
    records: Vec<Record>,
    /// Number of the owner's records.
    own: usize,
    intake: Vec<Intake>,
    bytes: Vec<Vec<u8>>,
    size: usize,
}

impl Group {
    fn add_own(&mut self, records: Vec<Record>) {
        records.into_iter().for_each(|r| self.add(r));
        self.own = self.records.len();
    }

    fn add_entry(&mut self, item: Intake) {
        self.add(Record::open(item.entry.clone()));
        self.intake.push(item);
    }

    fn add(&mut self, record: Record) {
        if let Some(bytes) = encode(&record) {
            self.size += bytes.len();
            self.bytes.push(bytes);
            self.records.push(record);
        }
    }

    /// Removes the callers' entries.
    fn withdraw(&mut self) -> Vec<Intake> {
        self.records.truncate(self.own);
        self.bytes.truncate(self.own);
        self.size = self.bytes.iter().map(Vec::len).sum();
        std::mem::take(&mut self.intake)
    }

    fn is_full(&self) -> bool {
        self.records.len() >= MAX_GROUP_RECORDS || self.size >= MAX_GROUP_BYTES
    }

    fn is_mostly_full(&self) -> bool {
        self.records.len() >= MAX_GROUP_RECORDS / 4 * OWN_QUARTERS
            || self.size >= MAX_GROUP_BYTES / 4 * OWN_QUARTERS
    }

    fn epoch(&self) -> u64 {
        self.records.iter().map(|r| r.epoch).max().unwrap_or_default()
    }
}

/// What became of a batch.
enum Outcome {
    /// The append was carried out, or fenced.
    Ended(Stored),
    /// The store refused a batch of callers' entries, which are held again. Its number is free.
    Withdrawn,
}

/// Carries out the steward's writes and appends callers' entries while this daemon is the owner.
pub(super) struct Writer {
    pub(super) store: Arc<dyn Store>,
    pub(super) appends: Receiver<Append>,
    pub(super) steward: Sender<Event>,
    pub(super) shard_status: Latest<ShardStatus>,
    /// Triggers a log read after a claim.
    pub(super) claimed: Arc<Notify>,
    /// Notified when an append succeeds after an outage: reads that are stuck can be repeated.
    pub(super) regained: Arc<Notify>,
    pub(super) appends_succeed: Arc<AtomicBool>,
    /// When a read of the log was last answered.
    pub(super) log_answered_at: Latest<Millis>,
    pub(super) counts: Arc<Counts>,
}

impl Writer {
    /// Carries out the writes one after the other, and reports each append to the steward.
    pub(super) async fn run(self) {
        let mut queue = Queue::new(self.appends.clone(), Arc::clone(&self.counts));
        // Epoch and number of the last append.
        let mut last = (0, 0);
        while queue.wait().await {
            match queue.take_single() {
                Some(Append::Claim { entry, epoch }) => {
                    queue.during(&mut Vec::new(), self.claim(entry, epoch)).await;
                    self.claimed.notify_one();
                    continue;
                }
                Some(Append::Snapshot { snapshot, is_retry }) => {
                    let store = Arc::clone(&self.store);
                    tokio::spawn(
                        async move { snapshots::save(&*store, &snapshot, is_retry).await },
                    );
                    continue;
                }
                _ => {}
            }
            let mut group = queue.take_group(view::now());
            // A batch of callers' entries only is fenced by this daemon's present epoch.
            let current = self.shard_status.borrow().epoch;
            let Some(epoch) = Some(group.epoch()).filter(|e| *e > 0).or(current) else {
                group.intake.into_iter().for_each(|i| i.answer(Stored::No));
                continue;
            };
            // Append numbers restart at 1 in each epoch; the claim has number 0.
            let number = if last.0 == epoch { last.1 + 1 } else { 1 };
            let token = FencingToken { epoch, number };
            let began = view::now();
            let stored = match self.append(&mut queue, &mut group, token).await {
                Outcome::Ended(stored) => stored,
                Outcome::Withdrawn => continue,
            };
            last = (epoch, number);
            group.intake.into_iter().for_each(|item| item.answer(stored));
            let records = group.records;
            let event = match stored {
                Stored::Yes => Event::Recorded { records, began },
                Stored::No | Stored::Unknown => Event::Fenced { epoch },
            };
            if self.steward.push(event).await.is_err() {
                return;
            }
            queue.during(&mut Vec::new(), sleep(OWNER_APPEND_INTERVAL)).await;
        }
    }

    /// Tries to append a claim, once.
    async fn claim(&self, entry: Entry, epoch: u64) {
        let Some(body) = encode(&Record::open(entry)) else { return };
        let timeout = self.shard_status.borrow().response_time.timeout(APPEND_TIMEOUT);
        let token = FencingToken { epoch, number: 0 };
        let outcome = self.store.append(&[body], Some(token), timeout).await;
        // The outcome is only logged. Whether the claim succeeded is learned by reading the log.
        tracing::info!(epoch, outcome = ?outcome.err(), "claim of the shard sent");
    }

    /// Appends a batch, retrying until it is in the log or a later epoch fences it. As long as the store
    /// has refused all attempts, callers' entries are taken out of the batch: they have had no effect.
    async fn append(&self, queue: &mut Queue, group: &mut Group, token: FencingToken) -> Outcome {
        let (mut outage, mut backoff) = (OutageLog::new("fenced append"), Backoff::new());
        let mut outcome_if_fenced = Stored::No;
        let mut bodies = Arc::new(std::mem::take(&mut group.bytes));
        loop {
            let is_doubtful = outcome_if_fenced == Stored::Unknown;
            let attempts = self.attempts(Arc::clone(&bodies), group.size, token, is_doubtful);
            match queue.during(&mut group.intake, attempts).await {
                Ok(took) => {
                    outage.regained();
                    if took > SLOW_APPEND {
                        let (entries, bytes, number) =
                            (group.records.len(), group.size, token.number);
                        tracing::info!(number, entries, bytes, took_ms = took.get(), "slow append");
                    }
                    self.succeeded(queue, took);
                    return Outcome::Ended(Stored::Yes);
                }
                Err(Failure::Fenced) => return Outcome::Ended(outcome_if_fenced),
                Err(failure) => {
                    if matches!(failure, Failure::Unknown { .. }) {
                        outcome_if_fenced = Stored::Unknown;
                    }
                    outage.lost(&failure);
                    self.appends_succeed.store(false, Ordering::Relaxed);
                    queue.gate.failed(view::now());
                }
            }
            if outcome_if_fenced == Stored::No && !group.intake.is_empty() {
                group.bytes = Arc::unwrap_or_clone(bodies);
                group.withdraw().into_iter().for_each(|item| queue.hold(item));
                if group.records.is_empty() {
                    queue.publish();
                    return Outcome::Withdrawn;
                }
                bodies = Arc::new(std::mem::take(&mut group.bytes));
            }
            queue.publish();
            queue.during(&mut group.intake, backoff.pause()).await;
        }
    }

    /// Closes the breaker after an append.
    fn succeeded(&self, queue: &mut Queue, took: Millis) {
        self.appends_succeed.store(true, Ordering::Relaxed);
        if let Some(open_for) = queue.gate.succeeded(view::now(), took) {
            let (held, open_ms) = (queue.gate.len(), open_for.get());
            tracing::info!(held, open_ms, "store answers again; held entries are appended");
            self.counts.flushed(held);
            self.regained.notify_waiters();
        }
        queue.publish();
    }
}
