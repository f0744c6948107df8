//! The ledger: versioned registers on top of the platform's log, by which instances agree.
//!
//! The log gives every stream a total order. Every record names the register that it changes and
//! the version of that register that it expects. Replay accepts the record only if that version is
//! current (compare-and-set), so that of several conflicting records the one with the lowest offset
//! wins and all readers agree. Model: `specs/claim.tla` and `specs/configuration.tla`.
//!
//! [`replica`] replays a partition (jobs, tasks, keys), [`fleet`] the losses of workers and
//! [`history`] the configuration. [`append`] writes records, [`attempt`] decides when a task may be
//! placed again, and [`currency`] until when a view counts as current.

pub mod append;
pub mod attempt;
pub mod currency;
pub mod fleet;
pub mod history;
pub mod record;
pub mod replica;
pub mod shard;
pub mod snapshot;

use crate::name::Name;
use crate::zone::stewardship;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Position of a record in its stream, from 0.
pub type Offset = u64;

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stream {
    /// Configuration patches, read by every instance.
    Configuration,
    /// Losses of workers, read by every instance.
    Fleet,
    /// Jobs, tasks and keys of the teams of one partition, read by its steward.
    Partition(u16),
}

impl Stream {
    /// Returns the stream of the partition that a team is hashed to, out of `partitions`.
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

/// Result of replaying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// The record expects another version of the register than the current one, usually because a
    /// conflicting record has a lower offset.
    Stale {
        /// Current version of the register.
        current: u64,
    },
    /// The record expects the current version, but its change is not permitted in the current state
    /// of the register, or the record is in the wrong stream.
    Illegal,
}

/// Returns the verdict on a record: a version mismatch is reported before an illegal change.
pub(crate) const fn judge(expected: u64, current: u64, legal: bool) -> Verdict {
    if expected != current {
        Verdict::Stale { current }
    } else if legal {
        Verdict::Accepted
    } else {
        Verdict::Illegal
    }
}
