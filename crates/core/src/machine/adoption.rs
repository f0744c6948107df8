//! What the controller that adopted a worker may start and renew there.
//!
//! The worker decides who controls it ([`crate::machine::arbiter`]), which needs no store: the
//! preferred controller adopts it by compare-and-set of its epoch. What it may not decide is
//! whether an attempt still has the right to run; that is the matter of this module. It is the one
//! place for the rule, used by [`crate::machine::controller`]. Model: `specs/attempt.tla`, and
//! `specs/adoption.tla` for the epochs.

use crate::clock::Millis;
use crate::contract::configuration::Configuration;
use crate::contract::kind::Separation;
use crate::contract::task;
use crate::ledger::currency::Proof;
use crate::ledger::fleet::Fleet;
use crate::machine::lease::Bounds;
use crate::machine::worker::{Epoch, Holding, Inventory};
use serde::{Deserialize, Serialize};

/// What a decision about a worker rests on.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The losses in force.
    pub fleet: &'a Fleet,
    /// How current that is.
    pub proof: &'a Proof,
    /// The configuration, for the kinds' `separation`.
    pub configuration: &'a Configuration,
    /// The bounds of leases.
    pub bounds: &'a Bounds,
}

/// Which leases may be renewed now, and until when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// New end of the leases.
    pub until: Millis,
    /// The attempts, in the order of the inventory.
    pub attempts: Vec<(task::Id, task::Attempt)>,
}

impl View<'_> {
    /// Returns whether the losses are shown to be all that were in force within the currency.
    pub fn is_current(&self, now: Millis) -> bool {
        self.proof.shows(self.bounds.currency_ms, now)
    }

    /// Returns whether an attempt that was recorded for `worker` under `epoch` may be started now.
    /// The start order's lease must end at [`Bounds::until`] now at the latest.
    pub fn may_start(&self, worker: &str, epoch: Epoch, now: Millis) -> bool {
        self.proof.shows(self.bounds.currency_ms, now) && self.fleet.covers(worker, epoch).is_none()
    }

    /// Returns whether the lease of a running attempt may be renewed now.
    ///
    /// The epoch that counts is that of the attempt's record, not the controller's present one: a
    /// worker that comes back after its loss may not keep what runs elsewhere by now. A kind that
    /// is not known counts as one that moves, which is safe with every setting.
    pub fn may_renew(&self, worker: &str, holding: &Holding, now: Millis) -> bool {
        match self.configuration.separation(holding.kind.as_str()) {
            Some(Separation::Hold) => true,
            Some(Separation::Move) | None => self.may_start(worker, holding.epoch, now),
        }
    }

    /// Returns which of a worker's running attempts may be renewed now.
    pub fn renewal(&self, inventory: &Inventory, now: Millis) -> Renewal {
        let worker = inventory.worker.name.as_str();
        let attempts = inventory
            .running
            .iter()
            .filter(|holding| self.may_renew(worker, holding, now))
            .map(|holding| (holding.task.clone(), holding.attempt))
            .collect();
        Renewal { until: self.bounds.until(now), attempts }
    }
}

#[cfg(test)]
mod tests;
