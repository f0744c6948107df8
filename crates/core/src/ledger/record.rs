//! Records of the ledger.

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
/// With it a writer whose append was not answered finds its own record when it reads back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Instance that wrote the record. A restarted instance has another name.
    pub writer: Name,
    /// Number that the instance uses once.
    pub number: u64,
}

/// What a record changes.
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
    /// The worker is lost: its leases under this epoch and earlier ones are renewed no more.
    Lost {
        /// Last epoch that is lost.
        epoch: Epoch,
    },
    /// A job is accepted.
    Submit {
        /// The job.
        job: Job,
        /// Its kind of work as it is at acceptance; later patches don't change an accepted job.
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
        /// The loss whose fence has passed, if the attempt before was not known to be over.
        fence: Option<Offset>,
    },
    /// An attempt is over, as its worker said.
    Over {
        /// The attempt.
        attempt: task::Attempt,
        /// How it ended.
        end: End,
    },
    /// The attempts of a task that is held may be replaced: an operator released it.
    Release {
        /// Name of the operator's key.
        operator: Name,
        /// The attempt that the operator knows to be over.
        attempt: task::Attempt,
    },
    /// A non-idempotent request may be sent, once, by the writer.
    Claim {
        /// Hash of the request's content, so that another content under the same id is told.
        digest: u64,
        /// Number of the submission that may send it, unique over all instances and starts.
        sender: u64,
    },
    /// A non-idempotent request was answered, or is known not to have run.
    Answer(request::Answer),
}

/// How an attempt ended, as far as the ledger is concerned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It succeeded, with its result.
    Completed(String),
    /// It ran and failed.
    Failed(String),
    /// It did not run to its end, through no fault of its own, and may be placed again.
    Evicted,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its unique id.
    pub id: Id,
    /// When it was written, by its writer's clock.
    pub at: Millis,
    /// What it changes.
    pub register: Register,
    /// The version of the register on which it rests.
    pub expect: u64,
    /// How it changes it.
    pub change: Change,
}
