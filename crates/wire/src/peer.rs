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

pub use pimentovalve_core::contract::steward::{Ask, Told};
pub use pimentovalve_core::machine::controller::{Ending, Grant, Standing, Wish};

/// A sign of life, sent by each daemon to each other one, and its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// The sender.
    pub from: Name,
    /// When it says this, by its clock.
    pub at: Millis,
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
    /// What the sender's policy tells other policies.
    pub tidings: Tidings,
}

/// What the policy of one instance tells those of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tidings {
    /// What the sender's teams use and wait for, when it changed or was not told lately.
    pub totals: Option<Box<Totals>>,
    /// Failures that the sender saw lately.
    pub news: Vec<News>,
}

/// A failure that an instance saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Number that rises with each failure that the instance saw, over its restarts too.
    pub number: u64,
    /// The failure.
    pub failure: Failure,
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
    /// Next offset of the configuration stream at the peer.
    pub history_next: Offset,
    /// Next offset of the fleet stream at the peer.
    pub fleet_next: Offset,
    /// Instant as of which the peer's view of the fleet stream is complete.
    pub fleet_as_of: Millis,
    /// Instant as of which the peer's view of the configuration stream is complete.
    pub history_as_of: Millis,
}

/// Wishes to one controller, in one message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wishes {
    /// The steward.
    pub from: Name,
    /// What it wants.
    pub wishes: Vec<Wish>,
}

/// Answers to [`Wishes`], in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// One answer for each wish.
    pub grants: Vec<Grant>,
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

/// Answer to [`Standings`]: the ended attempts that are recorded in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// Worker and sequence of each.
    pub recorded: Vec<(Name, u64)>,
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
    /// As [`Self::NotRun`]: all runners here are in use.
    Busy {
        /// When there may be room.
        retry_after_ms: Millis,
    },
    /// The request may have run.
    Unknown,
}
