//! The shard's log: one ordered stream from which every daemon knows all jobs.
//!
//! Any daemon may append submissions and cancellations; everything else is appended by the owner
//! only, under its epoch. The store fences appends of an older epoch, so the entries of an epoch
//! end where the claim of the next one stands.
//!
//! A run is recorded before the worker is told to start it, and the end of a run before the worker
//! is told to forget it. So a new owner knows every place at which a task can be, and a task that
//! ended `done` is never started again.

pub mod book;
pub mod snapshot;
pub mod state;

use crate::contract::work::{Id, Job, Outcome, Task};
use serde::{Deserialize, Serialize};

/// One life of a worker: a worker that restarts under the same name has a new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// Unique name of the worker.
    pub worker: Box<str>,
    /// When this life began, by the worker's own account: milliseconds since the Unix epoch.
    pub born: u64,
}

/// One start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// Number of the start, from 1; the members of a gang share it.
    pub number: u32,
}

/// The end of a run, as its worker listed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The run.
    pub run: Run,
    /// Number of the end in the worker's list.
    pub number: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The progress that it saved last, empty when there is none.
    pub saved: Box<str>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A caller handed a job in. The first of an id counts.
    Submitted(Box<Job>),
    /// A caller cancelled a job.
    Cancelled(Id),
    /// A daemon owns the shard from here on.
    Claimed {
        /// Its epoch, one more than that of the claim before.
        epoch: u64,
        /// Name of the daemon.
        owner: Box<str>,
        /// Where its peers reach it, IP number and port.
        address: Box<str>,
        /// Drawn at its start, so that a restarted daemon does not take the claim for its own.
        nonce: u64,
    },
    /// The owner stops as planned; another daemon should claim at once.
    Released {
        /// Its epoch.
        epoch: u64,
    },
    /// A snapshot of everything before an earlier offset is kept.
    Saved {
        /// Its number.
        number: u64,
    },
    /// The owner still works.
    Alive {
        /// Its epoch.
        epoch: u64,
    },
    /// Every lease that an owner before the present one granted has run out.
    Settled {
        /// Epoch of the present owner.
        epoch: u64,
    },
    /// A scheduled occurrence is due.
    Due {
        /// The job.
        job: Id,
        /// The occurrence, from 0.
        occurrence: u32,
    },
    /// Runs that are about to start on a worker.
    Started {
        /// The worker.
        on: Life,
        /// The runs.
        runs: Vec<Run>,
    },
    /// Runs that a worker lists as ended.
    Ended {
        /// The worker.
        on: Life,
        /// The ends, by rising number.
        ends: Vec<End>,
    },
    /// Runs that can't be at work any more and whose end nobody lists.
    Lost(Vec<Run>),
}

/// An entry with its author.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Epoch of the owner that appended it, 0 for what any daemon may append.
    pub epoch: u64,
    /// Position among the records of that epoch, from 1; 0 for what any daemon may append.
    pub sequence: u64,
    /// What it says.
    pub entry: Entry,
}

impl Record {
    /// Returns the record of an entry that any daemon may append.
    pub const fn open(entry: Entry) -> Self {
        Self { epoch: 0, sequence: 0, entry }
    }
}
