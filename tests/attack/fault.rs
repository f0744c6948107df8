//! Faults, drawn by seed.

use pimentovalve::core::zone::stewardship;

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon dies and another starts.
    Kill,
    /// A daemon is paused.
    Freeze,
    /// The log is out.
    Outage,
    /// Appends land and their answers are lost.
    LostAnswers,
    /// Appends land long after they were given up.
    LateLanding,
    /// A worker can't be reached by anyone.
    Cut,
    /// A worker can't be reached by one daemon.
    CutFromOne,
    /// Messages are delayed, doubled and overtake each other.
    Disorder,
    /// A worker dies.
    Crash,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 9] = [
        Self::Kill,
        Self::Freeze,
        Self::Outage,
        Self::LostAnswers,
        Self::LateLanding,
        Self::Cut,
        Self::CutFromOne,
        Self::Disorder,
        Self::Crash,
    ];
}

/// Numbers that follow from a seed.
pub struct Draw {
    seed: String,
    count: u64,
}

impl Draw {
    /// Returns the numbers of a seed.
    pub fn new(seed: u64) -> Self {
        Self { seed: seed.to_string(), count: 0 }
    }

    /// Returns the next number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.count += 1;
        stewardship::hash(&[&self.seed, &self.count.to_string()]) % end.max(1)
    }

    /// Returns the next position in a list of the given length.
    pub fn index(&mut self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).unwrap_or_default()
    }
}
