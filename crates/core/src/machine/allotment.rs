//! Share of a machine that a daemon may use, and what it means for owning a shard.

#[cfg(test)]
mod tests;

use crate::clock::Millis;
use serde::{Deserialize, Serialize};

/// Estimated time of a takeover with a quarter of a core: one status poll for each of 350 workers.
const TAKEOVER_TIME: Millis = Millis(120);
/// Processor share, in thousandths of a core, to which [`TAKEOVER_TIME`] refers.
const TAKEOVER_CPU_MILLI: u64 = 250;
/// Size of the answers to these polls, in kilobits.
const TAKEOVER_KBIT: u64 = 2000;
/// Takeover time up to which a daemon begins to read the log at once: that of a quarter of a core.
const QUICK_TAKEOVER: Millis = Millis(130);
/// Upper bound of the estimate, so that a shard whose larger instances are all gone gets an owner
/// soon.
pub const MAX_TAKEOVER: Millis = Millis(800);

/// Processor share and link bandwidth of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Bandwidth of the machine's link, in kilobits per second.
    pub link_kbps: u64,
}

impl Allotment {
    /// Returns the estimated time that this daemon needs to take over a shard. A daemon waits for as
    /// long before it claims, so that the one which can serve the shard best claims first. The time
    /// for computing grows with the square of the missing share: the backlog of the takeover grows
    /// while it lasts.
    pub fn takeover(&self) -> Millis {
        let share = self.cpu_milli.max(1);
        let ratio = |time: u64| time.saturating_mul(TAKEOVER_CPU_MILLI) / share;
        let computing = ratio(ratio(TAKEOVER_TIME.get()));
        let receiving = TAKEOVER_KBIT * 1000 / self.link_kbps.max(1);
        MAX_TAKEOVER.min(Millis(computing.saturating_add(receiving)))
    }

    /// Returns the time for which this daemon defers its first read of the log. After a loss of power
    /// everywhere all daemons read it at once and share the store's bandwidth; those that can take over
    /// soon read first.
    pub fn replay_delay(&self) -> Millis {
        self.takeover().since(QUICK_TAKEOVER)
    }
}
