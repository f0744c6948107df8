//! Entries of the shard log, the ordered stream from which every daemon derives the state of all
//! jobs.
//!
//! Any daemon may append submissions and cancellations. All other entries are appended by the
//! owner under its epoch. The store fences appends with an older epoch, so no entry of an epoch
//! follows the claim of the next one.
//!
//! A run is recorded before the start order is sent to the worker, and the end of a run before it
//! is acknowledged to the worker. A new owner can therefore derive every worker on which a task may
//! be running, and a task that ended `done` is never started again.

pub mod replica;
pub mod snapshot;
pub mod state;
pub mod succession;

use crate::contract::work::{Id, Job, Outcome, Task};
use serde::{Deserialize, Serialize};

/// One incarnation of a worker. A worker that restarts under the same name gets a new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Unique name of the worker.
    pub worker: Box<str>,
    /// Start time as reported by the worker, in milliseconds since the Unix epoch.
    pub born: u64,
}

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// Run number, counted from 1 for each task. All tasks of a gang share it.
    pub number: u32,
}

/// The end of a run as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The run.
    pub run: Run,
    /// Sequence number of the end within this incarnation of the worker.
    pub number: u64,
    /// Outcome of the run.
    pub outcome: Outcome,
    /// Last checkpoint of the run; empty if it has none.
    pub saved: Box<str>,
}

/// An entry of the shard log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A caller submitted a job. Only the first submission of an id takes effect.
    Submitted(Box<Job>),
    /// A caller cancelled a job.
    Cancelled(Id),
    /// A daemon becomes the owner of the shard.
    Claimed {
        /// Epoch of the new owner, one more than that of the previous claim.
        epoch: u64,
        /// Name of the owner.
        owner: Box<str>,
        /// Address for peers, as IP address and port.
        address: Box<str>,
        /// Random number drawn at start-up, so that a restarted daemon does not mistake the claim of
        /// its previous process for its own.
        nonce: u64,
    },
    /// The owner shuts down in a planned way; another daemon may claim the shard immediately.
    Released {
        /// Epoch of the owner.
        epoch: u64,
    },
    /// A snapshot was stored. It covers all entries before an offset that precedes this entry.
    Saved {
        /// Number of the snapshot.
        number: u64,
    },
    /// Heartbeat of the owner.
    Alive {
        /// Epoch of the owner.
        epoch: u64,
    },
    /// All leases granted by previous owners have expired.
    Settled {
        /// Epoch of the current owner.
        epoch: u64,
    },
    /// An occurrence of a scheduled job is due.
    Due {
        /// The job.
        job: Id,
        /// Index of the occurrence, from 0.
        occurrence: u32,
    },
    /// Runs are about to be started on a worker.
    Started {
        /// Incarnation of the worker.
        on: Incarnation,
        /// The runs to be started.
        runs: Vec<Run>,
    },
    /// A worker reported runs as ended.
    Ended {
        /// Incarnation of the worker.
        on: Incarnation,
        /// The ends in ascending order of their numbers.
        ends: Vec<End>,
    },
    /// These runs can no longer be active, and no worker reports their end.
    Lost(Vec<Run>),
    /// A worker crashed after it was seen to execute these runs. Whether they can still be active is
    /// recorded separately.
    Crashed {
        /// The incarnation that ended.
        on: Incarnation,
        /// The runs.
        runs: Vec<Run>,
    },
    /// The start orders of these runs got no answer, so the runs may not have begun.
    Unanswered(Vec<Run>),
}

/// An entry with the epoch and sequence number under which it was appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Epoch of the owner that appended it; 0 for entries that any daemon may append.
    pub epoch: u64,
    /// Position among the records of that epoch, from 1; 0 for entries that any daemon may append.
    pub sequence: u64,
    /// The entry itself.
    pub entry: Entry,
}

impl Record {
    /// Returns a record without an epoch, for an entry that any daemon may append.
    pub const fn open(entry: Entry) -> Self {
        Self { epoch: 0, sequence: 0, entry }
    }
}
