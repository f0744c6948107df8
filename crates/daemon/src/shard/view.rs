//! What the steward and the ledger duty publish to the other duties, and the clocks.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use pimentovalve_core::contract::owner::Leftover;
use pimentovalve_core::contract::owner::outlook::Outlook;
use pimentovalve_core::link::patience::SILENT_AFTER;
use pimentovalve_core::link::response_time::ResponseTime;
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

#[cfg(test)]
mod tests;

/// Reading of the steady clock when the machine starts, in milliseconds. It is above zero so that
/// times before that can be computed.
const FIRST_READING_MS: u64 = 1_000_000;
/// Age of a replica whose log reads are neither refused nor delayed, apart from the duration of a
/// read: two intervals between reads, and a margin.
const MAX_LAG: Millis = Millis(450);

/// Ownership and log progress, published by the steward to the other duties.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardStatus {
    /// Epoch of this daemon's claim while it owns the shard.
    pub epoch: Option<u64>,
    /// Epoch of the newest claim that was read.
    pub claim: u64,
    /// Peer address of the owner; empty while the shard has no owner.
    pub owner: Box<str>,
    /// Epoch and peer address of the owner before this daemon, while it may still grant leases.
    pub earlier_owner: Option<(u64, Box<str>)>,
    /// When a record of the owner was last read, on the steady clock.
    pub owner_seen_at: Millis,
    /// When the owner was last asked and said that the store accepts its appends, on the steady clock.
    pub owner_served_at: Millis,
    /// Whether the log has been read to its end since the start, or since a snapshot was restored.
    pub caught_up: bool,
    /// When the log was last read to its end, on the steady clock.
    pub log_read_at: Millis,
    /// When that read was sent: the replica contains everything appended before.
    pub covered_until: Millis,
    /// When the last append as the owner that the store acknowledged was sent: no other daemon was
    /// the owner then.
    pub owned_until: Millis,
    /// Whether this daemon could take over the shard: it has caught up and is not draining.
    pub can_own: bool,
    /// Latency estimate of the store's log reads.
    pub response_time: ResponseTime,
    /// What the distance from the store adds to this daemon's takeover time.
    pub distance: Millis,
    /// Epoch that this daemon has released, and peer address of the daemon to claim the shard next, until
    /// it is claimed.
    pub successor: Option<(u64, Box<str>)>,
    /// Runs of ended jobs that may still execute, while this daemon owns the shard.
    pub leftover: Leftover,
}

impl ShardStatus {
    /// Returns how long the owner has written nothing, up to the last complete read of the log.
    pub const fn owner_silence(&self) -> Millis {
        self.log_read_at.since(self.owner_seen_at)
    }

    /// Returns whether the replica is older than reads at the usual intervals make it. That of the
    /// owner, which alone changes the states of jobs, is as recent as its last append.
    pub fn lags(&self, now: Millis) -> bool {
        let current_until = self.covered_until.max(self.owned_until);
        !self.caught_up || now.since(current_until) > MAX_LAG + self.response_time.typical()
    }

    /// Returns for how long the store has answered neither this daemon's reads of the log nor the owner, if
    /// that is longer than usual.
    pub fn store_silence(&self, now: Millis) -> Option<Millis> {
        let silence = now.since(self.log_read_at.max(self.owner_served_at));
        let usual = SILENT_AFTER + self.response_time.typical();
        Some(silence).filter(|silence| self.caught_up && *silence > usual)
    }

    /// Returns whether this daemon owns the shard.
    pub const fn owns(&self) -> bool {
        self.epoch.is_some()
    }
}

/// Maximum age of what the owner said of the waiting work: on an older summary nobody is refused.
pub const MAX_OUTLOOK_AGE: Millis = Millis::from_secs(2);

/// What the owner last said of the waiting work.
#[derive(Clone, Debug, Default)]
pub struct Prospect {
    /// Epoch of the owner.
    pub epoch: u64,
    /// When it was computed, or earlier.
    pub at: Millis,
    /// The summary, `None` if the owner gave none.
    pub outlook: Option<Arc<Outlook>>,
}

impl Prospect {
    /// Returns the summary if callers' jobs may be refused by it: it is recent, its owner is the present
    /// one, and this daemon's replica would show whether the job was accepted before.
    pub fn current(&self, status: &ShardStatus, now: Millis) -> Option<&Outlook> {
        let is_recent = now.since(self.at) <= MAX_OUTLOOK_AGE;
        let is_owners = self.epoch == status.claim && !status.owner.is_empty();
        self.outlook.as_deref().filter(|_| is_recent && is_owners && !status.lags(now))
    }
}

/// Addresses of the other daemons, published by the steward.
pub type Peers = Arc<[Box<str>]>;

/// The configuration, published by the ledger duty to the other duties.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The version in force, `None` until the first one is read.
    pub catalog: Option<Arc<Catalog>>,
    /// When the last successful read was sent: no newer version was accepted before.
    pub covered_until: Millis,
}

impl Configuration {
    /// Takes what a read or a peer says: a version, and until when no newer one was accepted. Versions
    /// and times only rise. Returns whether the version is newer than that in force.
    pub fn learn(&mut self, catalog: Option<Catalog>, covered_until: Millis) -> bool {
        self.covered_until = self.covered_until.max(covered_until);
        let current = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let Some(newer) = catalog.filter(|catalog| catalog.version > current) else { return false };
        self.catalog = Some(Arc::new(newer));
        true
    }
}

/// Returns the reading of the steady clock: monotonic, and it counts the time for which the machine
/// is suspended. Leases, tickets and the age of the replica therefore expire during a suspension.
pub fn now() -> Millis {
    let since_boot = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(since_boot.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(since_boot.tv_nsec).unwrap_or_default();
    Millis(FIRST_READING_MS) + Millis::from_secs(seconds) + Millis(nanos / 1_000_000)
}

/// Returns the time of day. It may jump, so it is used for the due times of schedules only.
pub fn wall() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map(Millis::from).unwrap_or_default()
}
