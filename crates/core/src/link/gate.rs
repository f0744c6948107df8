//! Held calls behind a breaker: which of them are sent, and which are let go.
//!
//! Answers the load of an outage: callers go on arriving at the usual rate while nothing can be
//! served. Those that can no longer be served are told at once, and when the dependency is back the
//! others are served in the order of their deadlines.

use super::breaker::Breaker;
use super::held::Held;
use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Held calls behind a breaker.
#[derive(Debug)]
pub struct Gate<T> {
    breaker: Breaker,
    held: Held<T>,
}

impl<T> Gate<T> {
    /// Creates a closed gate that holds up to `capacity` calls.
    pub fn new(capacity: usize) -> Self {
        Self { breaker: Breaker::default(), held: Held::new(capacity) }
    }

    /// Holds a call that must be carried out by `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the call when it can't be carried out by then, or when too many are held.
    pub fn put(&mut self, now: Millis, deadline: Millis, call: T) -> Result<(), T> {
        if deadline <= now + self.breaker.typical() {
            return Err(call);
        }
        self.held.put(deadline, call)
    }

    /// Takes a call that can't be carried out by its deadline any more. It has not been sent.
    pub fn let_go(&mut self, now: Millis) -> Option<T> {
        self.held.pop_due(now + self.breaker.typical())
    }

    /// Takes the most urgent call, to send it. The caller takes at most [`Self::allowance`] calls.
    pub fn take(&mut self) -> Option<T> {
        self.held.pop()
    }

    /// Returns how many calls may be sent together at `now`.
    pub fn allowance(&self, now: Millis) -> usize {
        self.breaker.allowance(now).min(self.held.len())
    }

    /// Returns when the next call has to be let go.
    pub fn next_release(&self) -> Option<Millis> {
        self.held.next_deadline().map(|deadline| deadline.since(self.breaker.typical()))
    }

    /// Returns the number of held calls.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no call is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the breaker.
    pub const fn breaker(&self) -> &Breaker {
        &self.breaker
    }

    /// Records at `now` that calls were carried out, and took `took`. Returns for how long the breaker
    /// had been open.
    pub fn succeeded(&mut self, now: Millis, took: Millis) -> Option<Millis> {
        let open_for = self.breaker.open_for(now);
        self.breaker.succeeded(took);
        open_for
    }

    /// Records at `now` that a call failed.
    pub fn failed(&mut self, now: Millis) {
        self.breaker.failed(now);
    }
}
