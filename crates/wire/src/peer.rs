//! Messages between daemons, as MessagePack.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::configuration::Version;
use pimentovalve_core::contract::request::Request;
use pimentovalve_core::contract::share::Totals;
use pimentovalve_core::ledger::Offset;
use pimentovalve_core::ledger::fleet::Fleet;
use pimentovalve_core::ledger::history::History;
use pimentovalve_core::machine::health::Failure;
use pimentovalve_core::name::Name;
use serde::{Deserialize, Serialize};

pub use pimentovalve_core::contract::steward::{Query, StewardReply};
pub use pimentovalve_core::machine::controller::{Ending, Grant, Operation, WorkerStatus};

/// A ping between two daemons. The answer to a ping is the receiver's own ping.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Name of the sender.
    pub from: Name,
    /// Time stamp of the message, by the sender's clock.
    pub at: Millis,
    /// Whether the sender is draining and takes over no partitions or workers.
    pub draining: bool,
    /// Version of the configuration at the sender.
    pub version: Version,
    /// Next offset of the configuration stream at the sender.
    pub history_next: Offset,
    /// Next offset of the fleet stream at the sender.
    pub fleet_next: Offset,
    /// Instant as of which the sender's view of the fleet stream is complete.
    pub fleet_as_of: Millis,
    /// Instant as of which the sender's view of the configuration stream is complete.
    pub history_as_of: Millis,
    /// Whether a loss that the sender published may still take effect.
    pub loss_pending: bool,
    /// Data for the placement policy of the receiver.
    #[serde(rename = "tidings")]
    pub policy: PolicyUpdate,
}

/// Data that the placement policies of the instances exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyUpdate {
    /// Capacity that the sender's teams use and wait for. It is sent when it changed, and at
    /// regular intervals.
    pub totals: Option<Box<Totals>>,
    /// Recent failures that the sender saw. Consecutive pings repeat them.
    #[serde(rename = "news")]
    pub failures: Vec<NumberedFailure>,
}

/// A failure that an instance saw, with a number by which receivers detect repetitions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedFailure {
    /// Grows with each failure that the instance sees, also across its restarts.
    pub number: u64,
    /// The worker on which a task failed, and a hash of the job's id.
    pub failure: Failure,
}

/// A request for a peer's configuration and fleet state, if it is newer than the sender's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Next offset of the configuration stream at the sender.
    pub history_next: Offset,
    /// Next offset of the fleet stream at the sender.
    pub fleet_next: Offset,
}

/// Answer to [`Pull`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulled {
    /// The configuration and its earlier versions, if newer.
    pub history: Option<History>,
    /// The recorded losses of workers, if newer.
    pub fleet: Option<Fleet>,
    /// Next offset of the configuration stream at the peer.
    pub history_next: Offset,
    /// Next offset of the fleet stream at the peer.
    pub fleet_next: Offset,
    /// Instant as of which the peer's view of the fleet stream is complete.
    pub fleet_as_of: Millis,
    /// Instant as of which the peer's view of the configuration stream is complete.
    pub history_as_of: Millis,
}

/// Operations that a steward requests of one controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operations {
    /// Name of the steward's instance.
    pub from: Name,
    /// Reservations, releases, starts and stops, in order.
    #[serde(rename = "wishes")]
    pub operations: Vec<Operation>,
}

/// Answer to [`Operations`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// One answer for each operation, in the same order.
    pub grants: Vec<Grant>,
}

/// A controller's report of its workers to a steward, which contains only changes since the last
/// one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatuses {
    /// Name of the controller's instance.
    pub from: Name,
    /// Present state of the changed workers.
    #[serde(rename = "standings")]
    pub statuses: Vec<WorkerStatus>,
    /// Ended attempts of the steward's jobs, repeated until acknowledged.
    pub ended: Vec<Ending>,
}

/// Answer to [`WorkerStatuses`]: the ended attempts that are recorded in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// Worker and sequence of each such attempt.
    pub recorded: Vec<(Name, u64)>,
}

/// A request that is forwarded to the controller of a runner's worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The request, with the rest of its waiting time.
    pub request: Request,
    /// The runner that the sender chose.
    pub runner: Name,
    /// Globally unique name of this try.
    pub attempt: Name,
}

/// Answer to [`Forward`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Forwarded {
    /// The runner answered.
    Done {
        /// Body of the runner's answer.
        body: String,
    },
    /// The request did not run and may be sent elsewhere.
    NotRun,
    /// As [`Self::NotRun`], because all runners of the instance are in use.
    Busy {
        /// When a slot may be free.
        retry_after_ms: Millis,
    },
    /// The request may have run.
    Unknown,
}
