//! Adoption: what an instance decides about the control of one worker.
//!
//! The preferred controller adopts the worker by compare-and-set of the worker's epoch, so a race
//! has one winner and needs no store. When the preference moves, the present controller hands the
//! worker over and stops sending; if that message is lost or the controller is gone, the preferred
//! one adopts after a while by itself. A worker that was silent for too long is recorded as lost.
//! Model: `specs/adoption.tla` and `specs/attempt.tla`.

use crate::clock::Millis;
use crate::contract::configuration::Configuration;
use crate::contract::kind::Separation;
use crate::contract::task;
use crate::ledger::currency::Proof;
use crate::ledger::fleet::Fleet;
use crate::machine::lease::Bounds;
use crate::machine::worker::{Epoch, Holding, Inventory};
use crate::name::Name;
use crate::zone::membership::Membership;
use serde::{Deserialize, Serialize};

/// Time bounds of adoption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timing {
    /// Interval of heartbeats, which carry the renewals. Must be well below the lease.
    pub heartbeat_ms: Millis,
    /// A request to a worker that was not answered for this long is made again.
    pub retry_ms: Millis,
    /// How long the preferred controller waits for a hand-over by a live one.
    pub patience_ms: Millis,
    /// A worker that was silent for this long is recorded as lost.
    pub silence_ms: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: Millis::from_secs(3),
            retry_ms: Millis::from_secs(1),
            patience_ms: Millis::from_secs(3),
            silence_ms: Millis::from_secs(15),
        }
    }
}

/// What a decision about a worker rests on.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The instances.
    pub membership: &'a Membership,
    /// The preferred controller, from [`crate::zone::stewardship::owner`].
    pub preferred: Option<&'a Name>,
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

/// What is to be done about the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Ask the worker to adopt this instance; answer by [`Control::adopted`] or
    /// [`Control::refused`].
    Adopt {
        /// The epoch that the worker is expected to have.
        expected: Epoch,
    },
    /// Ask the worker for its inventory, and renew these leases.
    Heartbeat {
        /// This instance's epoch.
        epoch: Epoch,
        /// The leases to renew, as the last inventory has them.
        renewal: Renewal,
    },
    /// Tell the preferred controller that it may adopt the worker now. This instance has stopped
    /// sending orders.
    HandOver {
        /// The preferred controller.
        to: Name,
        /// The worker's epoch.
        epoch: Epoch,
    },
    /// Append the loss of the worker to the fleet stream.
    Lose {
        /// Last epoch that is lost.
        epoch: Epoch,
        /// The version of the worker's register on which the record rests.
        expect: u64,
    },
}

/// Who controls the worker, as far as this instance can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Another instance, or none.
    Foreign,
    /// This instance has asked the worker.
    Adopting,
    /// This instance.
    Held,
}

/// One worker, from the point of view of one instance.
#[derive(Clone, Debug)]
pub struct Control {
    worker: Name,
    timing: Timing,
    phase: Phase,
    /// Highest epoch of the worker that is known.
    epoch: Epoch,
    /// Controller in the newest inventory.
    controller: Option<Name>,
    /// The newest inventory, while this instance controls the worker.
    inventory: Option<Inventory>,
    /// When the worker was last heard by this instance, or first known to it.
    heard: Millis,
    /// When the last request was sent.
    asked: Option<Millis>,
    /// Since when this instance is the preferred controller without controlling the worker.
    wanted: Option<Millis>,
    /// When the loss was last asked to be recorded.
    lost: Option<Millis>,
}

impl Control {
    /// Returns the control of a worker that became known now.
    pub const fn new(worker: Name, timing: Timing, now: Millis) -> Self {
        Self {
            worker,
            timing,
            phase: Phase::Foreign,
            epoch: 0,
            controller: None,
            inventory: None,
            heard: now,
            asked: None,
            wanted: None,
            lost: None,
        }
    }

    /// Returns the worker's name.
    pub const fn worker(&self) -> &Name {
        &self.worker
    }

    /// Returns the epoch under which this instance controls the worker, if it does.
    pub const fn held(&self) -> Option<Epoch> {
        match self.phase {
            Phase::Held => Some(self.epoch),
            Phase::Foreign | Phase::Adopting => None,
        }
    }

    /// Returns the newest inventory, while this instance controls the worker.
    pub const fn inventory(&self) -> Option<&Inventory> {
        self.inventory.as_ref()
    }

    /// Returns the epoch under which an attempt may be recorded for the worker now: it is held, it
    /// was heard lately, is not leaving, and no loss covers the epoch.
    pub fn placeable(&self, fleet: &Fleet, now: Millis) -> Option<Epoch> {
        let fresh = now.since(self.heard) <= self.timing.silence_ms;
        let leaving = self.inventory.as_ref().is_none_or(|i| i.leaving);
        let covered = fleet.covers(self.worker.as_str(), self.epoch).is_some();
        self.held().filter(|_| fresh && !leaving && !covered)
    }

    /// Learns an epoch of the worker from a record, so that a loss covers it.
    pub fn learn(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.release();
        }
    }

    /// The worker took this instance as its controller.
    pub fn adopted(&mut self, inventory: &Inventory, own: &Name, now: Millis) {
        self.report(inventory, own, now);
    }

    /// The worker refused the adoption and told its epoch.
    pub fn refused(&mut self, epoch: Epoch, now: Millis) {
        self.heard = self.heard.max(now);
        self.learn(epoch);
        if self.phase == Phase::Adopting {
            self.phase = Phase::Foreign;
        }
        self.asked = None;
    }

    /// The worker's inventory arrived, by adoption, heartbeat or another instance's word. One that
    /// is older than what is known changes nothing.
    pub fn report(&mut self, inventory: &Inventory, own: &Name, now: Millis) {
        if inventory.epoch < self.epoch {
            return;
        }
        self.heard = self.heard.max(now);
        let ours = inventory.controller.as_ref() == Some(own);
        let handed_over = self.phase == Phase::Foreign && inventory.epoch == self.epoch;
        self.epoch = inventory.epoch;
        self.controller.clone_from(&inventory.controller);
        if ours && !handed_over {
            self.phase = Phase::Held;
            self.inventory = Some(inventory.clone());
            self.wanted = None;
        } else if !ours {
            self.release();
        }
    }

    /// A former controller handed the worker over at this epoch.
    pub fn handed(&mut self, epoch: Epoch) {
        self.learn(epoch);
        if epoch == self.epoch && self.phase == Phase::Foreign {
            self.controller = None;
        }
    }

    /// Decides what is to be done now.
    pub fn tick(&mut self, view: &View, now: Millis) -> Vec<Effect> {
        let own = &view.membership.own().name;
        let preferred = view.preferred == Some(own);
        let mut effects = Vec::new();
        match self.phase {
            Phase::Held if preferred => effects.extend(self.keep(view, now)),
            Phase::Held => effects.extend(self.hand_over(view, now)),
            Phase::Adopting | Phase::Foreign if preferred => {
                effects.extend(self.adopt(view, now));
            }
            Phase::Adopting | Phase::Foreign => {
                self.release();
                self.wanted = None;
                self.heard = now;
            }
        }
        if preferred {
            effects.extend(self.lose(view, now));
        }
        effects
    }

    fn release(&mut self) {
        self.phase = Phase::Foreign;
        self.inventory = None;
    }

    fn is_due(&self, interval: Millis, now: Millis) -> bool {
        self.asked.is_none_or(|asked| now.since(asked) >= interval)
    }

    fn keep(&mut self, view: &View, now: Millis) -> Option<Effect> {
        if view.fleet.covers(self.worker.as_str(), self.epoch).is_some() {
            // Nothing can be placed under a lost epoch; a new one makes the worker useful again.
            return self.ask(now);
        }
        self.heartbeat(view, now)
    }

    fn heartbeat(&mut self, view: &View, now: Millis) -> Option<Effect> {
        if !self.is_due(self.timing.heartbeat_ms, now) {
            return None;
        }
        let renewal = view.renewal(self.inventory.as_ref()?, now);
        self.asked = Some(now);
        Some(Effect::Heartbeat { epoch: self.epoch, renewal })
    }

    /// Gives the worker to the preferred controller, if that is heard.
    fn hand_over(&mut self, view: &View, now: Millis) -> Option<Effect> {
        let heir = view.preferred.filter(|name| view.membership.is_heard(name.as_str(), now));
        let Some(to) = heir else { return self.heartbeat(view, now) };
        self.release();
        self.wanted = None;
        Some(Effect::HandOver { to: to.clone(), epoch: self.epoch })
    }

    fn adopt(&mut self, view: &View, now: Millis) -> Option<Effect> {
        let wanted = *self.wanted.get_or_insert(now);
        let own = &view.membership.own().name;
        let rival = self.controller.as_ref().filter(|name| *name != own);
        let alive = rival.is_some_and(|name| view.membership.is_heard(name.as_str(), now));
        if alive && now.since(wanted) < self.timing.patience_ms {
            return None;
        }
        self.ask(now)
    }

    fn ask(&mut self, now: Millis) -> Option<Effect> {
        if !self.is_due(self.timing.retry_ms, now) {
            return None;
        }
        if self.phase == Phase::Foreign {
            self.phase = Phase::Adopting;
        }
        self.asked = Some(now);
        Some(Effect::Adopt { expected: self.epoch })
    }

    /// Records the loss of a worker that was silent for too long, if nothing covers it yet.
    fn lose(&mut self, view: &View, now: Millis) -> Option<Effect> {
        let silent = now.since(self.heard) > self.timing.silence_ms;
        let covered = view.fleet.covers(self.worker.as_str(), self.epoch).is_some();
        let asked = self.lost.is_some_and(|lost| now.since(lost) < self.timing.silence_ms);
        if !silent || covered || asked || self.epoch == 0 {
            return None;
        }
        self.lost = Some(now);
        let expect = view.fleet.loss(self.worker.as_str()).map_or(0, |loss| loss.version);
        Some(Effect::Lose { epoch: self.epoch, expect })
    }
}

#[cfg(test)]
mod tests;
