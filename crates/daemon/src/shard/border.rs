//! Interfaces between a shard's daemon and the platform: store, workers, advisor and callers. A
//! platform adapter implements these traits and translates the platform's messages to the types of
//! this project.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use pimentovalve_core::contract::owner::advice::{Allowed, Query};
use pimentovalve_core::contract::owner::order::{Poll, Start, Stop};
use pimentovalve_core::contract::owner::{PollError, Report, StartAnswer, StopAnswer};
use pimentovalve_core::contract::work::{Id, Job, Status};
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::host::WorkerEntry;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::http::{Pending, Request, Response};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// Error of a store call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// The call had no effect and will have none.
    #[snafu(display("store call had no effect: {message}"))]
    Refused {
        /// Error text from the store or the network.
        message: String,
    },
    /// The call may have taken effect, or may still do so.
    #[snafu(display("store call got no answer: {message}"))]
    Unknown {
        /// Error text from the network.
        message: String,
    },
    /// The append was rejected because a later epoch has appended.
    #[snafu(display("append fenced by a later epoch"))]
    Fenced,
    /// The requested records have been trimmed.
    #[snafu(display("log trimmed: first offset is {first}"))]
    Gone {
        /// First offset that the log still has.
        first: u64,
    },
}

/// Fencing token of an append. The store rejects tokens of an epoch before the latest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    /// Epoch under which the owner appends.
    pub epoch: u64,
    /// Number of the append in the epoch; the claim has number 0. The store accepts each number once
    /// only, whoever appends, so of two claims of one epoch only the first gets into the log.
    pub number: u64,
}

/// Consecutive records of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Encoded records, the first one at the requested offset.
    pub records: Vec<Vec<u8>>,
    /// Offset after the last record of the log at the time of the read.
    pub end: u64,
}

/// A snapshot as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Number of the snapshot, one more than that of the snapshot before. A partly written snapshot
    /// must not damage the one before.
    pub number: u64,
    /// Log offset of the first record that is not in the snapshot.
    pub offset: u64,
    /// The encoded snapshot.
    pub bytes: Vec<u8>,
}

/// Announcement of a daemon to its peers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Unique name of the daemon's instance.
    pub name: Box<str>,
    /// Address for peers: IP address and port.
    pub address: Box<str>,
    /// Counter that each announcement of a process increments.
    pub beat: u64,
    /// Estimated time that the daemon needs to take over the shard, [`UNKNOWN_TAKEOVER`] while it
    /// can't. Builds before this field do not announce it, and the shard is not handed to them.
    #[serde(default = "unknown_takeover")]
    pub takeover: Millis,
}

/// Announced by a daemon to which the shard must not be handed.
pub const UNKNOWN_TAKEOVER: Millis = Millis::MAX;

const fn unknown_takeover() -> Millis {
    UNKNOWN_TAKEOVER
}

/// The platform's store: the shard's log, snapshots, configuration, and the lists of workers and
/// members.
pub trait Store: Send + Sync {
    /// Appends records to the shard's log atomically, and waits up to `timeout` for the answer.
    /// Without a token the append is not fenced.
    fn append<'a>(
        &'a self,
        records: &'a [Vec<u8>],
        token: Option<FencingToken>,
        timeout: Millis,
    ) -> Pending<'a, Result<(), Failure>>;

    /// Asks for something small, to learn whether the store answers, and waits up to `timeout`. An answer
    /// that refuses the question is one, unless the store refuses all calls.
    fn probe(&self, timeout: Millis) -> Pending<'_, Result<(), Failure>>;

    /// Reads records of the shard's log, starting at offset `from`. The end of the log may lie beyond
    /// the returned records.
    fn read(&self, from: u64) -> Pending<'_, Result<Chunk, Failure>>;

    /// Reserves the right to save the snapshot with this number, so that only one daemon does.
    /// Returns `false` when another daemon has it; a retry takes it from a daemon that may have ended.
    fn reserve(&self, number: u64, is_retry: bool) -> Pending<'_, Result<bool, Failure>>;

    /// Saves a snapshot of the shard.
    fn save<'a>(&'a self, saved: &'a StoredSnapshot) -> Pending<'a, Result<(), Failure>>;

    /// Returns the newest complete snapshot.
    fn load(&self) -> Pending<'_, Result<Option<StoredSnapshot>, Failure>>;

    /// Returns the newest configuration, waiting up to `wait` for a change. Returns `None` when it has
    /// not changed since the last call, or can't be decoded.
    fn catalog(&self, wait: Millis) -> Pending<'_, Result<Option<Catalog>, Failure>>;

    /// Returns the workers that the platform lists at present.
    fn workers(&self) -> Pending<'_, Result<Vec<WorkerEntry>, Failure>>;

    /// Stores the announcement of this daemon, replacing its previous one.
    fn announce<'a>(&'a self, member: &'a Member) -> Pending<'a, Result<(), Failure>>;

    /// Returns the newest announcement of each member.
    fn members(&self) -> Pending<'_, Result<Vec<Member>, Failure>>;
}

/// The platform's workers, which run tasks.
pub trait Workers: Send + Sync {
    /// Orders the start of a run, with the epoch as fencing token. Returns the answer, and the
    /// reading of the worker's clock if the answer has one. A worker executes an order that it gets
    /// twice at most once.
    fn start<'a>(
        &'a self,
        epoch: u64,
        start: &'a Start,
        timeout: Millis,
    ) -> Pending<'a, (StartAnswer, Option<u64>)>;

    /// Orders the stop of a run, with the epoch as fencing token. Returns as [`Self::start`] does.
    fn stop<'a>(
        &'a self,
        epoch: u64,
        stop: &'a Stop,
        timeout: Millis,
    ) -> Pending<'a, (StopAnswer, Option<u64>)>;

    /// Renews the worker's lease, and returns which runs are in progress and which have ended.
    fn poll<'a>(&'a self, epoch: u64, poll: &'a Poll) -> Pending<'a, Result<Report, PollError>>;

    /// Returns the counters of the connections to workers.
    fn traffic(&self) -> Arc<Traffic> {
        Arc::default()
    }
}

/// The platform's advisor, which decides on the workers that a queue's tasks may run on.
pub trait Advisor: Send + Sync {
    /// Returns which of the workers in the query may run the step, `None` when there is no answer.
    fn ask<'a>(&'a self, query: &'a Query) -> Pending<'a, Option<Vec<Allowed>>>;
}

/// Command of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Submit a job; a job whose id is known already is accepted without effect.
    Submit(Box<Job>),
    /// Return the state of a job.
    Status(Id),
    /// Cancel a job.
    Cancel(Id),
    /// Return the number of jobs of a queue that have not started.
    Count(Box<str>),
}

/// A decoded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded {
    /// Command of the caller.
    pub command: Command,
    /// Response timeout that the queue's configuration sets.
    pub timeout: Millis,
    /// Whether the request was accepted because of its key.
    pub is_keyed: bool,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The submission or cancellation is stored in the log.
    Accepted,
    /// State of the job.
    State(Status),
    /// Number of jobs of the queue that have not started.
    Waiting(usize),
    /// No queue matches the request.
    NoQueue,
    /// The request carries no key of a team that the configuration knows.
    NoKey,
    /// The job does not exist.
    NoJob,
    /// The request can't be decoded; the findings say why.
    Malformed(List),
    /// The body exceeds this limit of the configuration, in bytes.
    TooLarge(usize),
    /// The request had no effect; the caller may retry after this delay.
    NotDone(Millis),
    /// The job can't be done while its result has value, and was not stored; there may be room for it
    /// after this delay.
    NoRoom(Millis),
    /// The request may have taken effect.
    Undecided,
}

/// The platform's protocol for callers.
pub trait Callers: Send + Sync {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns the answer to send when no queue matches, when the request carries no valid key, or when
    /// it can't be decoded.
    fn decode(&self, request: &Request<'_>, catalog: &Catalog) -> Result<Decoded, Answer>;

    /// Returns how long the caller waits for the response, if the request states it.
    fn timeout(&self, request: &Request<'_>) -> Option<Millis>;

    /// Encodes an answer as an HTTP response.
    fn encode(&self, answer: &Answer) -> Response;
}
