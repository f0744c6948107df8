//! Appends of the owner: fenced, in order, each number once.

use super::{
    APPEND_PATIENCE, Append, Backoff, Intake, MAX_GROUP, MAX_GROUP_BYTES, Stored, Watch, encode,
    snapshots,
};
use crate::ring::{Latest, Receiver, Sender};
use crate::shard::border::{Author, Failure, Store};
use crate::shard::steward::Event;
use crate::shard::view::{self, Facts};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::{Entry, Record};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Pause between two appends of the owner: what is decided meanwhile goes in one call.
const OWN_PAUSE: Duration = Duration::from_millis(15);

/// An append that takes longer is worth a line: it delays every decision behind it. Ten times what
/// the store announces, and the longest way between regions.
const SLOW_APPEND: Millis = Millis(200);

/// One append of the owner.
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
            Append::Claim { .. } | Append::Snapshot(_) => {}
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
        self.records.len() >= MAX_GROUP || self.size >= MAX_GROUP_BYTES
    }

    fn epoch(&self) -> u64 {
        self.records.iter().map(|r| r.epoch).max().unwrap_or_default()
    }

    /// Answers callers that can't wait any more.
    fn give_up(&mut self, now: Millis) {
        let (late, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.intake).into_iter().partition(|i| now >= i.until);
        late.into_iter().for_each(|item| item.answer(Stored::Unknown));
        self.intake = waiting;
    }
}

pub(super) async fn append_own(
    store: Arc<dyn Store>,
    appends: Receiver<Append>,
    steward: Sender<Event>,
    facts: Latest<Facts>,
    claimed: Arc<Notify>,
    appending: Arc<AtomicBool>,
) {
    let mut numbers = (0, 0);
    let mut waiting: Option<Append> = None;
    loop {
        let next = match waiting.take() {
            Some(append) => Some(append),
            None => appends.next().await,
        };
        let mut group = Group::default();
        match next {
            None => return,
            Some(Append::Claim { entry, epoch }) => {
                let patience = facts.borrow().pace.patience(APPEND_PATIENCE);
                claim(&*store, entry, epoch, patience).await;
                claimed.notify_one();
                continue;
            }
            Some(Append::Snapshot(snapshot)) => {
                let store = Arc::clone(&store);
                tokio::spawn(async move { snapshots::save(&*store, &snapshot).await });
                continue;
            }
            Some(other) => group.put(other),
        }
        while !group.is_full() && waiting.is_none() {
            match appends.try_next() {
                Some(alone @ (Append::Claim { .. } | Append::Snapshot(_))) => waiting = Some(alone),
                Some(other) => group.put(other),
                None => break,
            }
        }
        // Without own records the group is fenced by the epoch that is in force here.
        let own = facts.borrow().epoch;
        let Some(epoch) = Some(group.epoch()).filter(|e| *e > 0).or(own) else {
            std::mem::take(&mut group.intake).into_iter().for_each(|i| i.answer(Stored::No));
            continue;
        };
        // The claim itself has number 0.
        numbers = if numbers.0 == epoch { (epoch, numbers.1 + 1) } else { (epoch, 1) };
        let author = Author { epoch, number: numbers.1 };
        let stored = append_fenced(&*store, &mut group, author, &facts, &appending).await;
        std::mem::take(&mut group.intake).into_iter().for_each(|item| item.answer(stored));
        let records = group.records;
        let event = match stored {
            Stored::Yes => Event::Recorded(records),
            Stored::No | Stored::Unknown => Event::Fenced { epoch },
        };
        if steward.push(event).await.is_err() {
            return;
        }
        sleep(OWN_PAUSE).await;
    }
}

async fn claim(store: &dyn Store, entry: Entry, epoch: u64, patience: Millis) {
    let Some(body) = encode(&Record::open(entry)) else { return };
    let outcome = store.append(&[body], Some(Author { epoch, number: 0 }), patience).await;
    // Whether the claim stands is told by the log alone.
    tracing::info!(epoch, outcome = ?outcome.err(), "ownership claimed");
}

/// Appends a group of the owner, until it is in the log or a later epoch fences it.
async fn append_fenced(
    store: &dyn Store,
    group: &mut Group,
    author: Author,
    facts: &Latest<Facts>,
    appending: &AtomicBool,
) -> Stored {
    let (mut watch, mut backoff) = (Watch::new("fenced append"), Backoff::new());
    let mut fenced = Stored::No;
    loop {
        let patience = facts.borrow().pace.patience(APPEND_PATIENCE);
        let began = view::now();
        match store.append(&group.bytes, Some(author), patience).await {
            Ok(()) => {
                watch.regained();
                let took = view::now().since(began);
                if took > SLOW_APPEND {
                    let (entries, bytes, number) = (group.records.len(), group.size, author.number);
                    tracing::info!(number, entries, bytes, took_ms = took.get(), "slow append");
                }
                appending.store(true, Ordering::Relaxed);
                return Stored::Yes;
            }
            Err(Failure::Fenced) => return fenced,
            Err(failure) => {
                if matches!(failure, Failure::Unknown { .. }) {
                    fenced = Stored::Unknown;
                }
                watch.lost(&failure);
                appending.store(false, Ordering::Relaxed);
            }
        }
        group.give_up(view::now());
        backoff.pause().await;
    }
}
