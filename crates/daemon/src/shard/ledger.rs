//! The ledger duty: all communication with the store.
//!
//! Its loops share one thread. One tails the log; one appends callers' entries in batches; one
//! appends the owner's records, in order and fenced; the others read the configuration, the workers
//! and the members. Every loop retries on its own with jittered exponential backoff, so that the
//! daemons don't all reconnect at once when the store recovers.

pub mod counts;
mod follow;
mod handover;
mod intake;
mod own;
mod probe;
mod snapshots;
mod tail;

use super::border::{Failure, Member, Store};
use super::steward::Event;
use super::view::{self, Configuration, Peers, Prospect, ShardStatus};
use crate::duty::Duty;
use crate::ring::{self, Latest, Publisher, Receiver, Reply, Sender};
use counts::Counts;
use pimentovalve_core::clock::Millis;
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
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Path on which the owner accepts entries that its peers received from callers.
pub const INTAKE_PATH: &str = "/intake";
/// The same while the store answers neither of them: the owner holds the entries for its peers' whole time.
/// Builds without this path answer 404.
pub const HELD_PATH: &str = "/intake-held";
/// Path on which a daemon says whether it owns the shard.
pub const TENURE_PATH: &str = "/tenure";
/// Path on which an owner that has released the shard asks a daemon to claim it.
pub const SUCCESSION_PATH: &str = "/succession";
/// Interval between two announcements of this daemon.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);
/// Long-poll timeout of one configuration read.
pub const CATALOG_WAIT: Millis = Millis(1000);
/// Path on which the owner says what waits.
pub const OUTLOOK_PATH: &str = "/outlook";
/// Capacity, in entries, of the ring for direct appends.
const DIRECT_RING_CAPACITY: usize = 4096;
/// Timeout of an append. An append may queue behind others for two seconds in the store; retrying on
/// another connection is usually faster.
const APPEND_TIMEOUT: Millis = Millis(1000);
/// Maximum number of records of one append.
const MAX_GROUP_RECORDS: usize = 1024;
/// Maximum size of one append in bytes: a link of 2 Mbit/s sends it in about a second.
const MAX_GROUP_BYTES: usize = 256 * 1024;
/// Maximum time that a planned stop waits for appends in flight.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(1200);
/// Initial retry delay after a failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Maximum retry delay after failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);

/// An entry that a caller submitted, waiting to be appended.
pub struct Intake {
    /// The entry to append.
    pub entry: Entry,
    /// Deadline on the steady clock; no append of the entry starts later.
    pub until: Millis,
    /// Whether an earlier attempt with an unknown outcome may have stored the entry.
    pub may_be_stored: bool,
    /// Receives the outcome.
    pub reply: Reply<Stored>,
}

impl Intake {
    /// Sends the outcome to the caller. `No` becomes `Unknown` after a doubtful attempt.
    fn answer(self, stored: Stored) {
        let stored = match stored {
            Stored::No if self.may_be_stored => Stored::Unknown,
            other => other,
        };
        // The receiver is gone when the caller has disconnected.
        let _ = self.reply.send(stored);
    }
}

/// Outcome of appending a caller's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stored {
    /// The entry is in the log.
    Yes,
    /// The entry is not in the log and will not be.
    No,
    /// The entry may be in the log, or may appear there later.
    Unknown,
}

/// A write to the store that the steward or a peer requests.
pub enum Append {
    /// A claim of the shard, appended on its own.
    Claim {
        /// The entry of kind `Claimed`.
        entry: Entry,
        /// Epoch that the claim starts.
        epoch: u64,
    },
    /// Records of the owner, fenced by their epoch.
    Own(Vec<Record>),
    /// An entry that a caller submitted to this daemon or to a peer, batched with the owner's records.
    Intake(Intake),
    /// A snapshot of the replica to save.
    Snapshot {
        /// The snapshot.
        snapshot: Box<Snapshot>,
        /// Whether this daemon tried to save one of this number before.
        is_retry: bool,
    },
}

/// The ledger duty.
pub struct Ledger {
    /// Platform adapter for the store.
    pub store: Arc<dyn Store>,
    /// Announcement of this daemon to its peers.
    pub member: Member,
    /// Time for which the first read of the log is deferred.
    pub replay_delay: Millis,
    /// Entries from this daemon's callers.
    pub intake: Receiver<Intake>,
    /// Writes that the steward requests.
    pub appends: Receiver<Append>,
    /// Sending end of `appends`, for callers' entries while this daemon owns the shard.
    pub owner: Sender<Append>,
    /// HTTP client for forwarding entries to the owner, and for questions to peers.
    pub client: Arc<Client>,
    /// Addresses of the other daemons, published by the steward.
    pub peers: Latest<Peers>,
    /// Ring to the steward.
    pub steward: Sender<Event>,
    /// Notified when a caller waits for a newer replica.
    pub read_wanted: Arc<Notify>,
    /// Ownership and log progress, published by the steward.
    pub shard_status: Latest<ShardStatus>,
    /// Publishes the newest configuration to the other duties.
    pub configuration: Publisher<Configuration>,
    /// Whether the last fenced append attempt of this daemon succeeded; `true` before the first one.
    pub appends_succeed: Arc<AtomicBool>,
    /// Counts of entries that wait for the store.
    pub counts: Arc<Counts>,
    /// Number of jobs that callers have submitted to this daemon.
    pub submissions: Latest<u64>,
    /// What waits, published by the steward while this daemon owns the shard.
    pub own_prospect: Latest<Prospect>,
    /// Publishes what the owner says of the waiting work.
    pub prospect: Publisher<Prospect>,
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
                replay_delay,
                intake,
                appends,
                owner,
                client,
                peers,
                steward,
                read_wanted,
                shard_status,
                configuration,
                appends_succeed,
                counts,
                submissions,
                own_prospect,
                prospect,
            } = *self;
            let (direct, direct_intake) = ring::ring(DIRECT_RING_CAPACITY);
            let (answered, log_answered_at) = ring::latest(view::now());
            // Triggers a log read right after a claim attempt, to learn whether the claim succeeded.
            let claimed = Arc::new(Notify::new());
            // Repeats reads that are stuck when the store answers again.
            let regained = Arc::new(Notify::new());
            let own = own::Writer {
                store: Arc::clone(&store),
                appends,
                steward: steward.clone(),
                shard_status: shard_status.clone(),
                claimed: Arc::clone(&claimed),
                regained: Arc::clone(&regained),
                appends_succeed: Arc::clone(&appends_succeed),
                log_answered_at: log_answered_at.clone(),
                counts: Arc::clone(&counts),
            };
            let own = tokio::spawn(own.run());
            let route = intake::Route {
                shard_status: shard_status.clone(),
                owner,
                direct,
                client: Arc::clone(&client),
                appends_succeed,
                log_answered_at: log_answered_at.clone(),
                counts,
            };
            let relay = tokio::spawn(intake::relay(intake, route));
            let direct = tokio::spawn(intake::append_direct(
                Arc::clone(&store),
                direct_intake,
                shard_status.clone(),
                log_answered_at.clone(),
            ));
            let tail = tail::Tail {
                store: Arc::clone(&store),
                replay_delay,
                steward: steward.clone(),
                shard_status: shard_status.clone(),
                claimed,
                read_wanted,
                regained: Arc::clone(&regained),
                answered,
            };
            let tail = tokio::spawn(tail.run());
            let probe = tokio::spawn(probe::watch(
                Arc::clone(&store),
                log_answered_at,
                shard_status.clone(),
                Arc::clone(&regained),
            ));
            let follow = follow::Follow {
                store,
                member,
                client,
                peers,
                steward,
                shard_status,
                configuration,
                submissions,
                own_prospect,
                prospect,
                regained,
            };
            let follow = follow.spawn();
            stop.cancelled().await;
            // A ring closes when its senders are dropped, so entries queued in it are still appended.
            for ending in [relay, own, direct] {
                match tokio::time::timeout(FLUSH_TIMEOUT, ending).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => tracing::error!(%error, "append loop panicked"),
                    Err(_) => tracing::warn!("stopping with unfinished appends: store unavailable"),
                }
            }
            follow.iter().chain([&tail, &probe]).for_each(JoinHandle::abort);
        })
    }
}

/// Exponential backoff with jitter.
struct Backoff(Duration);

impl Backoff {
    const fn new() -> Self {
        Self(MIN_RETRY_DELAY)
    }

    async fn pause(&mut self) {
        let spread = rand::rng().random_range(0.5..1.5);
        sleep(self.0.mul_f64(spread)).await;
        self.0 = MAX_RETRY_DELAY.min(self.0 * 2);
    }

    const fn reset(&mut self) {
        self.0 = MIN_RETRY_DELAY;
    }
}

/// Logs the start and the end of a dependency's outage, one line each.
struct OutageLog {
    of: &'static str,
    lost_at: Option<Millis>,
}

impl OutageLog {
    const fn new(of: &'static str) -> Self {
        Self { of, lost_at: None }
    }

    fn lost(&mut self, failure: &Failure) {
        if self.lost_at.is_none() {
            self.lost_at = Some(view::now());
            tracing::warn!(of = self.of, error = %failure, "dependency lost");
        }
    }

    /// Returns whether there was an outage, which has ended.
    fn regained(&mut self) -> bool {
        let Some(at) = self.lost_at.take() else { return false };
        let lost_ms = view::now().since(at).get();
        tracing::info!(of = self.of, lost_ms, "dependency regained");
        true
    }
}

fn encode(record: &Record) -> Option<Vec<u8>> {
    match codec::pack(record) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            tracing::error!(%error, "log record can't be encoded; not appended");
            None
        }
    }
}
