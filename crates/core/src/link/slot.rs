//! The slots of one runner, which only the controller of its worker allocates.
//!
//! The slot of an attempt without a response stays allocated until the deadline of the attempt,
//! plus a margin, has passed. The slots that other controllers may still use are initially unknown:
//! no slot is allocated until the runner reports its number of slots in use, or until the latest
//! possible deadline of such attempts has passed.

use crate::clock::Millis;
use crate::machine::runner::Limits;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// One allocated slot.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Allocation {
    attempt: Name,
    /// The runner has abandoned the attempt by this instant.
    free_by: Millis,
}

/// Slots that others than this controller may be using.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherUse {
    /// Possibly all slots, until this instant.
    Unknown(Millis),
    /// At most this many slots, until this instant.
    Known(usize, Millis),
}

/// The slots of one runner.
#[derive(Clone, Debug)]
pub struct Pool {
    limits: Limits,
    /// Sorted by attempt.
    allocated: Vec<Allocation>,
    other_use: OtherUse,
    /// Incremented whenever the use by others becomes unknown, so that the response to an earlier
    /// query is ignored.
    generation: u64,
}

impl Pool {
    /// Returns a pool with all slots free and no use by others.
    pub const fn new(limits: Limits) -> Self {
        let other_use = OtherUse::Known(0, Millis::ZERO);
        Self { limits, allocated: Vec::new(), other_use, generation: 0 }
    }

    /// Changes the limits. Attempts in flight keep their slots.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the runner's limits.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the number of slots that can be allocated now.
    pub fn free(&self) -> usize {
        let slots = self.limits.slots as usize;
        let others = match self.other_use {
            OtherUse::Unknown(_) => slots,
            OtherUse::Known(count, _) => count,
        };
        slots.saturating_sub(self.allocated.len()).saturating_sub(others)
    }

    /// Returns the number of slots allocated by this controller.
    pub const fn allocated(&self) -> usize {
        self.allocated.len()
    }

    /// Allocates a slot to an attempt. Returns false if no slot is free or the attempt already has
    /// one.
    pub fn allocate(&mut self, attempt: &Name, free_by: Millis) -> bool {
        if self.free() == 0 {
            return false;
        }
        match self.allocated.binary_search_by(|a| a.attempt.cmp(attempt)) {
            Ok(_) => false,
            Err(i) => {
                self.allocated.insert(i, Allocation { attempt: attempt.clone(), free_by });
                true
            }
        }
    }

    /// Frees the slot of an attempt that the runner answered or that was never sent. Returns
    /// whether the attempt had a slot.
    pub fn release(&mut self, attempt: &Name) -> bool {
        match self.allocated.binary_search_by(|a| a.attempt.cmp(attempt)) {
            Ok(i) => {
                self.allocated.remove(i);
                true
            }
            Err(_) => false,
        }
    }

    /// Frees the slots of attempts that the runner has abandoned before `now`.
    pub fn expire(&mut self, now: Millis) {
        self.allocated.retain(|a| a.free_by >= now);
        let (OtherUse::Unknown(until) | OtherUse::Known(_, until)) = self.other_use;
        if until < now {
            self.other_use = OtherUse::Known(0, Millis::ZERO);
        }
    }

    /// Treats all slots as used by others until [`Self::report`] or until `until`.
    pub fn set_unknown(&mut self, until: Millis) {
        let (OtherUse::Unknown(old) | OtherUse::Known(_, old)) = self.other_use;
        self.other_use = OtherUse::Unknown(old.max(until));
        self.generation += 1;
    }

    /// Returns the number of the query to send to the runner, or `None` if no slot is used by
    /// others.
    pub const fn query(&self) -> Option<u64> {
        match self.other_use {
            OtherUse::Known(0, _) => None,
            _ => Some(self.generation),
        }
    }

    /// Applies the runner's response to a query: its number of slots in use.
    ///
    /// This controller's own attempts may be among them and are then counted twice, because an
    /// attempt that hasn't reached the runner yet can't be distinguished from one that the runner
    /// counted. The next response corrects this.
    pub const fn report(&mut self, query: u64, in_use: usize) {
        let (OtherUse::Unknown(until) | OtherUse::Known(_, until)) = self.other_use;
        if query == self.generation {
            self.other_use = OtherUse::Known(in_use, until);
        }
    }
}
