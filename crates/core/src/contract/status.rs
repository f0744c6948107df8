//! States of jobs and refusals, as returned to callers.

use crate::clock::Millis;
use crate::contract::request::Reason;
use crate::contract::{job, task};
use crate::finding::{Finding, List};
use crate::ledger::history;
use crate::ledger::replica;
use serde::{Deserialize, Serialize};

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id of the job.
    pub id: job::Id,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether all its tasks are in a final state.
    pub ended: bool,
    /// State of each task, by index.
    pub tasks: Vec<Task>,
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// State in the ledger.
    pub state: task::State,
    /// Number of the last attempt.
    pub attempt: task::Attempt,
    /// Result, or the reason of the last failure.
    pub result: String,
}

impl From<&replica::Entry> for Job {
    fn from(entry: &replica::Entry) -> Self {
        let task = |t: &replica::Task| Task {
            state: t.state.clone(),
            attempt: t.attempt,
            result: t.result.clone(),
        };
        Self {
            id: entry.job.id.clone(),
            cancelled: entry.cancelled,
            ended: entry.tasks.iter().all(|t| t.state.is_final()),
            tasks: entry.tasks.iter().map(task).collect(),
        }
    }
}

/// A refusal or an error, with all findings about the input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the work certainly has not run and will not run. If `false`, this is not known, and
    /// the caller should ask by id.
    pub not_run: bool,
    /// Reason of the refusal, unless the input is invalid.
    pub reason: Option<Reason>,
    /// Time after which to retry.
    pub retry_after_ms: Option<Millis>,
    /// Errors in the input.
    pub findings: Vec<Finding>,
    /// For a patch whose base version is not current: the history since that version.
    #[serde(default)]
    pub since: Vec<history::Entry>,
}

impl Refusal {
    /// Returns a refusal of work that has not run and will not run.
    pub const fn not_run(reason: Reason, retry_after: Millis) -> Self {
        Self {
            not_run: true,
            reason: Some(reason),
            retry_after_ms: Some(retry_after),
            findings: Vec::new(),
            since: Vec::new(),
        }
    }

    /// Returns a refusal of invalid input.
    pub fn invalid(findings: &List) -> Self {
        Self {
            not_run: true,
            reason: None,
            retry_after_ms: None,
            findings: findings.as_slice().to_vec(),
            since: Vec::new(),
        }
    }

    /// Returns the error that it is not known whether the work was accepted.
    pub const fn unknown() -> Self {
        Self {
            not_run: false,
            reason: None,
            retry_after_ms: None,
            findings: Vec::new(),
            since: Vec::new(),
        }
    }
}
