//! The arbiter of a worker: what is assumed of every worker, written down as code.
//!
//! A worker decides for itself who controls it, by compare-and-set of an epoch, and refuses
//! whatever a former controller still sends. Nothing else is needed for ownership: no store, no
//! agreement between controllers. Model: `specs/adoption.tla` and `specs/attempt.tla`.
//! The stand-in worker runs this code; the guards of a real worker must be the same.

use crate::clock::Millis;
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::machine::worker::{
    Action, Ended, Ending, Epoch, Holding, Inventory, Order, Refusal, Reply, Start, Worker,
};
use crate::name::Name;

/// Ended attempts that are remembered after they were acknowledged, so that a delayed start order
/// of an ended attempt stays refused until its `start_by` has passed.
const REMEMBERED: usize = 4096;

/// The state on which a worker decides.
#[derive(Clone, Debug)]
pub struct Arbiter {
    inventory: Inventory,
    /// When each running attempt started, in the order of `inventory.running`.
    started: Vec<Millis>,
    /// Last sequence number that was given to an ended attempt.
    sequence: u64,
    /// Ended attempts, oldest first.
    past: Vec<(task::Id, task::Attempt)>,
}

impl Arbiter {
    /// Returns the arbiter of an idle worker without a controller.
    pub const fn new(worker: Worker) -> Self {
        let inventory = Inventory {
            worker,
            epoch: 0,
            controller: None,
            leaving: false,
            running: Vec::new(),
            ended: Vec::new(),
        };
        Self { inventory, started: Vec::new(), sequence: 0, past: Vec::new() }
    }

    /// Returns the present inventory.
    pub const fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Makes `controller` the controller if the present epoch is `expected`; raises the epoch.
    ///
    /// # Errors
    ///
    /// Returns the present epoch when it is another.
    pub fn adopt(&mut self, controller: &Name, expected: Epoch) -> Result<&Inventory, Epoch> {
        if self.inventory.epoch != expected {
            return Err(self.inventory.epoch);
        }
        self.inventory.epoch += 1;
        self.inventory.controller = Some(controller.clone());
        Ok(&self.inventory)
    }

    /// Marks the worker as leaving: it starts nothing new.
    pub fn leave(&mut self) {
        self.inventory.leaving = true;
    }

    /// Carries out an order of the controller with the given epoch.
    pub fn order(&mut self, epoch: Epoch, order: &Order, now: Millis) -> Reply {
        self.lapse(now);
        if epoch != self.inventory.epoch {
            return Reply::Refused(Refusal::Epoch);
        }
        match &order.action {
            Action::Start(start) => self.start(order, start, now),
            Action::Renew { until } => self.with_running(order, |h| h.until = h.until.max(*until)),
            Action::Throttle { .. } => self.with_running(order, |_| {}),
            Action::Stop => self.stop(order, Ending::Stopped, now),
            Action::Checkpoint => self.stop(order, Ending::Checkpointed, now),
        }
    }

    /// Renews the leases of all running attempts. Returns whether the epoch is the present one.
    pub fn renew_all(&mut self, epoch: Epoch, until: Millis, now: Millis) -> bool {
        self.lapse(now);
        let current = epoch == self.inventory.epoch;
        if current {
            for holding in &mut self.inventory.running {
                holding.until = holding.until.max(until);
            }
        }
        current
    }

    /// Ends the attempts whose lease lapsed before `now`.
    pub fn lapse(&mut self, now: Millis) {
        while let Some(i) = self.inventory.running.iter().position(|h| h.until < now) {
            self.remove(i, Ending::Lapsed, now);
        }
    }

    /// Ends a running attempt by itself: it completed or failed. Returns whether it was running.
    pub fn finish(
        &mut self,
        task: &task::Id,
        attempt: task::Attempt,
        ending: Ending,
        now: Millis,
    ) -> bool {
        self.lapse(now);
        match self.position(task) {
            Ok(i) if self.inventory.running[i].attempt == attempt => {
                self.remove(i, ending, now);
                true
            }
            _ => false,
        }
    }

    /// Forgets the reports of ended attempts up to `sequence`, which the controller has recorded.
    pub fn acknowledge(&mut self, epoch: Epoch, sequence: u64) {
        if epoch == self.inventory.epoch {
            self.inventory.ended.retain(|e| e.sequence > sequence);
        }
    }

    /// Notes the usage of a running attempt.
    pub fn sample(&mut self, task: &task::Id, usage: &Capacity) {
        if let Ok(i) = self.position(task) {
            self.inventory.running[i].usage = *usage;
        }
    }

    fn position(&self, task: &task::Id) -> Result<usize, usize> {
        self.inventory.running.binary_search_by(|h| h.task.cmp(task))
    }

    fn start(&mut self, order: &Order, start: &Start, now: Millis) -> Reply {
        // The epoch is that of the attempt's record: a controller that was adopted again since
        // must not start an attempt that was recorded, and may be fenced, under its old epoch.
        if start.epoch != self.inventory.epoch {
            return Reply::Refused(Refusal::Epoch);
        }
        let i = match self.position(&order.task) {
            Ok(i) if self.inventory.running[i].attempt == order.attempt => return Reply::Done,
            Ok(_) => return self.refuse(order, Refusal::Conflict),
            Err(i) => i,
        };
        if self.past.iter().any(|(t, a)| *t == order.task && *a >= order.attempt) {
            return Reply::Refused(Refusal::Conflict);
        }
        if now > start.start_by || now > start.until {
            return Reply::Refused(Refusal::Late);
        }
        if self.inventory.leaving {
            return Reply::Refused(Refusal::Leaving);
        }
        if !self.inventory.free().holds(&start.needs) {
            return self.refuse(order, Refusal::Capacity);
        }
        let holding = Holding {
            task: order.task.clone(),
            attempt: order.attempt,
            epoch: start.epoch,
            team: start.team.clone(),
            kind: start.kind.clone(),
            needs: start.needs,
            until: start.until,
            usage: Capacity::ZERO,
        };
        self.inventory.running.insert(i, holding);
        self.started.insert(i, now);
        Reply::Done
    }

    /// Refuses an attempt for good, so that a duplicate of the order can't start it later.
    fn refuse(&mut self, order: &Order, refusal: Refusal) -> Reply {
        self.remember(order.task.clone(), order.attempt);
        Reply::Refused(refusal)
    }

    fn remember(&mut self, task: task::Id, attempt: task::Attempt) {
        self.past.push((task, attempt));
        if self.past.len() > REMEMBERED {
            self.past.remove(0);
        }
    }

    fn with_running(&mut self, order: &Order, change: impl FnOnce(&mut Holding)) -> Reply {
        match self.position(&order.task) {
            Ok(i) if self.inventory.running[i].attempt == order.attempt => {
                change(&mut self.inventory.running[i]);
                Reply::Done
            }
            _ => Reply::Refused(Refusal::Absent),
        }
    }

    fn stop(&mut self, order: &Order, ending: Ending, now: Millis) -> Reply {
        match self.position(&order.task) {
            Ok(i) if self.inventory.running[i].attempt == order.attempt => {
                self.remove(i, ending, now);
                Reply::Done
            }
            // A start order that is still under way must not start what was stopped.
            _ => self.refuse(order, Refusal::Absent),
        }
    }

    fn remove(&mut self, i: usize, ending: Ending, now: Millis) {
        let holding = self.inventory.running.remove(i);
        let started = self.started.remove(i);
        self.sequence += 1;
        self.remember(holding.task.clone(), holding.attempt);
        self.inventory.ended.push(Ended {
            sequence: self.sequence,
            task: holding.task,
            attempt: holding.attempt,
            team: holding.team,
            ending,
            peak: holding.usage,
            ran_ms: now.since(started),
        });
    }
}
