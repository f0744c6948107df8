//! Kinds of work, which operators create.

use crate::contract::class::Class;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Runs until it is cancelled; spread over failure domains; a lost task is started again.
    Service,
    /// Each task runs to its end by itself; can wait, be checkpointed and preempted.
    Batch,
    /// All tasks run at once or none does.
    Gang,
}

/// What happens to a running task when neither the log nor all peers can be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Separation {
    /// Its lease lapses; another place may start it.
    Move,
    /// It goes on; nobody else starts it until the worker answers or an operator releases it.
    Hold,
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Unique name.
    pub name: Name,
    /// How the tasks of a job belong together.
    pub shape: Shape,
    /// What happens when a worker is separated from everything.
    pub separation: Separation,
    /// Class of jobs that name none.
    pub class: Class,
    /// Attempts of a task that may fail before the job fails.
    pub attempts: u32,
}
