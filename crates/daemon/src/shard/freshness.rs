//! How old a daemon's view of the store may be for what it does and for what callers are told.
//!
//! The replica lags behind the log, by seconds or without bound while the log can't be read. What may
//! have changed since is stated to callers only if the replica is recent enough for it. The same holds
//! for the configuration, and for the list of workers on which the owner starts tasks.

#[cfg(test)]
mod tests;

use super::view::ShardStatus;
use pimentovalve_core::clock::Millis;

/// Maximum age of the number of queued jobs that the callers' protocol allows.
const MAX_COUNT_AGE: Millis = Millis(2000);
/// Maximum age of the status of a job that has not ended: the time within which an accepted job must be
/// visible at every daemon. A daemon whose replica is older is not ready.
pub const MAX_STATUS_AGE: Millis = Millis(3000);
/// Maximum age of the configuration for denying that a queue exists or that a body may be as large as it
/// is: the time within which a daemon must apply a new version.
pub const MAX_CONFIGURATION_AGE: Millis = Millis(3000);
/// Maximum age of the list of workers for starting tasks. A worker must get no start 3 s after it has
/// reported that it drains, and recording and sending a start takes a part of that time.
pub const MAX_LIST_AGE: Millis = Millis(2500);
/// Maximum time without a complete log read while the next one is still expected: one read that times
/// out, and another one. After it the log counts as unreadable.
const MAX_READ_GAP: Millis = Millis(1500);
/// Maximum wait for a log read, on top of the duration of two reads: one may have begun too early.
/// Daemons that are not the owner read the log every 200 ms.
const READ_WAIT: Millis = Millis(600);

/// Age of the replica above which a caller that asks for a running job waits for the next read of the log:
/// the job may just have ended. Reads that callers wait for have this interval.
const RECENT_AGE: Millis = Millis(60);

/// Returns until when a caller that asked for a running job at `asked` waits for a newer read of the
/// log, `None` if the replica is recent or a read takes too long to wait for.
pub fn worth_waiting(status: &ShardStatus, asked: Millis) -> Option<Millis> {
    let is_recent = asked.since(status.covered_until) <= RECENT_AGE;
    let is_readable = status.caught_up && !status.response_time.is_slow() && !status.lags(asked);
    let is_due = !status.owns() && !is_recent && is_readable;
    is_due.then(|| asked + RECENT_AGE + status.response_time.typical())
}

/// What a caller is told from the replica and may have changed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// The number of queued jobs.
    Count,
    /// That a job has not ended.
    Unended,
    /// That a job does not exist. Another daemon may just have accepted it.
    Absence,
}

/// Whether a statement can be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The replica is recent enough.
    Current,
    /// The next log read may make it recent enough; it is not worth waiting beyond this time.
    Wait(Millis),
    /// The replica is too old, and no log read is expected in time.
    TooOld,
}

impl Statement {
    /// Judges the statement to a caller that asked at `asked` and waits until `deadline`. The replica
    /// it is made from is at least as recent as `status`.
    pub fn judge(
        self,
        status: &ShardStatus,
        asked: Millis,
        deadline: Millis,
        now: Millis,
    ) -> Verdict {
        let is_current = match self {
            Self::Count => now.since(status.covered_until) <= MAX_COUNT_AGE,
            Self::Unended => now.since(status.covered_until) <= MAX_STATUS_AGE,
            Self::Absence => status.covered_until > asked,
        };
        if is_current {
            return Verdict::Current;
        }
        let read_time = status.response_time.typical();
        let next_read = status.log_read_at + MAX_READ_GAP + read_time;
        let limit = deadline.min(next_read).min(asked + READ_WAIT + read_time.times(2));
        if status.caught_up && now < limit { Verdict::Wait(limit) } else { Verdict::TooOld }
    }
}
