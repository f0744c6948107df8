//! What callers are told of their work.

use crate::clock::Millis;
use crate::contract::request::Reason;
use crate::contract::{job, task};
use crate::finding::{Finding, List};
use crate::ledger::book;
use crate::ledger::history;
use serde::{Deserialize, Serialize};

/// What is known of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job.
    pub id: job::Id,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether all its tasks have ended for good.
    pub ended: bool,
    /// Its tasks, by index.
    pub tasks: Vec<Task>,
}

/// What is known of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Where it is in its life.
    pub state: task::State,
    /// Number of the last attempt.
    pub attempt: task::Attempt,
    /// Result, or the reason of the last failure.
    pub result: String,
}

impl From<&book::Entry> for Job {
    fn from(entry: &book::Entry) -> Self {
        let task = |t: &book::Task| Task {
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

/// A refusal or an error, with everything that was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the work is certain not to have run and not to run; `false` says that it is not
    /// known, and that the caller should ask by id.
    pub not_run: bool,
    /// Why, when it isn't the input's fault.
    pub reason: Option<Reason>,
    /// When to come back, from now.
    pub retry_after_ms: Option<Millis>,
    /// What is wrong with the input.
    pub findings: Vec<Finding>,
    /// For a patch on a version that isn't current: the versions in between.
    #[serde(default)]
    pub since: Vec<history::Entry>,
}

impl Refusal {
    /// Returns a refusal of work that did not run and will not.
    pub const fn not_run(reason: Reason, retry_after: Millis) -> Self {
        Self {
            not_run: true,
            reason: Some(reason),
            retry_after_ms: Some(retry_after),
            findings: Vec::new(),
            since: Vec::new(),
        }
    }

    /// Returns a refusal of wrong input.
    pub fn wrong(findings: &List) -> Self {
        Self {
            not_run: true,
            reason: None,
            retry_after_ms: None,
            findings: findings.as_slice().to_vec(),
            since: Vec::new(),
        }
    }

    /// Returns the answer that it isn't known whether the work was accepted.
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
