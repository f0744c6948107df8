//! What the steward publishes, and the clocks.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::link::pace::Pace;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reading of the steady clock when the process first looks at it: instants before it can be told.
const START: u64 = 1_000_000;

/// What the steward publishes to the other duties.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardStatus {
    /// Epoch of this daemon's claim while it owns the shard.
    pub epoch: Option<u64>,
    /// Where the owner's peers reach it; empty when nobody owns the shard.
    pub owner: Box<str>,
    /// Whether the whole log has been read once.
    pub caught_up: bool,
    /// When the log was last read to its end, on the steady clock.
    pub log_read_at: Millis,
    /// When that read began: the book has all that was appended before.
    pub covered_until: Millis,
    /// How fast the store answers.
    pub pace: Pace,
}

impl ShardStatus {
    /// Returns whether this daemon owns the shard.
    pub const fn owns(&self) -> bool {
        self.epoch.is_some()
    }
}

/// Returns the reading of the steady clock, which no change of the time of day moves.
pub fn now() -> Millis {
    static EPOCH: OnceLock<Instant> = OnceLock::new();
    Millis(START) + Millis::from(EPOCH.get_or_init(Instant::now).elapsed())
}

/// Returns the time of day, for due times only: it may jump.
pub fn wall() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map(Millis::from).unwrap_or_default()
}
