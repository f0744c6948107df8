//! The ledger duty: all conversation with the store.
//!
//! Its loops share one thread. One tails the log; one appends what callers hand in, grouped; one
//! appends what the owner decides, in order and fenced; the others read the configuration, the
//! workers and the members. Every loop retries by itself, spaced and with jitter, so that a store
//! that comes back is not met by all daemons at once.

mod follow;
mod intake;
mod own;
mod snapshots;

use super::border::{Failure, Member, Store};
use super::steward::Event;
use super::view::{self, Facts};
use crate::duty::Duty;
use crate::ring::{self, Latest, Publisher, Receiver, Reply, Sender};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use pimentovalve_core::ledger::shard::snapshot::Snapshot;
use pimentovalve_core::ledger::shard::{Entry, Record};
use pimentovalve_wire::codec;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Path under which the owner takes what its peers' callers hand in.
pub const PATH: &str = "/intake";
/// Places of the ring of what the owner did not take.
const DIRECT_PLACES: usize = 4096;
/// Pause between two reads of the log by the owner, which brings what others appended directly.
const OWNER_READ_PAUSE: Duration = Duration::from_millis(80);
/// Pause between two reads of the log by others: what callers are shown lags by it.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for an append. It may stand behind others for two seconds, and is better tried
/// again on another connection before.
const APPEND_PATIENCE: Millis = Millis(1000);
/// Most records of one append.
const MAX_GROUP: usize = 1024;
/// Most bytes of one append; half of what the store takes in a call.
const MAX_GROUP_BYTES: usize = 1 << 20;
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
    /// A snapshot that is due.
    Snapshot(Box<Snapshot>),
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
            let own = own::append_own(
                Arc::clone(&store),
                appends,
                steward.clone(),
                facts.clone(),
                Arc::clone(&claimed),
                Arc::clone(&appending),
            );
            let own = tokio::spawn(own);
            let relay = tokio::spawn(intake::relay(
                intake,
                facts.clone(),
                owner,
                direct,
                client,
                appending,
            ));
            let taking =
                tokio::spawn(intake::append_direct(Arc::clone(&store), rest, facts.clone()));
            let loops = [
                tokio::spawn(tail(Arc::clone(&store), steward.clone(), facts.clone(), claimed)),
                tokio::spawn(follow::catalog(Arc::clone(&store), catalog)),
                tokio::spawn(follow::workers(Arc::clone(&store), steward.clone(), facts.clone())),
                tokio::spawn(follow::members(store, member, steward, facts)),
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
                let event = Event::Read { records, next: from, caught_up, began };
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
                match snapshots::load(&*store, first).await {
                    Ok(Some((event, offset))) => {
                        if steward.push(event).await.is_err() {
                            return;
                        }
                        from = offset;
                    }
                    Ok(None) => {
                        // What fell out of the log is unknown for good; what follows is in order.
                        tracing::error!(from, first, "the log was trimmed ahead of this reader");
                        from = first;
                    }
                    Err(failure) => {
                        watch.lost(&failure);
                        backoff.pause().await;
                    }
                }
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
