//! Handling of stewards' requests.

use super::controlled::{ControlledWorker, Reservation};
use super::{Controller, Grant, Operation};
use crate::clock::Millis;
use crate::contract::task;
use crate::machine::worker::{Action, Order, Start};
use crate::zone::membership::State;

impl Controller {
    /// Handles a steward's request. Resulting orders are queued as effects at once, unless a start
    /// has to wait for a current proof.
    pub fn handle(&mut self, operation: &Operation, now: Millis) -> Grant {
        let Ok(i) = self.position(operation.worker().as_str()) else {
            return Grant::Elsewhere;
        };
        let entry = &mut self.entries[i];
        let closed = entry.instance.state == State::Leaving || entry.preferred_since.is_none();
        let Some(worker) = &mut entry.controlled else {
            return Grant::Elsewhere;
        };
        worker.expire_reservations(now);
        let grant = match operation {
            Operation::Reserve { task, attempt, needs, until, .. } => {
                let (task, attempt) = (task.clone(), *attempt);
                let reservation = Reservation { task, attempt, needs: *needs, until: *until };
                reserve(worker, reservation, closed)
            }
            Operation::Release { task, .. } => {
                worker.drop_start(task);
                if !worker.is_starting(task) {
                    worker.unreserve(task);
                }
                Grant::Accepted
            }
            Operation::Start { task, attempt, start: order, .. } => {
                start(worker, task, *attempt, order)
            }
            Operation::Stop { task, attempt, checkpoint, .. } => {
                let action = if *checkpoint { Action::Checkpoint } else { Action::Stop };
                stop(worker, task, *attempt, action)
            }
        };
        self.send_orders(i, now);
        self.refresh(i, now);
        grant
    }
}

fn reserve(worker: &mut ControlledWorker, reservation: Reservation, closed: bool) -> Grant {
    let found = worker.reservations.binary_search_by(|r| r.task.cmp(&reservation.task));
    match found {
        Ok(i) if worker.reservations[i].attempt == reservation.attempt => {
            worker.reservations[i].until = reservation.until;
            Grant::Reserved { epoch: worker.epoch }
        }
        Ok(_) => Grant::Full,
        Err(_) if closed || worker.inventory.leaving => Grant::Full,
        Err(i) if worker.free().holds(&reservation.needs) => {
            worker.reservations.insert(i, reservation);
            Grant::Reserved { epoch: worker.epoch }
        }
        Err(_) => Grant::Full,
    }
}

fn start(
    worker: &mut ControlledWorker,
    task: &task::Id,
    attempt: task::Attempt,
    order: &Start,
) -> Grant {
    if worker.runs(task, attempt) {
        Grant::Running
    } else if worker.has_ended(task, attempt) || worker.is_starting(task) {
        Grant::Accepted
    } else if order.epoch < worker.epoch || worker.is_refused(task, attempt) {
        // The inventory received with the newer epoch lacks the attempt, and the worker refuses
        // start orders of older epochs.
        Grant::Absent
    } else if order.epoch > worker.epoch {
        Grant::Elsewhere
    } else {
        let action = Action::Start(order.clone());
        worker.enqueue(Order { task: task.clone(), attempt, action });
        Grant::Accepted
    }
}

/// Stops an attempt. The order is sent even if the attempt is missing from the inventory: its start
/// order may be unanswered, and the inventory may be older than the start. After the stop the
/// worker refuses a start order that is still in flight.
fn stop(
    worker: &mut ControlledWorker,
    task: &task::Id,
    attempt: task::Attempt,
    action: Action,
) -> Grant {
    if worker.has_ended(task, attempt) {
        return Grant::Accepted;
    }
    if worker.is_refused(task, attempt) {
        return Grant::Absent;
    }
    worker.drop_start(task);
    if !worker.is_starting(task) {
        worker.unreserve(task);
    }
    worker.enqueue(Order { task: task.clone(), attempt, action });
    Grant::Accepted
}
