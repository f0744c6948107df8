//! Decorators of workers and runners that record their answers in the timeline.
//!
//! An answer is recorded before it is returned, so that in the timeline the end of an attempt
//! precedes everything that the caller does because of it.

#[cfg(test)]
mod tests;

use super::{Failure, Runner, Worker};
use crate::telemetry::Telemetry;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::worker::{Action, Ended, Epoch, Inventory, Order, Reply, Start};
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::runner::{Call, Done, Slots};
use pimentovalve_wire::worker::{Adopt, Adopted, Heartbeat, HeartbeatReply, Orders, Replies};
use std::sync::{Arc, Mutex, PoisonError};

/// A client of machines that records their answers in the timeline.
pub struct Observed<M: ?Sized> {
    telemetry: Telemetry,
    /// The recorded state of each worker, sorted by address.
    workers: Mutex<Vec<WorkerState>>,
    machine: Arc<M>,
}

/// The state of a worker as recorded in the timeline.
#[derive(Debug)]
struct WorkerState {
    address: String,
    worker: Name,
    epoch: Epoch,
    /// Running attempts, sorted.
    running: Vec<(task::Id, task::Attempt)>,
    /// Sequence of the last ended attempt that was recorded.
    ended: u64,
}

impl<M: ?Sized> Observed<M> {
    /// Returns a decorator of `machine`.
    pub const fn new(machine: Arc<M>, telemetry: Telemetry) -> Self {
        Self { telemetry, workers: Mutex::new(Vec::new()), machine }
    }

    /// Updates the state of a worker and records the events that `update` returns. Workers that
    /// were never adopted through this client are ignored.
    fn update(&self, address: &str, update: impl FnOnce(&mut WorkerState) -> Vec<What>) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = workers.binary_search_by(|w| w.address.as_str().cmp(address)) {
            for what in update(&mut workers[i]) {
                self.telemetry.note(what);
            }
        }
    }

    fn adopted(&self, address: &str, inventory: &Inventory) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let worker = inventory.worker.name.clone();
        let epoch = inventory.epoch;
        match workers.binary_search_by(|w| w.address.as_str().cmp(address)) {
            Ok(i) if workers[i].worker == worker => workers[i].epoch = epoch,
            Ok(i) => workers[i] = WorkerState::new(address, worker.clone(), epoch),
            Err(i) => workers.insert(i, WorkerState::new(address, worker.clone(), epoch)),
        }
        drop(workers);
        let capacity = inventory.worker.capacity;
        self.telemetry.note(What::WorkerAdopted { worker, epoch, capacity });
        self.update(address, |state| {
            let mut changes = state.ended(&inventory.ended);
            changes.extend(state.running(inventory));
            changes
        });
    }
}

impl WorkerState {
    fn new(address: &str, worker: Name, epoch: Epoch) -> Self {
        Self { address: address.into(), worker, epoch, running: Vec::new(), ended: 0 }
    }

    /// Applies ended attempts, some of which may have been recorded before, and returns events for
    /// the new ones.
    fn ended(&mut self, ended: &[Ended]) -> Vec<What> {
        let mut changes = Vec::new();
        for ended in ended.iter().filter(|ended| ended.sequence > self.ended) {
            let key = (ended.task.clone(), ended.attempt);
            if let Ok(i) = self.running.binary_search(&key) {
                self.running.remove(i);
            }
            changes.push(What::AttemptEnded {
                task: ended.task.clone(),
                attempt: ended.attempt,
                worker: self.worker.clone(),
                outcome: (&ended.ending).into(),
                ran_ms: ended.ran_ms,
            });
        }
        let last = ended.iter().map(|ended| ended.sequence).max();
        self.ended = self.ended.max(last.unwrap_or_default());
        changes
    }

    /// Replaces the running attempts by those of an inventory, and returns events for the new ones.
    fn running(&mut self, inventory: &Inventory) -> Vec<What> {
        let mut changes = Vec::new();
        let mut running = Vec::new();
        for run in &inventory.running {
            let key = (run.task.clone(), run.attempt);
            if self.running.binary_search(&key).is_err() {
                changes.push(What::AttemptStarted {
                    task: run.task.clone(),
                    attempt: run.attempt,
                    worker: self.worker.clone(),
                    needs: run.needs,
                });
            }
            running.push(key);
        }
        running.sort();
        self.running = running;
        changes
    }

    /// Applies the answer to a start order.
    fn replied(&mut self, order: &Order, start: &Start, reply: &Reply) -> Option<What> {
        let (task, attempt, worker) = (order.task.clone(), order.attempt, self.worker.clone());
        match reply {
            Reply::Refused(refusal) => {
                Some(What::OrderRefused { task, attempt, worker, refusal: *refusal })
            }
            Reply::Done => {
                let key = (task.clone(), attempt);
                let gap = self.running.binary_search(&key).err()?;
                self.running.insert(gap, key);
                Some(What::AttemptStarted { task, attempt, worker, needs: start.needs })
            }
        }
    }
}

/// Returns the start orders with their positions in `orders`.
fn starts(orders: &[Order]) -> impl Iterator<Item = (usize, &Order, &Start)> {
    orders.iter().enumerate().filter_map(|(i, order)| match &order.action {
        Action::Start(start) => Some((i, order, start)),
        _ => None,
    })
}

impl<M: Worker + ?Sized> Worker for Observed<M> {
    fn adopt<'a>(
        &'a self,
        address: &'a str,
        adopt: Adopt,
    ) -> Pending<'a, Result<Adopted, Failure>> {
        Box::pin(async move {
            let adopted = self.machine.adopt(address, adopt).await;
            if let Ok(Adopted::Yes(inventory)) = &adopted {
                self.adopted(address, inventory);
            }
            adopted
        })
    }

    fn order<'a>(
        &'a self,
        address: &'a str,
        orders: Orders,
    ) -> Pending<'a, Result<Replies, Failure>> {
        Box::pin(async move {
            let sent = orders.clone();
            self.update(address, |state| {
                let worker = &state.worker;
                let sent = starts(&sent.orders).map(|(_, order, _)| What::OrderSent {
                    task: order.task.clone(),
                    attempt: order.attempt,
                    worker: worker.clone(),
                    epoch: sent.epoch,
                });
                sent.collect()
            });
            let replies = self.machine.order(address, orders).await;
            if let Ok(Replies { replies }) = &replies {
                self.update(address, |state| {
                    let answered = starts(&sent.orders)
                        .filter_map(|(i, order, start)| Some((order, start, replies.get(i)?)));
                    answered
                        .filter_map(|(order, start, reply)| state.replied(order, start, reply))
                        .collect()
                });
            }
            replies
        })
    }

    fn reply<'a>(
        &'a self,
        address: &'a str,
        heartbeat: Heartbeat,
    ) -> Pending<'a, Result<HeartbeatReply, Failure>> {
        Box::pin(async move {
            let reply = self.machine.reply(address, heartbeat).await;
            if let Ok(reply) = &reply {
                self.update(address, |state| {
                    let mut changes = state.ended(&reply.ended);
                    if reply.epoch > state.epoch {
                        let (worker, epoch) = (state.worker.clone(), state.epoch);
                        state.epoch = reply.epoch;
                        changes.push(What::WorkerDeposed { worker, epoch });
                    }
                    if let Some(inventory) = &reply.inventory {
                        changes.extend(state.running(inventory));
                    }
                    changes
                });
            }
            reply
        })
    }
}

impl<M: Runner + ?Sized> Runner for Observed<M> {
    fn serve<'a>(
        &'a self,
        address: &'a str,
        call: Call,
        new_connection: bool,
    ) -> Pending<'a, Result<Done, Failure>> {
        Box::pin(async move {
            let (request, attempt) = (call.request.clone(), call.attempt.clone());
            let done = self.machine.serve(address, call, new_connection).await;
            match &done {
                Ok(done) => {
                    let (request, attempt) = (done.request.clone(), done.attempt.clone());
                    self.telemetry.note(What::RequestServed { request, attempt });
                }
                Err(Failure::Refused(_)) => {
                    self.telemetry.note(What::TryRefused { request, attempt });
                }
                Err(_) => {}
            }
            done
        })
    }

    fn slots<'a>(&'a self, address: &'a str) -> Pending<'a, Result<Slots, Failure>> {
        self.machine.slots(address)
    }

    fn forget(&self, address: &str) {
        self.machine.forget(address);
    }
}
