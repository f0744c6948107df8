//! What is outside of a shard's daemons, as trait objects: an adapter implements them for one
//! platform and translates its messages into the project's types.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use pimentovalve_core::contract::owner::advice::{Allowed, Question};
use pimentovalve_core::contract::owner::order::{Look, Start, Stop};
use pimentovalve_core::contract::owner::{Miss, Report, StartAnswer, StopAnswer};
use pimentovalve_core::contract::work::{Id, Job, Status};
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::host::Listed;
use pimentovalve_wire::http::{Pending, Request, Response};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why a call of the store did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// It certainly had no effect.
    #[snafu(display("the store did nothing: {message}"))]
    Refused {
        /// What the store or the network said.
        message: String,
    },
    /// It may have had its effect, now or later.
    #[snafu(display("the store gave no answer: {message}"))]
    Unknown {
        /// What the network said.
        message: String,
    },
    /// A later epoch has appended.
    #[snafu(display("a later epoch has appended"))]
    Fenced,
    /// The wanted offset is no longer kept.
    #[snafu(display("the log begins at offset {first} only"))]
    Gone {
        /// First offset that is still kept.
        first: u64,
    },
}

/// Who appends, for the store's fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Author {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the append in the epoch; that of the claim is 0. The store takes each number once
    /// only, whoever appends: so of two claims of one epoch the first is in the log.
    pub number: u64,
}

/// Records of the log, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// The records from the wanted offset on.
    pub records: Vec<Vec<u8>>,
    /// Offset at which the log ended.
    pub end: u64,
}

/// A snapshot as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Saved {
    /// Its number; one that can't be read to its end leaves the one before it whole.
    pub number: u64,
    /// Offset of the log up to which it reaches.
    pub offset: u64,
    /// The snapshot.
    pub bytes: Vec<u8>,
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Unique name of its instance.
    pub name: Box<str>,
    /// Where its peers reach it, IP number and port.
    pub address: Box<str>,
    /// Number that rises with each announcement.
    pub beat: u64,
}

/// The platform's store.
pub trait Store: Send + Sync {
    /// Appends records to the shard's log, all or none, and waits up to `patience` for the answer.
    /// Without an author the append is not fenced.
    fn append<'a>(
        &'a self,
        records: &'a [Vec<u8>],
        author: Option<Author>,
        patience: Millis,
    ) -> Pending<'a, Result<(), Failure>>;

    /// Reads the shard's log from an offset on.
    fn read(&self, from: u64) -> Pending<'_, Result<Chunk, Failure>>;

    /// Keeps a snapshot of the shard.
    fn save<'a>(&'a self, saved: &'a Saved) -> Pending<'a, Result<(), Failure>>;

    /// Returns the newest snapshot that is kept whole.
    fn load(&self) -> Pending<'_, Result<Option<Saved>, Failure>>;

    /// Returns the newest configuration, waiting up to `wait` for a change; `None` when nothing
    /// changed.
    fn catalog(&self, wait: Millis) -> Pending<'_, Result<Option<Catalog>, Failure>>;

    /// Returns the workers that are listed now.
    fn workers(&self) -> Pending<'_, Result<Vec<Listed>, Failure>>;

    /// Lists this daemon among the members.
    fn announce<'a>(&'a self, member: &'a Member) -> Pending<'a, Result<(), Failure>>;

    /// Returns the newest announcement of each member.
    fn members(&self) -> Pending<'_, Result<Vec<Member>, Failure>>;
}

/// The workers.
pub trait Workers: Send + Sync {
    /// Orders a start under an epoch. Returns the reading of the worker's clock with the answer.
    fn start<'a>(&'a self, epoch: u64, start: &'a Start)
    -> Pending<'a, (StartAnswer, Option<u64>)>;

    /// Orders a stop under an epoch.
    fn stop<'a>(&'a self, epoch: u64, stop: &'a Stop) -> Pending<'a, (StopAnswer, Option<u64>)>;

    /// Renews the lease and asks what runs and what has ended.
    fn look<'a>(&'a self, epoch: u64, look: &'a Look) -> Pending<'a, Result<Report, Miss>>;
}

/// The advisor.
pub trait Advisor: Send + Sync {
    /// Asks which workers may run a step; `None` when there is no answer.
    fn ask<'a>(&'a self, question: &'a Question) -> Pending<'a, Option<Vec<Allowed>>>;
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Hand in a job.
    Submit(Box<Job>),
    /// Know the state of a job.
    Status(Id),
    /// Cancel a job.
    Cancel(Id),
    /// Know how many jobs of a queue have not started.
    Count(Box<str>),
}

/// A request as the callers' protocol has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded {
    /// What the caller wants.
    pub command: Command,
    /// Longest time for its answer, by the configuration of its queue.
    pub timeout: Millis,
}

/// What a caller is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The state of the job.
    State(Status),
    /// Jobs that have not started.
    Waiting(usize),
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// The request can't be understood.
    Malformed(List),
    /// The body is larger than the configuration allows: the most bytes.
    TooLarge(usize),
    /// Nothing was done, and the caller may come back after a while.
    NotDone(Millis),
    /// It may have been done.
    Undecided,
}

/// The callers' protocol.
pub trait Callers: Send + Sync {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that names no queue or can't be understood.
    fn decode(&self, request: &Request<'_>, catalog: &Catalog) -> Result<Decoded, Answer>;

    /// Returns how long the caller waits, if it says so.
    fn patience(&self, request: &Request<'_>) -> Option<Millis>;

    /// Encodes an answer.
    fn encode(&self, answer: &Answer) -> Response;
}
