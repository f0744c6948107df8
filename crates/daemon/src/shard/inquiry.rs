//! Callers' questions about jobs and queues.
//!
//! A daemon answers from its replica. The replica lags behind the log while the store refuses or
//! delays the daemon's reads, and after a start. The daemon then asks a peer: the owner, whose replica
//! is the newest, and after it one other. A peer answers only if its own replica does not lag.

use super::freshness::{self, Statement, Verdict};
use super::steward::Event;
use super::view::{self, Peers, ShardStatus};
use crate::ring::{self, Latest, Sender, Unanswered};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::work::{Id, Status};
use pimentovalve_core::ledger::shard::replica::backlog::Backlog;
use pimentovalve_wire::http::client::Client;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Path on which a daemon answers its peers' inquiries.
pub const INQUIRY_PATH: &str = "/inquiry";
/// Time limit of an inquiry to a peer: a round trip between regions, a log read for which the peer may
/// wait, and a margin.
const PEER_TIMEOUT: Millis = Millis(400);
/// Time in which no peer is asked after none has answered.
const PEER_PAUSE: Millis = Millis(1000);

/// A question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Inquiry {
    /// The state of a job.
    Status(Id),
    /// The number of jobs of a queue that have not started.
    Count(Box<str>),
}

/// The answer to an inquiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// The state of a job, `None` when it does not exist.
    Status(Option<Status>),
    /// The number of jobs of a queue that have not started.
    Count(Backlog),
}

/// Why an inquiry can't be answered.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The steward did not answer.
    #[snafu(context(false), display("{source}"))]
    Steward {
        /// Error of the ring.
        source: Unanswered,
    },
    /// The replica is too old for the answer.
    #[snafu(display("the replica is {age} old, caught up: {caught_up}"))]
    TooOld {
        /// Time since the last complete log read was sent.
        age: Millis,
        /// Whether the log was read to its end since the start.
        caught_up: bool,
    },
}

impl Fact {
    /// Returns what the fact states about the present, `None` if it holds at any age.
    const fn statement(&self) -> Option<Statement> {
        match self {
            Self::Status(None) => Some(Statement::Absence),
            Self::Status(Some(status)) if status.is_final() => None,
            Self::Status(Some(_)) => Some(Statement::Unended),
            Self::Count(_) => Some(Statement::Count),
        }
    }
}

/// Answers inquiries from this daemon's replica.
#[derive(Clone)]
pub struct Reader {
    /// Ring to the steward, which has the replica.
    pub steward: Sender<Event>,
    /// Ownership and log progress, published by the steward.
    pub shard_status: Latest<ShardStatus>,
    /// Notified when a caller waits for a newer replica.
    pub read_wanted: Arc<Notify>,
}

impl Reader {
    /// Returns a reader of the replica that `steward` has.
    pub fn new(steward: Sender<Event>, shard_status: Latest<ShardStatus>) -> Self {
        Self { steward, shard_status, read_wanted: Arc::default() }
    }

    /// Returns the answer of the present replica, whatever its age.
    ///
    /// # Errors
    ///
    /// Returns an error when the steward does not answer.
    pub async fn look_up(&self, inquiry: &Inquiry) -> Result<Fact, Unanswered> {
        match inquiry {
            Inquiry::Status(id) => {
                let status = ring::ask(&self.steward, |reply| Event::Status(*id, reply)).await?;
                Ok(Fact::Status(status))
            }
            Inquiry::Count(queue) => {
                let event = |reply| Event::Count(queue.clone(), reply);
                Ok(Fact::Count(ring::ask(&self.steward, event).await?))
            }
        }
    }

    /// Answers an inquiry by `until`, from a replica that is recent enough for the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the steward does not answer, or the replica is not expected to become
    /// recent enough in time.
    pub async fn answer(&self, inquiry: &Inquiry, until: Millis) -> Result<Fact, Error> {
        let asked = view::now();
        let mut shard_status = self.shard_status.clone();
        loop {
            // Read before the answer, whose replica is then at least as recent.
            let status = shard_status.borrow_and_update().clone();
            let fact = self.look_up(inquiry).await?;
            let Some(statement) = fact.statement() else { return Ok(fact) };
            let now = view::now();
            match statement.judge(&status, asked, until, now) {
                // A running job may just have ended: the owner's record is worth a read.
                Verdict::Current if matches!(fact, Fact::Status(Some(Status::Running))) => {
                    let Some(limit) = freshness::worth_waiting(&status, asked) else {
                        return Ok(fact);
                    };
                    self.read_wanted.notify_one();
                    let newer = shard_status.wait_for(|s| s.covered_until > status.covered_until);
                    // Without a newer read in time the answer stands.
                    let is_newer =
                        tokio::time::timeout(limit.since(now).into(), newer).await.is_ok();
                    return if is_newer { Ok(self.look_up(inquiry).await?) } else { Ok(fact) };
                }
                Verdict::Current => return Ok(fact),
                Verdict::Wait(limit) => {
                    let newer = shard_status.wait_for(|s| s.covered_until > status.covered_until);
                    // Whether a read came in time is judged again.
                    let _ = tokio::time::timeout(limit.since(now).into(), newer).await;
                }
                Verdict::TooOld => {
                    let age = now.since(status.covered_until);
                    return TooOldSnafu { age, caught_up: status.caught_up }.fail();
                }
            }
        }
    }

    /// Answers a peer's inquiry, or returns `None` if this daemon's replica lags too.
    pub async fn answer_peer(&self, inquiry: &Inquiry, until: Millis) -> Option<Fact> {
        if self.lags() {
            return None;
        }
        self.answer(inquiry, until).await.ok()
    }

    fn lags(&self) -> bool {
        self.shard_status.borrow().lags(view::now())
    }
}

/// Answers inquiries from this daemon's replica or through peers.
pub struct Inquiries {
    reader: Reader,
    peers: Latest<Peers>,
    client: Arc<Client>,
    owner_pause: Pause,
    other_pause: Pause,
    /// Position of the peer to ask after the owner.
    next: AtomicUsize,
}

/// Time in which a peer that did not respond is not asked, as a reading of the steady clock in
/// milliseconds.
#[derive(Debug, Default)]
struct Pause(AtomicU64);

impl Pause {
    fn begin(&self) {
        self.0.store((view::now() + PEER_PAUSE).get(), Ordering::Relaxed);
    }

    fn is_over(&self) -> bool {
        view::now().get() >= self.0.load(Ordering::Relaxed)
    }
}

impl Inquiries {
    /// Returns inquiries that `reader` answers, and `peers` while its replica lags.
    pub fn new(reader: Reader, peers: Latest<Peers>) -> Self {
        let (owner_pause, other_pause) = (Pause::default(), Pause::default());
        let next = AtomicUsize::new(rand::random_range(0..1024));
        Self { reader, peers, client: Arc::new(Client::new()), owner_pause, other_pause, next }
    }

    /// Returns the answer of the present replica; see [`Reader::look_up`].
    ///
    /// # Errors
    ///
    /// Returns an error when the steward does not answer.
    pub async fn look_up(&self, inquiry: &Inquiry) -> Result<Fact, Unanswered> {
        self.reader.look_up(inquiry).await
    }

    /// Answers an inquiry by `until`.
    ///
    /// # Errors
    ///
    /// Returns an error when neither this daemon's replica nor a peer's is recent enough.
    pub async fn answer(&self, inquiry: &Inquiry, until: Millis) -> Result<Fact, Error> {
        if !self.reader.lags() {
            return match self.reader.answer(inquiry, until).await {
                Err(error @ Error::TooOld { .. }) => {
                    self.ask_peers(inquiry, until).await.ok_or(error)
                }
                outcome => outcome,
            };
        }
        let fact = self.reader.look_up(inquiry).await?;
        if fact.statement().is_none() {
            return Ok(fact);
        }
        match self.ask_peers(inquiry, until).await {
            Some(fact) => Ok(fact),
            None => self.reader.answer(inquiry, until).await,
        }
    }

    /// Asks the owner, and then one other peer. Returns `None` if neither answers.
    async fn ask_peers(&self, inquiry: &Inquiry, until: Millis) -> Option<Fact> {
        let owner = {
            let status = self.reader.shard_status.borrow();
            Some(status.owner.clone()).filter(|o| !status.owns() && !o.is_empty())
        };
        if let Some(owner) = &owner
            && self.owner_pause.is_over()
            && let Some(fact) = self.ask(owner, &self.owner_pause, inquiry, until).await
        {
            return Some(fact);
        }
        let other = self.other(owner.as_deref()).filter(|_| self.other_pause.is_over())?;
        let fact = self.ask(&other, &self.other_pause, inquiry, until).await;
        if fact.is_none() {
            self.next.fetch_add(1, Ordering::Relaxed);
        }
        fact
    }

    /// Returns the address of the peer to ask after the owner.
    fn other(&self, owner: Option<&str>) -> Option<Box<str>> {
        let peers = self.peers.borrow();
        let others = || peers.iter().map(|p| &**p).filter(|p| Some(*p) != owner);
        let at = self.next.load(Ordering::Relaxed).checked_rem(others().count())?;
        others().nth(at).map(Into::into)
    }

    async fn ask(
        &self,
        peer: &str,
        pause: &Pause,
        inquiry: &Inquiry,
        until: Millis,
    ) -> Option<Fact> {
        let timeout = PEER_TIMEOUT.min(until.since(view::now()));
        match self.client.exchange(peer, INQUIRY_PATH, &(timeout, inquiry), timeout).await {
            Ok(fact) => fact,
            Err(error) => {
                tracing::info!(?inquiry, peer, %error, "peer did not answer an inquiry");
                pause.begin();
                None
            }
        }
    }
}
