//! Messages between daemons, as MessagePack.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::configuration::Version;
use pimentovalve_core::contract::job::Job;
use pimentovalve_core::contract::request::{Answer, Request};
use pimentovalve_core::contract::{job, request, task};
use pimentovalve_core::ledger::Offset;
use pimentovalve_core::ledger::fleet::Fleet;
use pimentovalve_core::ledger::history::History;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{Ended, Epoch, Start, Worker};
use pimentovalve_core::name::Name;
use serde::{Deserialize, Serialize};

use crate::caller;

/// A sign of life, sent by each daemon to each other one, and its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// The sender.
    pub from: Name,
    /// Whether the sender is draining and owns nothing new.
    pub draining: bool,
    /// Configuration in force at the sender.
    pub version: Version,
    /// Next offset of the configuration stream at the sender.
    pub history_next: Offset,
    /// Next offset of the fleet stream at the sender.
    pub fleet_next: Offset,
    /// Instant as of which the sender's view of the fleet stream is complete.
    pub fleet_as_of: Millis,
    /// Instant as of which the sender's view of the configuration stream is complete.
    pub history_as_of: Millis,
    /// Whether an append of a loss by the sender may still land.
    pub loss_pending: bool,
}

/// A wish for what a peer has of the streams that everybody reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Next offset of the configuration stream at the sender.
    pub history_next: Offset,
    /// Next offset of the fleet stream at the sender.
    pub fleet_next: Offset,
}

/// Answer to [`Pull`]: what is newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulled {
    /// The configuration with its history, when it is newer.
    pub history: Option<History>,
    /// The losses, when they are newer.
    pub fleet: Option<Fleet>,
    /// Instant as of which the peer's view of the fleet stream is complete.
    pub fleet_as_of: Millis,
    /// Instant as of which the peer's view of the configuration stream is complete.
    pub history_as_of: Millis,
}

/// A wish of a steward to a controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wish {
    /// Hold capacity for an attempt until it is started or `until` has passed.
    Reserve {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: task::Attempt,
        /// The capacity.
        needs: Capacity,
        /// When the reservation lapses.
        until: Millis,
    },
    /// Give a reservation back.
    Release {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
    },
    /// Start a recorded attempt. Repeated until the attempt is seen to run or to be over.
    Start {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: task::Attempt,
        /// What the worker must know.
        start: Start,
    },
    /// Stop an attempt; a checkpoint is saved first if asked for.
    Stop {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: task::Attempt,
        /// Whether to save progress.
        checkpoint: bool,
    },
}

/// Wishes to one controller, in one message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wishes {
    /// The steward.
    pub from: Name,
    /// What it wants.
    pub wishes: Vec<Wish>,
}

/// Answer to one wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Grant {
    /// Capacity is held under this epoch.
    Reserved {
        /// The controller's epoch.
        epoch: Epoch,
    },
    /// The wish is being carried out.
    Accepted,
    /// The attempt is over or can never start: its epoch is past and the worker lacks it.
    Absent,
    /// The capacity isn't there.
    Full,
    /// The sender must ask another instance: this one doesn't control the worker.
    Elsewhere,
}

/// Answers to [`Wishes`], in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// One answer for each wish.
    pub grants: Vec<Grant>,
}

/// One worker in a controller's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The worker.
    pub worker: Worker,
    /// Epoch of its controller.
    pub epoch: Epoch,
    /// Capacity that is neither taken nor reserved.
    pub free: Capacity,
    /// Whether it takes no new work: leaving, silent or quarantined.
    pub closed: bool,
    /// Instant as of which this holds.
    pub as_of: Millis,
}

/// A controller's report of its workers to a steward: only what changed since the last one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standings {
    /// The controller.
    pub from: Name,
    /// Changed workers.
    pub standings: Vec<Standing>,
    /// Ended attempts of the steward's jobs, repeated until acknowledged.
    pub ended: Vec<Ending>,
}

/// An ended attempt, with the worker on which it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// The worker.
    pub worker: Name,
    /// What the worker said.
    pub ended: Ended,
}

/// Answer to [`Standings`]: the ended attempts that are recorded in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// Worker and sequence of each.
    pub recorded: Vec<(Name, u64)>,
}

/// What an entry instance asks of the steward of a team's partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// Accept a job.
    Submit(Job),
    /// Tell the state of a job.
    Status {
        /// Its team.
        team: Name,
        /// The job.
        job: job::Id,
    },
    /// Cancel a job.
    Cancel {
        /// Its team.
        team: Name,
        /// The job.
        job: job::Id,
    },
    /// Tell the answer to a non-idempotent request.
    Answered {
        /// Its team.
        team: Name,
        /// The request.
        request: request::Id,
    },
    /// Claim the key of a non-idempotent request, for the sender to send it once.
    Claim {
        /// The request.
        request: Request,
    },
    /// Record the answer to a claimed request.
    Settle {
        /// Its team.
        team: Name,
        /// The request.
        request: request::Id,
        /// The answer.
        answer: Answer,
    },
    /// Release a held task.
    Release {
        /// Its team.
        team: Name,
        /// The task.
        task: task::Id,
        /// The attempt that the operator knows to be over.
        attempt: task::Attempt,
        /// Name of the operator's key.
        operator: Name,
    },
}

/// Answer to [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// The job as it is now.
    Job(caller::Job),
    /// The answer as it is known now.
    Answer(Answer),
    /// The key is claimed: send the request, once.
    Claimed,
    /// The answer or the release is recorded.
    Settled,
    /// There is no such job or request.
    Nothing,
    /// Refused.
    Refused(caller::Refusal),
    /// The sender must ask another instance: this one isn't the steward.
    Elsewhere,
}

/// A request that is handed to the controller of a runner's worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The request; its waiting time is what is left of it.
    pub request: Request,
    /// The runner.
    pub runner: Name,
    /// Unique name of this try.
    pub attempt: Name,
}

/// Answer to [`Forward`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Forwarded {
    /// The runner's answer.
    Done {
        /// Content.
        body: String,
    },
    /// The request did not run here, and may be tried elsewhere.
    NotRun,
    /// The request may have run.
    Unknown,
}
