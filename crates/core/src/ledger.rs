//! The ledger: the one rule by which instances agree, on top of the platform's log.
//!
//! The log gives every stream a total order. Every record names the register that it changes and
//! the version of that register on which it rests; replay accepts it exactly when that version is
//! current. So the first record by offset wins, and every reader agrees. Model:
//! `specs/claim.tla` and `specs/configuration.tla`.
//!
//! [`book`] replays a partition (jobs, tasks, keys), [`fleet`] the losses of workers and
//! [`history`] the configuration. [`append`] writes records, [`attempt`] says when a task may be
//! placed again, [`currency`] until when a view may be rested on.

pub mod append;
pub mod attempt;
pub mod book;
pub mod currency;
pub mod fleet;
pub mod history;
pub mod record;
pub mod shard;
pub mod snapshot;

use crate::name::Name;
use crate::zone::stewardship;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Position of a record in its stream.
pub type Offset = u64;

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stream {
    /// Configuration patches; read by every instance.
    Configuration,
    /// Losses of workers; read by every instance.
    Fleet,
    /// Jobs, tasks and keys of the teams of one partition; read by its steward.
    Partition(u16),
}

impl Stream {
    /// Returns the partition that holds the work of a team, out of `partitions`.
    pub fn of_team(team: &Name, partitions: u16) -> Self {
        let hash = stewardship::hash(&["team", team.as_str()]);
        let index = hash % u64::from(partitions.max(1));
        Self::Partition(u16::try_from(index).unwrap_or_default())
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration => f.write_str("configuration"),
            Self::Fleet => f.write_str("fleet"),
            Self::Partition(index) => write!(f, "partition-{index}"),
        }
    }
}

/// What replay made of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record is in force.
    Accepted,
    /// Another record came first; the register has the version `current`.
    Stale {
        /// Present version of the register.
        current: u64,
    },
    /// The record rests on the current version but may not follow it, or is in a wrong stream.
    Illegal,
}

/// Applies the one rule: a record is accepted when it expects the current version.
pub(crate) const fn judge(expected: u64, current: u64, legal: bool) -> Verdict {
    if expected != current {
        Verdict::Stale { current }
    } else if legal {
        Verdict::Accepted
    } else {
        Verdict::Illegal
    }
}
