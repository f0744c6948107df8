//! Answers to the wishes of stewards.

use super::hold::{Hold, Reservation};
use super::{Controller, Grant, Wish};
use crate::clock::Millis;
use crate::contract::task;
use crate::machine::worker::{Action, Order, Start};
use crate::zone::membership::State;

impl Controller {
    /// Takes in a wish and answers it. Orders that it brings about are sent at once.
    pub fn wish(&mut self, wish: &Wish, now: Millis) -> Grant {
        let Ok(i) = self.position(wish.worker().as_str()) else {
            return Grant::Elsewhere;
        };
        let entry = &mut self.entries[i];
        let closed = entry.instance.state == State::Leaving || entry.preferred.is_none();
        let Some(hold) = &mut entry.hold else {
            return Grant::Elsewhere;
        };
        hold.lapse(now);
        let grant = match wish {
            Wish::Reserve { task, attempt, needs, until, .. } => {
                let (task, attempt) = (task.clone(), *attempt);
                let reservation = Reservation { task, attempt, needs: *needs, until: *until };
                reserve(hold, reservation, closed)
            }
            Wish::Release { task, .. } => {
                hold.drop_start(task);
                if !hold.is_starting(task) {
                    hold.unreserve(task);
                }
                Grant::Accepted
            }
            Wish::Start { task, attempt, start, .. } => begin(hold, task, *attempt, start),
            Wish::Stop { task, attempt, checkpoint, .. } => {
                let action = if *checkpoint { Action::Checkpoint } else { Action::Stop };
                end(hold, task, *attempt, action)
            }
        };
        self.send_orders(i, now);
        self.refresh(i, now);
        grant
    }
}

fn reserve(hold: &mut Hold, reservation: Reservation, closed: bool) -> Grant {
    let found = hold.reservations.binary_search_by(|r| r.task.cmp(&reservation.task));
    match found {
        Ok(i) if hold.reservations[i].attempt == reservation.attempt => {
            hold.reservations[i].until = reservation.until;
            Grant::Reserved { epoch: hold.epoch }
        }
        Ok(_) => Grant::Full,
        Err(_) if closed || hold.inventory.leaving => Grant::Full,
        Err(i) if hold.free().holds(&reservation.needs) => {
            hold.reservations.insert(i, reservation);
            Grant::Reserved { epoch: hold.epoch }
        }
        Err(_) => Grant::Full,
    }
}

fn begin(hold: &mut Hold, task: &task::Id, attempt: task::Attempt, start: &Start) -> Grant {
    if hold.runs(task, attempt) {
        Grant::Running
    } else if hold.has_ended(task, attempt) || hold.is_starting(task) {
        Grant::Accepted
    } else if start.epoch < hold.epoch || hold.is_refused(task, attempt) {
        // The inventory of a newer epoch lacks the attempt, and the worker refuses older epochs.
        Grant::Absent
    } else if start.epoch > hold.epoch {
        Grant::Elsewhere
    } else {
        let action = Action::Start(start.clone());
        hold.enqueue(Order { task: task.clone(), attempt, action });
        Grant::Accepted
    }
}

/// Stops an attempt. That nothing of it is seen from here doesn't show that it doesn't run: its
/// start may have been sent without an answer, and the inventory may be older than the start. So
/// the worker is asked, which then refuses a start that is still under way.
fn end(hold: &mut Hold, task: &task::Id, attempt: task::Attempt, action: Action) -> Grant {
    if hold.has_ended(task, attempt) {
        return Grant::Accepted;
    }
    if hold.is_refused(task, attempt) {
        return Grant::Absent;
    }
    hold.drop_start(task);
    if !hold.is_starting(task) {
        hold.unreserve(task);
    }
    hold.enqueue(Order { task: task.clone(), attempt, action });
    Grant::Accepted
}
