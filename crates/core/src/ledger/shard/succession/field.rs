//! The daemons to one of which an owner may hand the shard over.
//!
//! A rolling replacement stops and starts the daemons one after the other. An owner that hands the
//! shard over to a daemon which will be stopped next causes another handover, so a daemon that has been
//! replaced is preferred to one that has not. Each costs time that is compared in one unit: what the
//! takeover takes, what the distance to the store adds, and the handover that is to come.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Time between the first start of a daemon and a start after which a daemon counts as replaced. Daemons
/// that start together, and their estimates of an announcement interval, differ by less.
const START_SPREAD: Millis = Millis::from_secs(5);
/// Number of replaced daemons from which a replacement goes through all of them: fewer may have crashed.
const MIN_REPLACED: usize = 3;
/// Time since the last start after which a replacement has ended.
const REPLACEMENT_PAUSE: Millis = Millis::from_secs(20);
/// Cost of a further handover, which an owner that has not been replaced will cause: about the time
/// without an owner, and until workers have answered.
const HANDOVER_COST: Millis = Millis(300);
/// Minimum ratio between the takeover times of the owner and of the daemon to which it hands the shard
/// over while it could go on. A smaller gain is not worth the pause that a takeover costs.
const HANDOVER_RATIO: u64 = 2;

/// A daemon that could own the shard, as its announcements show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Unique name of the daemon's instance.
    pub name: &'a str,
    /// Peer address.
    pub address: &'a str,
    /// Takeover time that it announces; `Millis::MAX` while it can't take the shard over.
    pub takeover: Millis,
    /// Estimated start of its process, on the steady clock.
    pub started: Millis,
}

/// What an owner that could go on knows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incumbent {
    /// Takeover time of its size alone.
    pub size: Millis,
    /// Takeover time that it announces, with its distance from the store.
    pub takeover: Millis,
    /// Whether the store is slow: the distances don't show then.
    pub is_store_slow: bool,
}

/// The daemons that are known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Field<'a> {
    candidates: Vec<Candidate<'a>>,
    /// Earliest and latest start.
    first: Millis,
    last: Millis,
}

impl<'a> Field<'a> {
    /// Returns the field of these daemons.
    pub fn new(candidates: Vec<Candidate<'a>>) -> Self {
        let starts = || candidates.iter().map(|c| c.started);
        let (first, last) =
            (starts().min().unwrap_or_default(), starts().max().unwrap_or_default());
        Self { candidates, first, last }
    }

    /// Returns whether a replacement goes through the daemons.
    pub fn is_changing(&self, now: Millis) -> bool {
        let replaced = self.candidates.iter().filter(|c| self.is_replaced(c)).count();
        let is_whole = replaced == self.candidates.len();
        replaced >= MIN_REPLACED && !is_whole && now.since(self.last) < REPLACEMENT_PAUSE
    }

    fn is_replaced(&self, candidate: &Candidate<'_>) -> bool {
        candidate.started.since(self.first) > START_SPREAD
    }

    /// Returns the daemon that should own the shard after an owner that stops.
    pub fn successor(&self, now: Millis) -> Option<&Candidate<'a>> {
        let is_changing = self.is_changing(now);
        let cost = |c: &&Candidate<'_>| {
            let goes_soon = is_changing && !self.is_replaced(c);
            c.takeover + if goes_soon { HANDOVER_COST } else { Millis::ZERO }
        };
        self.candidates.iter().filter(|c| c.takeover < Millis::MAX).min_by_key(cost)
    }

    /// Returns the daemon to which the owner should hand the shard over although it could go on: one
    /// that is much larger, or much nearer to the store. The ratio keeps the shard from going back.
    pub fn better(&self, owner: &Incumbent, now: Millis) -> Option<&Candidate<'a>> {
        let is_changing = self.is_changing(now);
        let is_better = |c: &&Candidate<'_>| {
            let takeover = c.takeover.times(HANDOVER_RATIO);
            let is_larger = takeover <= owner.size;
            let stays = !is_changing || self.is_replaced(c);
            is_larger || takeover <= owner.takeover && stays && !owner.is_store_slow
        };
        self.candidates.iter().filter(is_better).min_by_key(|c| c.takeover)
    }
}
