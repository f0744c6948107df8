//! When another daemon may claim the shard.
//!
//! A claim is safe at any time, since the log fences the earlier owner. A needless one costs a
//! takeover, so a daemon claims only when the owner has written nothing for some time. That time is
//! shorter if the process at the owner's address says that it can't go on, or if there is none.

use crate::clock::Millis;
use crate::link::response_time::ResponseTime;
use crate::machine::allotment::MAX_TAKEOVER;
use serde::{Deserialize, Serialize};

pub mod field;

#[cfg(test)]
mod tests;

/// Time without a record from the owner after which another daemon claims the shard.
const OWNER_TIMEOUT: Millis = Millis(1400);
/// The same if the owner's appends fail: more than two liveness records are missing.
const FAILING_TIMEOUT: Millis = Millis(800);
/// The same if no process accepts connections at the owner's address: more than one liveness record
/// is missing.
const ABSENT_TIMEOUT: Millis = Millis(450);
/// Time without a record from the owner after which it is asked for its standing.
pub const ASK_AFTER: Millis = Millis(400);
/// Typical log read times that are added to [`OWNER_TIMEOUT`]: a slow store delays both the owner's
/// records and their delivery to this daemon.
const OWNER_TIMEOUT_READS: u64 = 3;

/// Upper bound of the random part of a daemon's claim delay, which differs between daemons of the same
/// size so that one of them claims first.
const MAX_STAGGER: Millis = Millis(120);
/// The same while the store is slow, in typical log read times. A claim is seen by the others after an
/// append and a read; until then each further claim delays all appends, which the store makes one by
/// one.
const SLOW_STAGGER_READS: u64 = 16;

/// Time for which the other daemons leave a released shard to the one that its owner has invited: the
/// append of the release, a message and the append of the claim, each between regions.
const INVITATION_WAIT: Millis = Millis(150);
/// Appends and reads whose duration differs with the distance between the store and the owner, for each
/// decision that a job waits for.
const DISTANCE_CALLS: u64 = 2;

/// What a daemon says about its own ownership of the shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// Epoch under which it owns the shard, `None` if it does not.
    pub epoch: Option<u64>,
    /// Newest claim that it has read from the log.
    pub claim: u64,
    /// Whether it has read the log to its end since its process started.
    pub caught_up: bool,
    /// Whether the store accepted its last append.
    pub appends_succeed: bool,
    /// Peer address of the owner that `claim` names; empty if there is none.
    #[serde(default)]
    pub owner: Box<str>,
}

/// Standing of the daemon that the newest claim names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Nothing but its records is known.
    #[default]
    Unknown,
    /// The process at its address does not own the shard and won't under this claim.
    Disowned,
    /// No process accepts connections at its address.
    Absent,
    /// It owns the shard, and the store does not accept its appends.
    Failing,
}

impl Standing {
    /// Returns the standing of the owner of `claim` that has said this.
    pub const fn of(tenure: &Tenure, claim: u64) -> Self {
        match tenure.epoch {
            Some(_) if tenure.appends_succeed => Self::Unknown,
            Some(_) => Self::Failing,
            // It may be about to read its own claim.
            None if tenure.caught_up && tenure.claim < claim => Self::Unknown,
            None => Self::Disowned,
        }
    }

    /// Returns the time without a record from the owner after which another daemon may claim the
    /// shard.
    pub fn timeout(self, response_time: &ResponseTime) -> Millis {
        let slow = response_time.typical().times(OWNER_TIMEOUT_READS);
        match self {
            Self::Unknown => OWNER_TIMEOUT + slow,
            Self::Failing => FAILING_TIMEOUT + slow,
            Self::Absent => ABSENT_TIMEOUT + slow,
            Self::Disowned => Millis::ZERO,
        }
    }
}

/// Returns what the distance from the store adds to a daemon's takeover time, `least` being the
/// shortest duration of its recent reads. A wrong estimate costs no more than the usual stagger.
pub fn distance(least: Option<Millis>) -> Millis {
    MAX_STAGGER.min(least.unwrap_or_default().times(DISTANCE_CALLS))
}

/// Returns the time without an owner after which a daemon may claim a vacant shard, apart from its claim
/// delay. `is_released` says that an owner has given it up, which may have invited another daemon.
pub const fn vacancy_timeout(is_released: bool) -> Millis {
    if is_released { INVITATION_WAIT } else { Millis::ZERO }
}

/// Returns the time that a daemon waits before it claims a shard that may be claimed, so that the
/// daemon that can serve it best claims first, and few others before they see that claim. `takeover`
/// is the estimated time of a takeover, `nonce` a random number of the daemon.
pub fn claim_delay(takeover: Millis, nonce: u64, response_time: &ResponseTime) -> Millis {
    if !response_time.is_slow() {
        return takeover + Millis(nonce % MAX_STAGGER.get());
    }
    let range = MAX_STAGGER.max(response_time.typical().times(SLOW_STAGGER_READS));
    let preference = range.get().saturating_mul(takeover.get()) / MAX_TAKEOVER.get();
    takeover + Millis(preference) + Millis(nonce % range.get())
}
