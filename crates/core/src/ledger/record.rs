//! Records of the ledger: a change to a register, conditional on the register's version.

use crate::clock::Millis;
use crate::contract::configuration::Patch;
use crate::contract::job::{self, Job};
use crate::contract::kind::Kind;
use crate::contract::{request, task};
use crate::ledger::Offset;
use crate::machine::capacity::Capacity;
use crate::machine::worker::Epoch;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Unique id of a record: its writer's name and a number that the writer uses once.
///
/// A writer whose append was not answered identifies its records by it when it reads the stream
/// back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Instance that wrote the record. A restarted instance has another name.
    pub writer: Name,
    /// Number that the writer uses for no other record.
    pub number: u64,
}

/// The register that a record changes, a unit of state with a version of its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Register {
    /// The configuration. Stream: configuration.
    Configuration,
    /// A worker. Stream: fleet.
    Worker(Name),
    /// A job. Stream: the partition of its team.
    Job(job::Id),
    /// A task. Stream: the partition of its job's team.
    Task(task::Id),
    /// The key of a non-idempotent request. Stream: the partition of its team.
    Key(request::Id),
}

/// How a record changes its register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The next version of the configuration.
    Patch {
        /// Name of the operator's key.
        operator: Name,
        /// The change from the expected version.
        patch: Patch,
    },
    /// The worker is lost: its leases under this and earlier epochs are no longer renewed.
    Lost {
        /// Last epoch that is lost.
        epoch: Epoch,
    },
    /// A job is accepted.
    Submit {
        /// The job.
        job: Job,
        /// Its kind of work at acceptance; later patches do not affect an accepted job.
        kind: Kind,
    },
    /// A job is cancelled.
    Cancel,
    /// The next attempt of a task is placed on a worker.
    Attempt {
        /// Number of the attempt.
        attempt: task::Attempt,
        /// The worker.
        worker: Name,
        /// Epoch of the worker's controller; the start order carries it.
        epoch: Epoch,
        /// Capacity that is reserved on the worker.
        needs: Capacity,
        /// Offset of the loss whose fence has expired, if the previous attempt was not known to be
        /// over.
        fence: Option<Offset>,
    },
    /// An attempt is over, as reported by its worker.
    Over {
        /// The attempt.
        attempt: task::Attempt,
        /// How it ended.
        end: End,
    },
    /// An operator released a held task: its attempt counts as evicted and may be replaced.
    Release {
        /// Name of the operator's key.
        operator: Name,
        /// The attempt that the operator has found to be over.
        attempt: task::Attempt,
    },
    /// The writer claims the right to send a non-idempotent request once.
    Claim {
        /// Hash of the request's content, by which a request with another content under the same id
        /// is detected.
        digest: u64,
        /// Number of the submission that may send it, unique across all instances and their
        /// restarts.
        sender: u64,
    },
    /// Outcome of a non-idempotent request: its answer, or that it did not run.
    Answer(request::Answer),
}

/// How an attempt ended, reduced to what the ledger distinguishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It succeeded, with its result.
    Completed(String),
    /// It ran and failed.
    Failed(String),
    /// It was ended by the system before it completed; the task may be placed again without using up
    /// an attempt.
    Evicted,
}

/// A record of a stream of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its unique id.
    pub id: Id,
    /// When it was written, by its writer's clock.
    pub at: Millis,
    /// The register that it changes.
    pub register: Register,
    /// The version of the register that it expects.
    pub expect: u64,
    /// The change to the register.
    pub change: Change,
}
