//! The time line: events of each process, which can be merged into one causal order.
//!
//! Every process numbers its events from 1 without gaps, and an event that was caused by one in
//! another process refers to it. [`merge`] orders the events of several processes by sequence and
//! cause, and by their clocks only where these leave the order open, so that clock skew never places
//! an effect before its cause. The daemon writes events as JSON lines.

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

/// An event in one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Process in which it happened. A restarted process has another name.
    pub process: Name,
    /// Duty of the process that reported it.
    pub duty: Name,
    /// When it happened, by the clock of the process.
    pub at: Millis,
    /// Position among the events of the process, from [`FIRST`], without gaps.
    pub sequence: u64,
    /// The event that caused it, in another process or earlier in this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Point>,
    /// What happened.
    pub what: What,
}
