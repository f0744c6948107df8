//! Rules for which attempts a controller may start and renew on a worker that it has adopted.
//!
//! The worker decides who controls it ([`crate::machine::arbiter`]): the preferred controller
//! adopts it by compare-and-set of its epoch. The worker can't know whether an attempt is still
//! allowed to run, because a loss may have been recorded meanwhile. The controller checks that
//! with this module, which is the only place for the rule ([`crate::machine::controller`]).
//! Model: `specs/attempt.tla`, and `specs/adoption.tla` for the epochs.

use crate::clock::Millis;
use crate::contract::configuration::Configuration;
use crate::contract::kind::Separation;
use crate::contract::task;
use crate::ledger::currency::Proof;
use crate::ledger::fleet::Fleet;
use crate::machine::lease::Bounds;
use crate::machine::worker::{Epoch, Inventory, RunningAttempt};
use serde::{Deserialize, Serialize};

/// The inputs of a decision about a worker's attempts.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The losses in force.
    pub fleet: &'a Fleet,
    /// Proof of the instant as of which `fleet` is complete.
    pub proof: &'a Proof,
    /// The configuration, for the kinds' `separation`.
    pub configuration: &'a Configuration,
    /// Time bounds of leases and fencing.
    pub bounds: &'a Bounds,
}

/// The attempts whose leases may be renewed now, and the new end of their leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// New end of the leases, by the controller's clock.
    pub until: Millis,
    /// The attempts, in the order of the inventory.
    pub attempts: Vec<(task::Id, task::Attempt)>,
}

impl View<'_> {
    /// Returns whether the losses are proven complete as of at most `currency_ms` ago.
    pub fn is_current(&self, now: Millis) -> bool {
        self.proof.is_current(self.bounds.currency_ms, now)
    }

    /// Returns whether an attempt recorded for `worker` under `epoch` may be started now. The
    /// lease in the start order must end no later than [`Bounds::until`] of `now`.
    pub fn may_start(&self, worker: &str, epoch: Epoch, now: Millis) -> bool {
        self.proof.is_current(self.bounds.currency_ms, now)
            && self.fleet.loss_covering(worker, epoch).is_none()
    }

    /// Returns whether the lease of a running attempt may be renewed now.
    ///
    /// This depends on the epoch of the attempt's record, not the controller's current one: a
    /// worker that returns after being recorded as lost must not keep attempts whose successors
    /// may run elsewhere. An unknown kind is treated as [`Separation::Move`], which is always safe.
    pub fn may_renew(&self, worker: &str, run: &RunningAttempt, now: Millis) -> bool {
        match self.configuration.separation(run.kind.as_str()) {
            Some(Separation::Hold) => true,
            Some(Separation::Move) | None => self.may_start(worker, run.epoch, now),
        }
    }

    /// Returns the renewal for those of a worker's running attempts that may be renewed now.
    pub fn renewal(&self, inventory: &Inventory, now: Millis) -> Renewal {
        let worker = inventory.worker.name.as_str();
        let attempts = inventory
            .running
            .iter()
            .filter(|run| self.may_renew(worker, run, now))
            .map(|run| (run.task.clone(), run.attempt))
            .collect();
        Renewal { until: self.bounds.until(now), attempts }
    }
}

#[cfg(test)]
mod tests;
