//! Tasks: the parts of a job that run on workers. Each run of a task is an attempt.

use crate::contract::job;
use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of an attempt of a task; the first is 1.
pub type Attempt = u32;

/// Id of a task, written as `JOB/INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Id of the job.
    pub job: job::Id,
    /// Index of the task in the job, from 0.
    pub index: u32,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// State of a task in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The task waits to be placed on a worker.
    Waiting,
    /// An attempt is recorded and may be running.
    Placed {
        /// Name of the worker.
        worker: Name,
        /// Epoch of the worker's controller under which the attempt was recorded.
        epoch: u64,
    },
    /// Final state: an attempt succeeded.
    Completed,
    /// Final state: too many attempts have failed.
    Failed,
    /// Final state: the job was cancelled.
    Cancelled,
}

impl State {
    /// Returns whether the state is final.
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
