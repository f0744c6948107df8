//! Calls that are held while their dependency does not answer, ordered by deadline.
//!
//! A held call has not been sent, so its outcome is certain: one that is let go has had no effect.

use crate::clock::Millis;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Bounded queue of held calls, the earliest deadline first. Calls with the same deadline keep the
/// order in which they came.
#[derive(Debug)]
pub struct Held<T> {
    calls: VecDeque<(Millis, T)>,
    capacity: usize,
}

impl<T> Held<T> {
    /// Creates an empty queue for up to `capacity` calls.
    pub const fn new(capacity: usize) -> Self {
        Self { calls: VecDeque::new(), capacity }
    }

    /// Holds a call until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the call when the queue is full.
    pub fn put(&mut self, deadline: Millis, call: T) -> Result<(), T> {
        if self.calls.len() >= self.capacity {
            return Err(call);
        }
        let at = self.calls.partition_point(|(other, _)| *other <= deadline);
        self.calls.insert(at, (deadline, call));
        Ok(())
    }

    /// Takes the most urgent call.
    pub fn pop(&mut self) -> Option<T> {
        self.calls.pop_front().map(|(_, call)| call)
    }

    /// Takes the most urgent call if its deadline is at most `until`.
    pub fn pop_due(&mut self, until: Millis) -> Option<T> {
        self.next_deadline().filter(|deadline| *deadline <= until)?;
        self.pop()
    }

    /// Returns the earliest deadline.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.calls.front().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of held calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is held.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
