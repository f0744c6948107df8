//! Tasks: the parts of a job that run on workers, attempt by attempt.

use crate::contract::job;
use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of an attempt of a task; the first is 1.
pub type Attempt = u32;

/// Identity of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The job.
    pub job: job::Id,
    /// Position in the job, from 0.
    pub index: u32,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Where a task is in its life, as the ledger has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Waits for a place.
    Waiting,
    /// An attempt is recorded, and may run.
    Placed {
        /// The worker.
        worker: Name,
        /// Epoch under which the attempt was recorded.
        epoch: u64,
    },
    /// Ended for good, successfully.
    Completed,
    /// Ended for good, after too many failed attempts.
    Failed,
    /// Ended for good by a cancellation.
    Cancelled,
}

impl State {
    /// Returns whether the task has ended for good.
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
