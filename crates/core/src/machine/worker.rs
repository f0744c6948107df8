//! Types of the protocol between a worker and its controller: orders, replies and reports.
//!
//! [`crate::machine::arbiter`] implements the rules by which a worker handles orders.

use crate::clock::Millis;
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::name::Name;
use crate::zone::Place;
use serde::{Deserialize, Serialize};

/// Number of a worker's ownership term; every adoption increments it. Orders of another epoch are
/// refused.
pub type Epoch = u64;

/// A worker machine, its location and its total capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Unique name.
    pub name: Name,
    /// Region, failure domain and rack.
    pub place: Place,
    /// Total capacity available to tasks.
    pub capacity: Capacity,
}

/// A controller's order for one attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The task.
    pub task: task::Id,
    /// The attempt of the task.
    pub attempt: task::Attempt,
    /// The action to carry out on the attempt.
    pub action: Action,
}

/// The action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Start the attempt.
    Start(Start),
    /// Extend the lease of a running attempt; never starts one.
    Renew {
        /// New end of the lease.
        until: Millis,
    },
    /// Stop the attempt.
    Stop,
    /// Save a checkpoint of the attempt, then stop it.
    Checkpoint,
    /// Limit the attempt's processor time.
    Throttle {
        /// Percentage of the attempt's reserved processor time that it may use.
        percent: u8,
    },
}

/// Details of a start order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Epoch under which the attempt was recorded; the worker refuses any but its current one.
    pub epoch: Epoch,
    /// Capacity reserved for the attempt.
    pub needs: Capacity,
    /// The worker refuses the order after this instant.
    pub start_by: Millis,
    /// End of the initial lease.
    pub until: Millis,
    /// Team of the job, by which the controller finds the steward to report to.
    pub team: Name,
    /// Kind of work, which determines what the worker runs.
    pub kind: Name,
    /// Input of the task, as submitted by the caller.
    pub payload: String,
    /// Whether a checkpoint of an earlier attempt may be resumed.
    pub resume: bool,
}

/// A worker's reply to one order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The order has taken effect, now or earlier.
    Done,
    /// The order had no effect.
    Refused(Refusal),
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The sender's epoch, or that of the attempt's record, is not the worker's current epoch.
    Epoch,
    /// The order arrived after its `start_by` or after the end of the initial lease.
    Late,
    /// The attempt would exceed the worker's capacity.
    Capacity,
    /// Another attempt of the task is running, or this or a later attempt already ended or was
    /// refused.
    Conflict,
    /// The attempt isn't running.
    Absent,
    /// The worker is leaving and starts nothing.
    Leaving,
    /// The worker has reached its limit of remembered attempts and starts nothing until some
    /// expire.
    Full,
}

/// A running attempt in a worker's inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The running task.
    pub task: task::Id,
    /// The running attempt.
    pub attempt: task::Attempt,
    /// Epoch under which the attempt was recorded.
    pub epoch: Epoch,
    /// Team of the job.
    pub team: Name,
    /// Kind of work of the job.
    pub kind: Name,
    /// Capacity reserved for it.
    pub needs: Capacity,
    /// End of its lease.
    pub until: Millis,
    /// Usage when last sampled.
    pub usage: Capacity,
}

impl RunningAttempt {
    /// Returns the inventory entry of an attempt that a start order has just started.
    pub fn started(order: &Order, start: &Start) -> Self {
        Self {
            task: order.task.clone(),
            attempt: order.attempt,
            epoch: start.epoch,
            team: start.team.clone(),
            kind: start.kind.clone(),
            needs: start.needs,
            until: start.until,
            usage: Capacity::ZERO,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It succeeded, with this result.
    Completed(String),
    /// It ran and failed, for this reason.
    Failed(String),
    /// An order stopped it.
    Stopped,
    /// An order checkpointed and stopped it; it can be resumed.
    Checkpointed,
    /// Its lease expired.
    Lapsed,
}

/// An ended attempt, reported until the controller acknowledges it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Position in the worker's sequence of reports.
    pub sequence: u64,
    /// The ended task.
    pub task: task::Id,
    /// The ended attempt.
    pub attempt: task::Attempt,
    /// Team of the job.
    pub team: Name,
    /// How it ended.
    pub ending: Ending,
    /// Peak usage, for size estimates.
    pub peak: Capacity,
    /// Run time.
    pub ran_ms: Millis,
}

/// The state that a worker reports to its controller at adoption and in heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The worker itself.
    pub worker: Worker,
    /// Its current epoch.
    pub epoch: Epoch,
    /// Its current controller, if any.
    pub controller: Option<Name>,
    /// Whether it is leaving and starts nothing new.
    pub leaving: bool,
    /// Running attempts, sorted by task.
    pub running: Vec<RunningAttempt>,
    /// Ended attempts not yet acknowledged, in order of sequence number.
    pub ended: Vec<Ended>,
}

impl Inventory {
    /// Returns the capacity not reserved for running attempts.
    pub fn free(&self) -> Capacity {
        let taken = self.running.iter().fold(Capacity::ZERO, |sum, h| sum.plus(&h.needs));
        self.worker.capacity.saturating_sub(&taken)
    }
}
