//! Admission permits: limit the requests in flight on an instance, with a reserve for each class.

use crate::contract::class::Class;

#[cfg(test)]
mod tests;

/// Number of classes.
const CLASSES: usize = Class::ALL.len();

/// The permits of one instance. Arrays are in the order of [`Class::ALL`].
#[derive(Clone, Debug)]
pub struct Permits {
    total: usize,
    /// Permits that only the class itself may take.
    reserved: [usize; CLASSES],
    taken: [usize; CLASSES],
}

impl Permits {
    /// Returns `total` permits, an eighth of which is reserved for each class.
    pub const fn new(total: usize) -> Self {
        Self { total, reserved: [total / 8; CLASSES], taken: [0; CLASSES] }
    }

    /// Takes a permit that isn't reserved for another class. Returns whether there was one.
    pub fn take(&mut self, class: Class) -> bool {
        let i = class.index();
        let others = (0..CLASSES).filter(|j| *j != i);
        let unavailable: usize = others.map(|j| self.taken[j].max(self.reserved[j])).sum();
        let free = self.taken[i] + unavailable < self.total;
        if free {
            self.taken[i] += 1;
        }
        free
    }

    /// Returns a permit taken by [`Self::take`].
    pub const fn give(&mut self, class: Class) {
        let i = class.index();
        self.taken[i] = self.taken[i].saturating_sub(1);
    }
}
