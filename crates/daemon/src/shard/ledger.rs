//! The ledger duty: all conversation with the store.
//!
//! Its loops share one thread. One tails the log; one appends what callers hand in, grouped; one
//! appends what the owner decides, in order and fenced; the others read the configuration, the
//! workers and the members. Every loop retries by itself, spaced and with jitter, so that a store
//! that comes back is not met by all daemons at once.

use super::border::{Author, Failure, Member, Store};
use super::steward::Event;
use super::view::{self, Facts};
use crate::duty::Duty;
use crate::ring::{self, Latest, Publisher, Receiver, Reply, Sender};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use pimentovalve_core::ledger::shard::{Entry, Record};
use pimentovalve_wire::codec;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::{Client, Error};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Path under which the owner takes what its peers' callers hand in.
pub const PATH: &str = "/intake";
/// Longest time for which the owner is waited for; a slow store takes most of it.
const MAX_FORWARD: Millis = Millis(1500);
/// Part of the time that is left to a caller, in tenths, that the owner may use.
const FORWARD_TENTHS: u64 = 6;
/// Most entries that are handed to the owner at once.
const MAX_RELAYED: usize = 64;
/// Pause between two calls to the owner: entries are grouped in the meantime.
const RELAY_PAUSE: Duration = Duration::from_millis(5);
/// Places of the ring of what the owner did not take.
const DIRECT_PLACES: usize = 4096;
/// Pause between two reads of the log by the owner, which brings what others appended directly.
const OWNER_READ_PAUSE: Duration = Duration::from_millis(80);
/// Pause between two reads of the log by others: what callers are shown lags by it.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// A store whose log could not be read for so long is not tried with what callers hand in: they
/// are told at once. Reads are 200 ms apart, and slow ones take half a second.
const AWAY: Millis = Millis(1000);
/// Pause between two appends of what callers hand in: they are grouped in the meantime.
const INTAKE_PAUSE: Duration = Duration::from_millis(25);
/// Pause between two appends of the owner: what is decided meanwhile goes in one call.
const OWN_PAUSE: Duration = Duration::from_millis(15);
/// Most records of one append.
const MAX_GROUP: usize = 1024;
/// Most bytes of one append; half of what the store takes in a call.
const MAX_GROUP_BYTES: usize = 1 << 20;
/// Longest time for which a change of the configuration is awaited in one call.
const CATALOG_WAIT: Millis = Millis(1000);
/// Pause between two reads of the list of workers by the owner.
const OWNER_LIST_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two reads of the list of workers by others, which only keep it warm.
const LIST_PAUSE: Duration = Duration::from_secs(3);
/// Time between two announcements of this daemon.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(3);
/// Longest time for which a planned stop waits for appends in flight.
const MAX_FLUSH: Duration = Duration::from_millis(1200);
/// Pause after a call without success, at first.
const RETRY: Duration = Duration::from_millis(40);
/// Longest pause after calls without success.
const MAX_RETRY: Duration = Duration::from_millis(320);

/// What callers hand in.
pub struct Intake {
    /// The entry.
    pub entry: Entry,
    /// No append begins after this time on the steady clock.
    pub until: Millis,
    /// Whether a try that gave no answer may have stored it.
    pub is_doubtful: bool,
    /// Where the outcome goes.
    pub reply: Reply<Stored>,
}

impl Intake {
    fn answer(self, stored: Stored) {
        let stored = match stored {
            Stored::No if self.is_doubtful => Stored::Unknown,
            other => other,
        };
        // A caller that has left wants no answer.
        let _ = self.reply.send(stored);
    }
}

/// What became of an entry that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stored {
    /// It is in the log.
    Yes,
    /// It is not and will not be.
    No,
    /// It may be, now or later.
    Unknown,
}

/// What the steward wants appended.
pub enum Append {
    /// A claim.
    Claim {
        /// The claim.
        entry: Entry,
        /// Its epoch.
        epoch: u64,
    },
    /// Records of the owner.
    Own(Vec<Record>),
    /// What a caller handed in to this daemon or to a peer.
    Intake(Intake),
}

/// The duty.
pub struct Ledger {
    /// The store.
    pub store: Arc<dyn Store>,
    /// This daemon.
    pub member: Member,
    /// What callers hand in.
    pub intake: Receiver<Intake>,
    /// What the steward wants appended.
    pub appends: Receiver<Append>,
    /// The other end of `appends`, for what callers hand in while this daemon owns the shard.
    pub owner: Sender<Append>,
    /// For the owner.
    pub client: Arc<Client>,
    /// The steward's events.
    pub steward: Sender<Event>,
    /// What the steward publishes.
    pub facts: Latest<Facts>,
    /// The configuration in force.
    pub catalog: Publisher<Option<Arc<Catalog>>>,
    /// Whether the owner's appends succeed.
    pub appending: Arc<AtomicBool>,
}

impl Duty for Ledger {
    fn name(&self) -> &'static str {
        "ledger"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let Self {
                store,
                member,
                intake,
                appends,
                owner,
                client,
                steward,
                facts,
                catalog,
                appending,
            } = *self;
            let (direct, rest) = ring::ring(DIRECT_PLACES);
            // Whether a claim stands is read as soon as it is appended.
            let claimed = Arc::new(Notify::new());
            let own = append_own(
                Arc::clone(&store),
                appends,
                steward.clone(),
                facts.clone(),
                Arc::clone(&claimed),
                Arc::clone(&appending),
            );
            let own = tokio::spawn(own);
            let relay =
                tokio::spawn(relay(intake, facts.clone(), owner, direct, client, appending));
            let taking = tokio::spawn(append_direct(Arc::clone(&store), rest, facts.clone()));
            let loops = [
                tokio::spawn(tail(Arc::clone(&store), steward.clone(), facts.clone(), claimed)),
                tokio::spawn(follow_catalog(Arc::clone(&store), catalog)),
                tokio::spawn(follow_workers(Arc::clone(&store), steward.clone(), facts.clone())),
                tokio::spawn(follow_members(store, member, steward, facts)),
            ];
            stop.cancelled().await;
            // The rings end when their senders do: what is in them is still appended.
            for ending in [relay, own, taking] {
                match tokio::time::timeout(MAX_FLUSH, ending).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => tracing::error!(%error, "an appending loop panicked"),
                    Err(_) => tracing::warn!("appends were left behind: the store is away"),
                }
            }
            loops.iter().for_each(tokio::task::JoinHandle::abort);
        })
    }
}

/// Pauses between tries, growing, with jitter.
struct Backoff(Duration);

impl Backoff {
    const fn new() -> Self {
        Self(RETRY)
    }

    async fn pause(&mut self) {
        let spread = rand::rng().random_range(0.5..1.5);
        sleep(self.0.mul_f64(spread)).await;
        self.0 = MAX_RETRY.min(self.0 * 2);
    }

    const fn reset(&mut self) {
        self.0 = RETRY;
    }
}

/// Logs the loss and the return of a dependency, one line each.
struct Watch {
    of: &'static str,
    lost_at: Option<Millis>,
}

impl Watch {
    const fn new(of: &'static str) -> Self {
        Self { of, lost_at: None }
    }

    fn lost(&mut self, failure: &Failure) {
        if self.lost_at.is_none() {
            self.lost_at = Some(view::now());
            tracing::warn!(of = self.of, error = %failure, "dependency lost");
        }
    }

    fn regained(&mut self) {
        if let Some(at) = self.lost_at.take() {
            let lost_ms = view::now().since(at).get();
            tracing::info!(of = self.of, lost_ms, "dependency regained");
        }
    }
}

async fn tail(
    store: Arc<dyn Store>,
    steward: Sender<Event>,
    mut facts: Latest<Facts>,
    claimed: Arc<Notify>,
) {
    let mut from = 0;
    let (mut watch, mut backoff) = (Watch::new("log"), Backoff::new());
    loop {
        let began = view::now();
        match store.read(from).await {
            Ok(chunk) => {
                watch.regained();
                backoff.reset();
                let count = u64::try_from(chunk.records.len()).unwrap_or_default();
                let records = chunk.records.iter().filter_map(|bytes| decode(bytes)).collect();
                from += count;
                let caught_up = from >= chunk.end;
                let took = view::now().since(began);
                let event = Event::Read { records, next: from, caught_up, took };
                if steward.push(event).await.is_err() {
                    return;
                }
                if !caught_up {
                    continue;
                }
                let pause = if facts.borrow().owns() { OWNER_READ_PAUSE } else { READ_PAUSE };
                tokio::select! {
                    () = sleep(pause) => {}
                    () = claimed.notified() => {}
                    _ = facts.wait_for(|f| f.owns() && pause > OWNER_READ_PAUSE) => {}
                }
            }
            Err(Failure::Gone { first }) => {
                // What fell out of the log is unknown for good; what follows is still in order.
                tracing::error!(from, first, "the log was trimmed ahead of this reader");
                from = first;
            }
            Err(failure) => {
                watch.lost(&failure);
                backoff.pause().await;
            }
        }
    }
}

fn decode(bytes: &[u8]) -> Option<Record> {
    match codec::unpack(bytes) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(%error, bytes = bytes.len(), "a record of the log can't be decoded");
            None
        }
    }
}

fn encode(record: &Record) -> Option<Vec<u8>> {
    match codec::pack(record) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            tracing::error!(%error, "a record of the log can't be encoded");
            None
        }
    }
}

/// Brings what callers hand in to the owner, which appends it with its own records. Without an
/// owner that answers it is appended directly: the log takes it from any daemon.
async fn relay(
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
            tokio::spawn(async move { forward(&client, &address, group, &direct).await });
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
async fn forward(client: &Client, address: &str, group: Vec<Intake>, direct: &Sender<Intake>) {
    let now = view::now();
    let until = group.iter().map(|i| i.until).min().unwrap_or_default();
    let timeout = MAX_FORWARD.min(Millis(until.since(now).get() * FORWARD_TENTHS / 10));
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

/// Appends what the owner did not take.
async fn append_direct(store: Arc<dyn Store>, intake: Receiver<Intake>, facts: Latest<Facts>) {
    while let Some(first) = intake.next().await {
        let away_ms = view::now().since(facts.borrow().heard);
        if away_ms > AWAY {
            tracing::info!(%away_ms, "entry refused: the store is away");
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
        let stored = append_group(&*store, &bodies, &group).await;
        group.into_iter().for_each(|item| item.answer(stored));
        // A slow store is asked less often, with more at once.
        let pause = INTAKE_PAUSE.max(view::now().since(began).into());
        sleep(pause.min(MAX_RETRY)).await;
    }
}

/// Appends what callers handed in, until it is stored or the first of them can't wait any more.
async fn append_group(store: &dyn Store, bodies: &[Vec<u8>], group: &[Intake]) -> Stored {
    let until = group.iter().map(|i| i.until).min().unwrap_or_default();
    let mut backoff = Backoff::new();
    let mut worst = Stored::No;
    while view::now() < until {
        match store.append(bodies, None).await {
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
            Append::Claim { .. } => {}
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

async fn append_own(
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
                claim(&*store, entry, epoch).await;
                claimed.notify_one();
                continue;
            }
            Some(other) => group.put(other),
        }
        while !group.is_full() && waiting.is_none() {
            match appends.try_next() {
                Some(claim @ Append::Claim { .. }) => waiting = Some(claim),
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
        let stored = append_fenced(&*store, &mut group, author, &appending).await;
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

async fn claim(store: &dyn Store, entry: Entry, epoch: u64) {
    let Some(body) = encode(&Record::open(entry)) else { return };
    let outcome = store.append(&[body], Some(Author { epoch, number: 0 })).await;
    // Whether the claim stands is told by the log alone.
    tracing::info!(epoch, outcome = ?outcome.err(), "ownership claimed");
}

/// Appends a group of the owner, until it is in the log or a later epoch fences it.
async fn append_fenced(
    store: &dyn Store,
    group: &mut Group,
    author: Author,
    appending: &AtomicBool,
) -> Stored {
    let (mut watch, mut backoff) = (Watch::new("fenced append"), Backoff::new());
    let mut fenced = Stored::No;
    loop {
        match store.append(&group.bytes, Some(author)).await {
            Ok(()) => {
                watch.regained();
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

async fn follow_catalog(store: Arc<dyn Store>, catalog: Publisher<Option<Arc<Catalog>>>) {
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

async fn follow_workers(store: Arc<dyn Store>, steward: Sender<Event>, mut facts: Latest<Facts>) {
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

async fn follow_members(
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
