//! Permits: how many requests an instance has under way, with a part kept for each class.

use crate::contract::class::Class;

#[cfg(test)]
mod tests;

/// Number of classes.
const CLASSES: usize = Class::ALL.len();

/// The permits of one instance.
#[derive(Clone, Debug)]
pub struct Permits {
    most: usize,
    /// Permits that only the class itself may take, in the order of [`Class::ALL`].
    kept: [usize; CLASSES],
    taken: [usize; CLASSES],
}

impl Permits {
    /// Returns `most` permits, of which an eighth is kept for each class.
    pub const fn new(most: usize) -> Self {
        Self { most, kept: [most / 8; CLASSES], taken: [0; CLASSES] }
    }

    /// Takes a permit, if there is one that isn't kept for another class.
    pub fn take(&mut self, class: Class) -> bool {
        let i = class.index();
        let others = (0..CLASSES).filter(|j| *j != i);
        let closed: usize = others.map(|j| self.taken[j].max(self.kept[j])).sum();
        let free = self.taken[i] + closed < self.most;
        if free {
            self.taken[i] += 1;
        }
        free
    }

    /// Gives a permit back.
    pub const fn give(&mut self, class: Class) {
        let i = class.index();
        self.taken[i] = self.taken[i].saturating_sub(1);
    }
}
