//! Messages of callers and operators, as JSON.
//!
//! Callers: `POST /v1/jobs` with [`job::Raw`], `GET /v1/jobs/{id}?team=T`,
//! `DELETE /v1/jobs/{id}?team=T` give [`Job`]; `POST /v1/requests` with
//! [`request::Raw`](pimentovalve_core::contract::request::Raw) and
//! `GET /v1/requests/{id}?team=T` give an [`Answer`].
//! Operators: `POST /v1/configuration?base=N` with TOML, `GET /v1/configuration`,
//! `GET /v1/configuration/history`, `GET /v1/ledger/{stream}`, `POST /v1/release`.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request::{Answer, Reason};
use pimentovalve_core::contract::{job, task};
use pimentovalve_core::finding::Finding;
use pimentovalve_core::ledger::Offset;
use pimentovalve_core::ledger::history::Entry;
use pimentovalve_core::ledger::record::Record;
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
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub since: Vec<Entry>,
}

/// One record of a stream with its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its position.
    pub offset: Offset,
    /// The record.
    pub record: Record,
}

/// Re-exported for clients: the answer to a request.
pub type Reply = Answer;
