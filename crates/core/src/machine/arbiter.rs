//! The arbiter: reference implementation of the rules by which a worker accepts or refuses orders.
//!
//! A worker decides who controls it, by compare-and-set of an epoch, and refuses all orders of
//! former controllers. Ownership needs neither a store nor agreement between controllers. Model:
//! `specs/adoption.tla` and `specs/attempt.tla`. The stand-in worker runs this code; a real worker
//! must apply the same checks.

use crate::clock::Millis;
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::machine::worker::{
    Action, Ended, Ending, Epoch, Inventory, Order, Refusal, Reply, RunningAttempt, Start, Worker,
};
use crate::name::Name;

/// Limit on remembered ended and refused attempts, counting running ones. At the limit the worker
/// starts nothing.
const MAX_REMEMBERED: usize = 4096;
/// How long a stop order for an attempt that isn't running is remembered. Must exceed the validity
/// of any start order ([`crate::machine::lease::Bounds::start_by`]).
const STOP_RETENTION: Millis = Millis::from_secs(600);

/// An attempt that ended or was permanently refused. It is remembered until its start orders have
/// passed their `start_by`, so that a delayed one can't start it again.
#[derive(Clone, Debug)]
struct FinishedAttempt {
    task: task::Id,
    attempt: task::Attempt,
    start_by: Millis,
}

/// Start time of a running attempt, and the `start_by` of its start order.
#[derive(Clone, Copy, Debug)]
struct Started {
    at: Millis,
    start_by: Millis,
}

/// A worker's state: its inventory and the attempts that must not be started again.
#[derive(Clone, Debug)]
pub struct Arbiter {
    inventory: Inventory,
    /// One entry for each element of `inventory.running`, in the same order.
    started: Vec<Started>,
    /// Sequence number of the last ended attempt.
    sequence: u64,
    /// Ended and refused attempts, oldest first.
    finished: Vec<FinishedAttempt>,
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
        Self { inventory, started: Vec::new(), sequence: 0, finished: Vec::new() }
    }

    /// Returns the worker's running attempts and unacknowledged ended ones.
    pub const fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Makes `controller` the controller and increments the epoch, if the current epoch is
    /// `expected`.
    ///
    /// # Errors
    ///
    /// Returns the current epoch if it isn't `expected`.
    pub fn adopt(&mut self, controller: &Name, expected: Epoch) -> Result<&Inventory, Epoch> {
        if self.inventory.epoch != expected {
            return Err(self.inventory.epoch);
        }
        self.inventory.epoch += 1;
        self.inventory.controller = Some(controller.clone());
        Ok(&self.inventory)
    }

    /// Marks the worker as leaving, after which it refuses start orders.
    pub fn leave(&mut self) {
        self.inventory.leaving = true;
    }

    /// Carries out an order sent under `epoch`, or refuses it.
    pub fn order(&mut self, epoch: Epoch, order: &Order, now: Millis) -> Reply {
        self.expire_leases(now);
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

    /// Renews the leases of those of the given attempts that are running. Returns whether `epoch`
    /// is the current one.
    pub fn renew(
        &mut self,
        epoch: Epoch,
        attempts: &[(task::Id, task::Attempt)],
        until: Millis,
        now: Millis,
    ) -> bool {
        self.expire_leases(now);
        let current = epoch == self.inventory.epoch;
        for (task, attempt) in attempts.iter().filter(|_| current) {
            if let Ok(i) = self.position(task) {
                let run = &mut self.inventory.running[i];
                if run.attempt == *attempt {
                    run.until = run.until.max(until);
                }
            }
        }
        current
    }

    /// Renews the leases of all running attempts. Returns whether `epoch` is the current one.
    ///
    /// The controller may request this only if no loss covers any of them: an attempt recorded
    /// under a lost epoch must not be renewed under a newer one. [`crate::machine::adoption`]
    /// determines which attempts may be renewed.
    pub fn renew_all(&mut self, epoch: Epoch, until: Millis, now: Millis) -> bool {
        self.expire_leases(now);
        let current = epoch == self.inventory.epoch;
        if current {
            for run in &mut self.inventory.running {
                run.until = run.until.max(until);
            }
        }
        current
    }

    /// Ends the attempts whose lease expired before `now`.
    pub fn expire_leases(&mut self, now: Millis) {
        while let Some(i) = self.inventory.running.iter().position(|h| h.until < now) {
            self.remove(i, Ending::Lapsed, now);
        }
    }

    /// Records that a running attempt completed or failed on its own. Returns whether it was
    /// running.
    pub fn finish(
        &mut self,
        task: &task::Id,
        attempt: task::Attempt,
        ending: Ending,
        now: Millis,
    ) -> bool {
        self.expire_leases(now);
        match self.position(task) {
            Ok(i) if self.inventory.running[i].attempt == attempt => {
                self.remove(i, ending, now);
                true
            }
            _ => false,
        }
    }

    /// Drops the reports of ended attempts up to `sequence`, which the controller has recorded.
    /// Ignored unless `epoch` is the current one.
    pub fn acknowledge(&mut self, epoch: Epoch, sequence: u64) {
        if epoch == self.inventory.epoch {
            self.inventory.ended.retain(|e| e.sequence > sequence);
        }
    }

    /// Updates the measured usage of a running attempt.
    pub fn sample(&mut self, task: &task::Id, usage: &Capacity) {
        if let Ok(i) = self.position(task) {
            self.inventory.running[i].usage = *usage;
        }
    }

    fn position(&self, task: &task::Id) -> Result<usize, usize> {
        self.inventory.running.binary_search_by(|h| h.task.cmp(task))
    }

    fn start(&mut self, order: &Order, start: &Start, now: Millis) -> Reply {
        // `start.epoch` is the epoch of the attempt's record. A controller that has adopted the
        // worker again since then must not start the attempt: it may have been fenced along with
        // the old epoch.
        if start.epoch != self.inventory.epoch {
            return Reply::Refused(Refusal::Epoch);
        }
        let i = match self.position(&order.task) {
            Ok(i) if self.inventory.running[i].attempt == order.attempt => return Reply::Done,
            Ok(_) => return self.refuse(order, Refusal::Conflict, start.start_by, now),
            Err(i) => i,
        };
        if self.finished.iter().any(|f| f.task == order.task && f.attempt >= order.attempt) {
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
        self.inventory.running.insert(i, RunningAttempt::started(order, start));
        self.started.insert(i, Started { at: now, start_by: start.start_by });
        Reply::Done
    }

    /// Refuses an attempt permanently: start orders for it that arrive until `start_by` are refused
    /// too.
    fn refuse(&mut self, order: &Order, refusal: Refusal, start_by: Millis, now: Millis) -> Reply {
        if self.is_full(now) {
            return Reply::Refused(Refusal::Full);
        }
        let (task, attempt) = (order.task.clone(), order.attempt);
        self.finished.push(FinishedAttempt { task, attempt, start_by });
        Reply::Refused(refusal)
    }

    /// Drops finished attempts whose `start_by` has passed. Returns whether the remaining ones,
    /// with the running ones, have reached [`MAX_REMEMBERED`].
    fn is_full(&mut self, now: Millis) -> bool {
        self.finished.retain(|f| f.start_by >= now);
        self.finished.len() + self.started.len() >= MAX_REMEMBERED
    }

    fn with_running(&mut self, order: &Order, change: impl FnOnce(&mut RunningAttempt)) -> Reply {
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
            // A start order that is still in flight must not start the stopped attempt.
            _ => self.refuse(order, Refusal::Absent, now + STOP_RETENTION, now),
        }
    }

    fn remove(&mut self, i: usize, ending: Ending, now: Millis) {
        let run = self.inventory.running.remove(i);
        let started = self.started.remove(i);
        self.sequence += 1;
        let (task, attempt) = (run.task.clone(), run.attempt);
        self.finished.push(FinishedAttempt { task, attempt, start_by: started.start_by });
        self.inventory.ended.push(Ended {
            sequence: self.sequence,
            task: run.task,
            attempt: run.attempt,
            team: run.team,
            ending,
            peak: run.usage,
            ran_ms: now.since(started.at),
        });
    }
}

#[cfg(test)]
mod tests;
