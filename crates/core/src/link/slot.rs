//! Slots of one runner, spent by the controller of its worker only.
//!
//! A slot whose try went silent stays spent until the runner answers or the deadline with its
//! margin proves it free. What others than this controller may still have under way at the runner
//! is *in doubt* at first: nothing is spent until the runner says how many slots are in use, or
//! until the longest deadline that anyone could have given has passed.

use crate::clock::Millis;
use crate::machine::runner::Limits;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// One spent slot.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Spent {
    attempt: Name,
    /// The runner has given the try up by this instant at the latest.
    free_by: Millis,
}

/// What others may have under way at the runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Foreign {
    /// Up to all slots, until this instant.
    Doubt(Millis),
    /// So many slots, until this instant.
    Known(usize, Millis),
}

/// The slots of one runner.
#[derive(Clone, Debug)]
pub struct Pool {
    limits: Limits,
    /// Sorted by attempt.
    spent: Vec<Spent>,
    foreign: Foreign,
    /// Number of doubts so far: an answer to an earlier question doesn't settle a later doubt.
    doubts: u64,
}

impl Pool {
    /// Returns the free slots of a runner that nobody else uses.
    pub const fn new(limits: Limits) -> Self {
        let foreign = Foreign::Known(0, Millis::ZERO);
        Self { limits, spent: Vec::new(), foreign, doubts: 0 }
    }

    /// Takes in changed limits. Tries that are under way keep their slots.
    pub const fn limit(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the limits.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns how many slots are free.
    pub fn free(&self) -> usize {
        let slots = self.limits.slots as usize;
        let foreign = match self.foreign {
            Foreign::Doubt(_) => slots,
            Foreign::Known(count, _) => count,
        };
        slots.saturating_sub(self.spent.len()).saturating_sub(foreign)
    }

    /// Returns how many slots are spent here.
    pub const fn spent(&self) -> usize {
        self.spent.len()
    }

    /// Spends a slot on a try. Returns whether there was one, and the try has none yet.
    pub fn spend(&mut self, attempt: &Name, free_by: Millis) -> bool {
        if self.free() == 0 {
            return false;
        }
        match self.spent.binary_search_by(|s| s.attempt.cmp(attempt)) {
            Ok(_) => false,
            Err(i) => {
                self.spent.insert(i, Spent { attempt: attempt.clone(), free_by });
                true
            }
        }
    }

    /// Frees the slot of a try that the runner answered, or that was never sent. Returns whether
    /// it was spent.
    pub fn release(&mut self, attempt: &Name) -> bool {
        match self.spent.binary_search_by(|s| s.attempt.cmp(attempt)) {
            Ok(i) => {
                self.spent.remove(i);
                true
            }
            Err(_) => false,
        }
    }

    /// Frees what the runner must have given up before `now`.
    pub fn expire(&mut self, now: Millis) {
        self.spent.retain(|s| s.free_by >= now);
        let (Foreign::Doubt(until) | Foreign::Known(_, until)) = self.foreign;
        if until < now {
            self.foreign = Foreign::Known(0, Millis::ZERO);
        }
    }

    /// Counts all slots as used by others until [`Self::prove`], or until `until`.
    pub fn doubt(&mut self, until: Millis) {
        let (Foreign::Doubt(old) | Foreign::Known(_, old)) = self.foreign;
        self.foreign = Foreign::Doubt(old.max(until));
        self.doubts += 1;
    }

    /// Returns the number of the question that must be put to the runner, if there is one.
    pub const fn question(&self) -> Option<u64> {
        match self.foreign {
            Foreign::Known(0, _) => None,
            _ => Some(self.doubts),
        }
    }

    /// Takes in how many slots the runner says are in use, in answer to a question.
    ///
    /// Own tries may be among them. They are counted twice, because a try that is still under way
    /// to the runner can't be told from one that it counts; the next answer corrects it.
    pub const fn prove(&mut self, question: u64, in_use: usize) {
        let (Foreign::Doubt(until) | Foreign::Known(_, until)) = self.foreign;
        if question == self.doubts {
            self.foreign = Foreign::Known(in_use, until);
        }
    }
}
