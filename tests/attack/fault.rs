//! Faults and the seeded random numbers that select them.

use pimentovalve::core::zone::stewardship;

/// A fault that a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon crashes and another one starts.
    Kill,
    /// A daemon is paused.
    Freeze,
    /// Every call of the log fails.
    LogOutage,
    /// Appends take effect but their answers are lost.
    LostAppendAnswers,
    /// Appends take effect long after their writers have given up.
    DelayedAppends,
    /// A worker is unreachable from all daemons.
    Unreachable,
    /// A worker is unreachable from one daemon. Against real daemons the worker's process is paused
    /// instead.
    UnreachableFromOne,
    /// Messages are delayed and reordered, and some orders are delivered twice. Against real
    /// daemons this is the same as [`Self::LostAppendAnswers`].
    Reordering,
    /// A worker crashes.
    Crash,
}

impl Fault {
    /// All faults. A seed selects by position, so the order is fixed.
    pub const ALL: [Self; 9] = [
        Self::Kill,
        Self::Freeze,
        Self::LogOutage,
        Self::LostAppendAnswers,
        Self::DelayedAppends,
        Self::Unreachable,
        Self::UnreachableFromOne,
        Self::Reordering,
        Self::Crash,
    ];
}

/// Deterministic random numbers of a seed.
pub struct SeededRandom {
    seed: String,
    count: u64,
}

impl SeededRandom {
    /// Returns the generator of a seed.
    pub fn new(seed: u64) -> Self {
        Self { seed: seed.to_string(), count: 0 }
    }

    /// Returns the next random number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.count += 1;
        stewardship::hash(&[&self.seed, &self.count.to_string()]) % end.max(1)
    }

    /// Returns a random index into a list of the given length.
    pub fn index(&mut self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).unwrap_or_default()
    }
}
