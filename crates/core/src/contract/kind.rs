//! Kinds of work, which operators define in the configuration.

use crate::contract::class::Class;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Relation between the tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Tasks run until the job is cancelled and are spread over failure domains. A lost task is
    /// started again.
    Service,
    /// Tasks run to completion independently of each other and can be checkpointed and preempted.
    Batch,
    /// All tasks run at the same time, or none does.
    Gang,
}

/// What happens to a running task when its controller can reach neither the log nor all peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Separation {
    /// The task's lease expires, after which the task may be started on another worker.
    Move,
    /// The task continues. It is not started elsewhere until its worker answers again or an
    /// operator releases it.
    Hold,
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Unique name.
    pub name: Name,
    /// Relation between the tasks of a job.
    pub shape: Shape,
    /// What happens to running tasks under a network partition. Can't be changed later.
    pub separation: Separation,
    /// Class of jobs that don't specify one.
    pub class: Class,
    /// Number of failed attempts of a task after which the task fails for good.
    pub attempts: u32,
}
