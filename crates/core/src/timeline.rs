//! The time line: what each process did, as events that can be put into one causal order.
//!
//! Every process numbers its events from 1 without gaps, and names the event that caused an event
//! when that happened in another process. [`merge`] orders the events of several processes by
//! these two facts, and by their clocks only where neither says anything, so that a clock that is
//! wrong never shows an effect before its cause. The daemon writes events as JSON lines.

mod merge;
#[cfg(test)]
mod tests;
mod what;

pub use merge::{Gap, Line, merge};
pub use what::{Outcome, What};

use crate::clock::Millis;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Number of the first event of a process.
pub const FIRST: u64 = 1;

/// Identity of an event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Process in which it happened. A restarted process has another name.
    pub process: Name,
    /// Position among the events of the process, from [`FIRST`], without gaps.
    pub sequence: u64,
}

/// Something that happened in one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Process in which it happened. A restarted process has another name.
    pub process: Name,
    /// Duty within the process.
    pub duty: Name,
    /// When it happened, by the clock of the process.
    pub at: Millis,
    /// Position among the events of the process, from [`FIRST`], without gaps.
    pub sequence: u64,
    /// The event in another process, or earlier in this one, that led to it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Point>,
    /// What happened.
    pub what: What,
}
