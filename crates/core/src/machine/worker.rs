//! The worker: what it is, what a controller orders of it and what it reports.
//!
//! These are the types of the protocol between a worker and its controller. What is assumed of
//! a worker is written down as code in [`crate::machine::arbiter`].

use crate::clock::Millis;
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::name::Name;
use crate::zone::Place;
use serde::{Deserialize, Serialize};

/// Number of a controller's ownership of a worker. Every adoption raises it.
pub type Epoch = u64;

/// A worker as the fleet knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Unique name.
    pub name: Name,
    /// Where it stands.
    pub place: Place,
    /// Everything that it can give to tasks.
    pub capacity: Capacity,
}

/// What a controller orders for one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The task that the order is about.
    pub task: task::Id,
    /// The attempt that the order is about.
    pub attempt: task::Attempt,
    /// What to do.
    pub action: Action,
}

/// What to do with a task.
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
    /// Save the attempt's progress, then stop it.
    Checkpoint,
    /// Limit the attempt's processor time.
    Throttle {
        /// Percentage of the need that the attempt may use.
        percent: u8,
    },
}

/// Everything that a worker must know to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Epoch in the attempt's record; the worker refuses any other than its present one.
    pub epoch: Epoch,
    /// Capacity that the attempt takes.
    pub needs: Capacity,
    /// The worker refuses the order after this instant.
    pub start_by: Millis,
    /// End of the first lease.
    pub until: Millis,
    /// Team of the job, which tells the controller where to report.
    pub team: Name,
    /// Name of the kind of work, which tells the worker what to run.
    pub kind: Name,
    /// Input of the task, as the caller gave it.
    pub payload: String,
    /// Whether a checkpoint of an earlier attempt may be resumed.
    pub resume: bool,
}

/// Answer to one order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The order took effect, or had taken effect before.
    Done,
    /// The order had no effect.
    Refused(Refusal),
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The sender's epoch, or that of the attempt's record, is not the worker's present epoch.
    Epoch,
    /// The order came after its `start_by`.
    Late,
    /// The task would exceed the worker's capacity.
    Capacity,
    /// Another attempt of the task runs here, or this one ended before.
    Conflict,
    /// The attempt doesn't run here.
    Absent,
    /// The worker is leaving and starts nothing.
    Leaving,
    /// The worker remembers as many ended attempts as it can and starts nothing for the moment.
    Full,
}

/// A running attempt in a worker's inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
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
    /// Capacity that it takes.
    pub needs: Capacity,
    /// End of its lease.
    pub until: Millis,
    /// Usage at the last sample, which lags.
    pub usage: Capacity,
}

impl Holding {
    /// Returns the holding of an attempt that a start order has just begun.
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
    /// Succeeded, with its result.
    Completed(String),
    /// Ran and failed, with the reason.
    Failed(String),
    /// Was stopped by an order.
    Stopped,
    /// Was checkpointed by an order and can be resumed.
    Checkpointed,
    /// Its lease lapsed.
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
    /// Greatest usage that was seen, for size estimates.
    pub peak: Capacity,
    /// How long it ran.
    pub ran_ms: Millis,
}

/// Everything that a worker tells its controller at adoption and at each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The worker itself.
    pub worker: Worker,
    /// Its present epoch.
    pub epoch: Epoch,
    /// Its present controller, if it has one.
    pub controller: Option<Name>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Running attempts, sorted by task.
    pub running: Vec<Holding>,
    /// Ended attempts that were not acknowledged yet, in sequence.
    pub ended: Vec<Ended>,
}

impl Inventory {
    /// Returns the capacity that is not taken by running attempts.
    pub fn free(&self) -> Capacity {
        let taken = self.running.iter().fold(Capacity::ZERO, |sum, h| sum.plus(&h.needs));
        self.worker.capacity.saturating_sub(&taken)
    }
}
