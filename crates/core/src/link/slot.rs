//! Slots and connections of one runner, spent by the controller of its worker only.
//!
//! A slot whose request went silent stays spent until the runner answers or the deadline with its
//! margin proves it free.

use crate::clock::Millis;
use crate::contract::request;
use crate::machine::runner::Limits;

/// One spent slot.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Spent {
    request: request::Id,
    /// The runner has given the request up by this instant at the latest.
    free_by: Millis,
}

/// The slots of one runner.
#[derive(Clone, Debug)]
pub struct Pool {
    limits: Limits,
    /// Sorted by request.
    spent: Vec<Spent>,
}

impl Pool {
    /// Returns the free slots of a runner.
    pub const fn new(limits: Limits) -> Self {
        Self { limits, spent: Vec::new() }
    }

    /// Takes in changed limits. Requests that are under way keep their slots.
    pub const fn limit(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns how many slots are free.
    pub fn free(&self) -> usize {
        (self.limits.slots as usize).saturating_sub(self.spent.len())
    }

    /// Spends a slot on a request. Returns whether there was one, and the request has none yet.
    pub fn spend(&mut self, request: &request::Id, free_by: Millis) -> bool {
        if self.free() == 0 {
            return false;
        }
        match self.spent.binary_search_by(|s| s.request.cmp(request)) {
            Ok(_) => false,
            Err(i) => {
                self.spent.insert(i, Spent { request: request.clone(), free_by });
                true
            }
        }
    }

    /// Frees the slot of a request that the runner answered. Returns whether it was spent.
    pub fn release(&mut self, request: &request::Id) -> bool {
        match self.spent.binary_search_by(|s| s.request.cmp(request)) {
            Ok(i) => {
                self.spent.remove(i);
                true
            }
            Err(_) => false,
        }
    }

    /// Frees the slots of requests that the runner must have given up before `now`.
    pub fn expire(&mut self, now: Millis) {
        self.spent.retain(|s| s.free_by >= now);
    }
}
