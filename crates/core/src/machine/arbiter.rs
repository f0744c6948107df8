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

/// Most attempts that a worker remembers as ended or refused. While as many are remembered it
/// starts nothing.
const MAX_PAST: usize = 4096;
/// How long a stop order for an attempt that doesn't run is remembered; longer than any start
/// order is valid ([`crate::machine::lease::Bounds::start_by`]).
const STOP_MEMORY: Millis = Millis::from_secs(600);

/// An attempt that ended or was refused for good. It is remembered until its start orders are too
/// late by themselves, so that a delayed one can't start it again.
#[derive(Clone, Debug)]
struct Past {
    task: task::Id,
    attempt: task::Attempt,
    start_by: Millis,
}

/// When a running attempt started, and by when it had to.
#[derive(Clone, Copy, Debug)]
struct Started {
    at: Millis,
    start_by: Millis,
}

/// The state on which a worker decides.
#[derive(Clone, Debug)]
pub struct Arbiter {
    inventory: Inventory,
    /// When each running attempt started, in the order of `inventory.running`.
    started: Vec<Started>,
    /// Last sequence number that was given to an ended attempt.
    sequence: u64,
    /// Attempts that ended or were refused, oldest first.
    past: Vec<Past>,
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

    /// Renews the leases of the given attempts, as far as they are running; starts none. Returns
    /// whether the epoch is the present one.
    pub fn renew(
        &mut self,
        epoch: Epoch,
        attempts: &[(task::Id, task::Attempt)],
        until: Millis,
        now: Millis,
    ) -> bool {
        self.lapse(now);
        let current = epoch == self.inventory.epoch;
        for (task, attempt) in attempts.iter().filter(|_| current) {
            if let Ok(i) = self.position(task) {
                let holding = &mut self.inventory.running[i];
                if holding.attempt == *attempt {
                    holding.until = holding.until.max(until);
                }
            }
        }
        current
    }

    /// Renews the leases of all running attempts. Returns whether the epoch is the present one.
    ///
    /// Right only if no loss covers any of them: an attempt that was recorded under a lost epoch
    /// must not be renewed under a newer one. [`crate::machine::adoption`] tells which may be.
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
            Ok(_) => return self.refuse(order, Refusal::Conflict, start.start_by, now),
            Err(i) => i,
        };
        if self.past.iter().any(|p| p.task == order.task && p.attempt >= order.attempt) {
            return Reply::Refused(Refusal::Conflict);
        }
        if now > start.start_by || now > start.until {
            return Reply::Refused(Refusal::Late);
        }
        if self.inventory.leaving {
            return Reply::Refused(Refusal::Leaving);
        }
        if self.is_full(now) {
            return Reply::Refused(Refusal::Full);
        }
        if !self.inventory.free().holds(&start.needs) {
            return self.refuse(order, Refusal::Capacity, start.start_by, now);
        }
        self.inventory.running.insert(i, Holding::started(order, start));
        self.started.insert(i, Started { at: now, start_by: start.start_by });
        Reply::Done
    }

    /// Refuses an attempt for good, so that a start order under way until `start_by` can't start it
    /// later.
    fn refuse(&mut self, order: &Order, refusal: Refusal, start_by: Millis, now: Millis) -> Reply {
        if self.is_full(now) {
            return Reply::Refused(Refusal::Full);
        }
        let (task, attempt) = (order.task.clone(), order.attempt);
        self.past.push(Past { task, attempt, start_by });
        Reply::Refused(refusal)
    }

    /// Forgets the attempts whose start orders are too late by now. Returns whether the rest, with
    /// those that run, is as much as may be remembered.
    fn is_full(&mut self, now: Millis) -> bool {
        self.past.retain(|p| p.start_by >= now);
        self.past.len() + self.started.len() >= MAX_PAST
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
            _ => self.refuse(order, Refusal::Absent, now + STOP_MEMORY, now),
        }
    }

    fn remove(&mut self, i: usize, ending: Ending, now: Millis) {
        let holding = self.inventory.running.remove(i);
        let started = self.started.remove(i);
        self.sequence += 1;
        let (task, attempt) = (holding.task.clone(), holding.attempt);
        self.past.push(Past { task, attempt, start_by: started.start_by });
        self.inventory.ended.push(Ended {
            sequence: self.sequence,
            task: holding.task,
            attempt: holding.attempt,
            team: holding.team,
            ending,
            peak: holding.usage,
            ran_ms: now.since(started.at),
        });
    }
}

#[cfg(test)]
mod tests;
