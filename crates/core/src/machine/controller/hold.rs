//! One controlled worker: its inventory, reservations and orders.

use super::{Heard, Outcome, Pulse};
use crate::clock::Millis;
use crate::contract::task;
use crate::machine::adoption::{Renewal, View};
use crate::machine::capacity::Capacity;
use crate::machine::worker::{
    Action, Ended, Epoch, Holding, Inventory, Order, Refusal, Reply, Start,
};

/// Attempts that are remembered as never to be started.
const REMEMBERED: usize = 1024;

/// Answers to signs of life after which an ending that came before would have been heard.
const HEARINGS: u8 = 2;

/// Capacity that is held for an attempt.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub task: task::Id,
    pub attempt: task::Attempt,
    pub needs: Capacity,
    pub until: Millis,
}

/// An order that is to be sent, or whose answer is awaited.
#[derive(Clone, Debug)]
struct Waiting {
    order: Order,
    sent: bool,
}

/// The state of a controlled worker.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    pub epoch: Epoch,
    pub inventory: Inventory,
    revision: u64,
    /// Sorted by task.
    pub reservations: Vec<Reservation>,
    waiting: Vec<Waiting>,
    /// Sequences that are recorded, above the acknowledged one. Sorted.
    recorded: Vec<u64>,
    acknowledged: u64,
    /// Attempts that never start here, oldest first.
    refused: Vec<(task::Id, task::Attempt)>,
    /// Attempts that the worker said it doesn't run.
    absent: Vec<Absent>,
}

/// An attempt that the worker said it doesn't run. It may have ended just before, so that its
/// ending must be heard first if there is one.
#[derive(Clone, Debug)]
struct Absent {
    task: task::Id,
    attempt: task::Attempt,
    /// Answers to signs of life that are still to be heard. The first may be older than the word.
    hearings: u8,
}

impl Hold {
    pub fn new(inventory: Inventory) -> Self {
        Self {
            epoch: inventory.epoch,
            inventory,
            revision: 0,
            reservations: Vec::new(),
            waiting: Vec::new(),
            recorded: Vec::new(),
            acknowledged: 0,
            refused: Vec::new(),
            absent: Vec::new(),
        }
    }

    /// Returns the capacity that is neither taken nor reserved.
    pub fn free(&self) -> Capacity {
        let reserved = self.reservations.iter().fold(Capacity::ZERO, |sum, r| sum.plus(&r.needs));
        self.inventory.free().saturating_sub(&reserved)
    }

    /// Drops reservations that lapsed and have no start order waiting.
    pub fn lapse(&mut self, now: Millis) {
        let waiting = &self.waiting;
        self.reservations
            .retain(|r| r.until >= now || waiting.iter().any(|w| w.order.task == r.task));
    }

    pub fn runs(&self, task: &task::Id, attempt: task::Attempt) -> bool {
        self.inventory
            .running
            .binary_search_by(|h| h.task.cmp(task))
            .is_ok_and(|i| self.inventory.running[i].attempt == attempt)
    }

    pub fn has_ended(&self, task: &task::Id, attempt: task::Attempt) -> bool {
        self.inventory.ended.iter().any(|e| e.task == *task && e.attempt == attempt)
    }

    pub fn is_refused(&self, task: &task::Id, attempt: task::Attempt) -> bool {
        self.refused.iter().any(|(t, a)| t == task && *a >= attempt)
    }

    /// Never starts the attempt from now on.
    pub fn refuse(&mut self, task: &task::Id, attempt: task::Attempt) {
        self.refused.push((task.clone(), attempt));
        if self.refused.len() > REMEMBERED {
            self.refused.remove(0);
        }
    }

    /// Adds an order, unless the same is waiting.
    pub fn enqueue(&mut self, order: Order) {
        let same = |w: &Waiting| {
            w.order.task == order.task
                && w.order.attempt == order.attempt
                && std::mem::discriminant(&w.order.action) == std::mem::discriminant(&order.action)
        };
        if !self.waiting.iter().any(same) {
            self.waiting.push(Waiting { order, sent: false });
        }
    }

    /// Returns whether a start order for the task was sent and not answered.
    pub fn is_starting(&self, task: &task::Id) -> bool {
        let starts = |w: &Waiting| w.sent && matches!(w.order.action, Action::Start(_));
        self.waiting.iter().any(|w| w.order.task == *task && starts(w))
    }

    /// Drops a start order that was not sent.
    pub fn drop_start(&mut self, task: &task::Id) {
        let starts = |w: &Waiting| matches!(w.order.action, Action::Start(_));
        self.waiting.retain(|w| w.sent || w.order.task != *task || !starts(w));
    }

    /// Takes the orders that may be sent now. A start waits until it can be shown that no loss is
    /// in force, and its lease ends where one that is given now ends.
    pub fn orders(&mut self, view: &View, now: Millis) -> Vec<Order> {
        let worker = self.inventory.worker.name.as_str();
        let mut orders = Vec::new();
        for waiting in self.waiting.iter_mut().filter(|w| !w.sent) {
            if let Action::Start(start) = &mut waiting.order.action {
                if !view.may_start(worker, start.epoch, now) {
                    continue;
                }
                start.until = view.bounds.until(now);
            }
            waiting.sent = true;
            orders.push(waiting.order.clone());
        }
        orders
    }

    /// Takes in answers to orders. Returns whether this instance is still the controller.
    pub fn ordered(&mut self, orders: &[Order], outcome: Outcome<Vec<Reply>>) -> bool {
        let Outcome::Answered(replies) = outcome else {
            // The orders may have taken effect. They are sent again when they are wished again.
            self.waiting.retain(|w| !w.sent || !orders.contains(&w.order));
            return true;
        };
        self.waiting.retain(|w| !w.sent || !orders.contains(&w.order));
        for (order, reply) in orders.iter().zip(&replies) {
            match (&order.action, reply) {
                (_, Reply::Refused(Refusal::Epoch)) => return false,
                (Action::Start(start), Reply::Done) => self.started(order, start),
                // A duplicate of the order may be taken later.
                (Action::Start(_), Reply::Refused(Refusal::Full)) => {}
                (Action::Start(_), Reply::Refused(_)) => {
                    self.note_absent(order);
                    self.unreserve(&order.task);
                }
                (Action::Stop | Action::Checkpoint, Reply::Refused(Refusal::Absent)) => {
                    self.note_absent(order);
                }
                _ => {}
            }
        }
        true
    }

    fn note_absent(&mut self, order: &Order) {
        let Order { task, attempt, .. } = order.clone();
        self.absent.retain(|a| a.task != task);
        self.absent.push(Absent { task, attempt, hearings: HEARINGS });
    }

    fn started(&mut self, order: &Order, start: &Start) {
        self.unreserve(&order.task);
        let Err(i) = self.inventory.running.binary_search_by(|h| h.task.cmp(&order.task)) else {
            return;
        };
        if self.has_ended(&order.task, order.attempt) {
            return;
        }
        self.inventory.running.insert(i, Holding::started(order, start));
    }

    pub fn unreserve(&mut self, task: &task::Id) {
        self.reservations.retain(|r| r.task != *task);
    }

    /// Takes in the worker's answer to a sign of life.
    pub fn hear(&mut self, heard: Heard) {
        if let Some(inventory) = heard.inventory {
            self.revision = heard.revision;
            self.inventory = inventory;
        }
        self.inventory.ended = heard.ended;
        for absent in &mut self.absent {
            absent.hearings = absent.hearings.saturating_sub(1);
        }
        let heard: Vec<Absent> = self.absent.extract_if(.., |a| a.hearings == 0).collect();
        for Absent { task, attempt, .. } in heard {
            if !self.has_ended(&task, attempt) {
                self.refuse(&task, attempt);
            }
        }
    }

    /// Returns the ended attempts that are not recorded yet.
    pub fn unrecorded(&self) -> impl Iterator<Item = &Ended> {
        let recorded = &self.recorded;
        self.inventory
            .ended
            .iter()
            .filter(|e| e.sequence > self.acknowledged)
            .filter(|e| recorded.binary_search(&e.sequence).is_err())
    }

    /// Notes that the ended attempt with this sequence is recorded.
    pub fn record(&mut self, sequence: u64) {
        if let Err(i) = self.recorded.binary_search(&sequence) {
            self.recorded.insert(i, sequence);
        }
        let first_open = self.unrecorded().map(|e| e.sequence).next();
        let last = self.inventory.ended.last().map_or(0, |e| e.sequence);
        let done = first_open.map_or(last, |open| open - 1);
        self.acknowledged = self.acknowledged.max(done);
        let acknowledged = self.acknowledged;
        self.recorded.retain(|s| *s > acknowledged);
    }

    /// Returns the new end of all leases when all may be renewed; else enqueues a renewal for each
    /// attempt that may, and a stop for each that is lost.
    pub fn renew(&mut self, view: &View, now: Millis) -> Option<Millis> {
        let Renewal { until, attempts } = view.renewal(&self.inventory, now);
        // Without a proof each attempt is named: one that was started a moment ago may run without
        // being in the inventory yet, and need not be of a kind that holds.
        if view.is_current(now) && attempts.len() == self.inventory.running.len() {
            return Some(until);
        }
        let worker = self.inventory.worker.name.as_str();
        let renewed = |h: &Holding| attempts.iter().any(|(t, a)| *t == h.task && *a == h.attempt);
        let is_lost = |h: &Holding| view.fleet.covers(worker, h.epoch).is_some() && !renewed(h);
        let lost: Vec<(task::Id, task::Attempt)> = self
            .inventory
            .running
            .iter()
            .filter(|h| is_lost(h))
            .map(|h| (h.task.clone(), h.attempt))
            .collect();
        for (task, attempt) in attempts {
            self.enqueue(Order { task, attempt, action: Action::Renew { until } });
        }
        for (task, attempt) in lost {
            self.enqueue(Order { task, attempt, action: Action::Stop });
        }
        None
    }

    pub const fn pulse(&self, renew_all: Option<Millis>) -> Pulse {
        let Self { epoch, revision, acknowledged, .. } = self;
        Pulse { epoch: *epoch, seen: *revision, acknowledged: *acknowledged, renew_all }
    }
}
