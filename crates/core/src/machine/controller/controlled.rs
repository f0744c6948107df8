//! One controlled worker: its inventory, reservations and orders.

use super::{HeartbeatRequest, HeartbeatResponse, Outcome};
use crate::clock::Millis;
use crate::contract::task;
use crate::machine::adoption::{Renewal, View};
use crate::machine::capacity::Capacity;
use crate::machine::worker::{
    Action, Ended, Epoch, Inventory, Order, Refusal, Reply, RunningAttempt, Start,
};

/// Limit on the remembered attempts that must never be started.
const MAX_REFUSED: usize = 1024;

/// Heartbeat responses to wait for before a missing attempt is known not to have ended on the
/// worker. The first response may have been sent before the worker's refusal.
const ABSENCE_HEARTBEATS: u8 = 2;

/// Capacity reserved for an attempt.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub task: task::Id,
    pub attempt: task::Attempt,
    pub needs: Capacity,
    pub until: Millis,
}

/// An order that is queued, or sent and not yet answered.
#[derive(Clone, Debug)]
struct PendingOrder {
    order: Order,
    sent: bool,
}

/// State of a worker under this instance's control.
#[derive(Clone, Debug)]
pub(super) struct ControlledWorker {
    pub epoch: Epoch,
    pub inventory: Inventory,
    /// Revision of the inventory; 0 for the one received at adoption.
    revision: u64,
    /// Sorted by task.
    pub reservations: Vec<Reservation>,
    pending: Vec<PendingOrder>,
    /// Sequence numbers of recorded ended attempts above `acknowledged`, sorted.
    recorded: Vec<u64>,
    /// Sequence number up to which all ended attempts are recorded.
    acknowledged: u64,
    /// Attempts that must never be started on this worker, oldest first.
    refused: Vec<(task::Id, task::Attempt)>,
    /// Attempts that the worker reported as not running.
    absent: Vec<Absent>,
}

/// An attempt that the worker reported as not running. It may have ended just before the report,
/// so it counts as refused only once the worker would have reported its end.
#[derive(Clone, Debug)]
struct Absent {
    task: task::Id,
    attempt: task::Attempt,
    /// Heartbeat responses still to wait for.
    heartbeats_left: u8,
}

impl ControlledWorker {
    pub fn new(inventory: Inventory) -> Self {
        Self {
            epoch: inventory.epoch,
            inventory,
            revision: 0,
            reservations: Vec::new(),
            pending: Vec::new(),
            recorded: Vec::new(),
            acknowledged: 0,
            refused: Vec::new(),
            absent: Vec::new(),
        }
    }

    /// Returns the capacity neither used by running attempts nor reserved.
    pub fn free(&self) -> Capacity {
        let reserved = self.reservations.iter().fold(Capacity::ZERO, |sum, r| sum.plus(&r.needs));
        self.inventory.free().saturating_sub(&reserved)
    }

    /// Drops expired reservations whose task has no pending order.
    pub fn expire_reservations(&mut self, now: Millis) {
        let pending = &self.pending;
        self.reservations
            .retain(|r| r.until >= now || pending.iter().any(|p| p.order.task == r.task));
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

    /// Marks the attempt, and all earlier ones of the task, as never to be started.
    pub fn refuse(&mut self, task: &task::Id, attempt: task::Attempt) {
        self.refused.push((task.clone(), attempt));
        if self.refused.len() > MAX_REFUSED {
            self.refused.remove(0);
        }
    }

    /// Queues an order, unless one with the same task, attempt and kind of action is pending.
    pub fn enqueue(&mut self, order: Order) {
        let same = |p: &PendingOrder| {
            p.order.task == order.task
                && p.order.attempt == order.attempt
                && std::mem::discriminant(&p.order.action) == std::mem::discriminant(&order.action)
        };
        if !self.pending.iter().any(same) {
            self.pending.push(PendingOrder { order, sent: false });
        }
    }

    /// Returns whether a start order for the task was sent and not answered.
    pub fn is_starting(&self, task: &task::Id) -> bool {
        let starts = |p: &PendingOrder| p.sent && matches!(p.order.action, Action::Start(_));
        self.pending.iter().any(|p| p.order.task == *task && starts(p))
    }

    /// Drops the task's start order if it was not sent yet.
    pub fn drop_start(&mut self, task: &task::Id) {
        let starts = |p: &PendingOrder| matches!(p.order.action, Action::Start(_));
        self.pending.retain(|p| p.sent || p.order.task != *task || !starts(p));
    }

    /// Returns the queued orders that may be sent now and marks them as sent.
    ///
    /// A start order stays queued until the proof that no loss covers its epoch is current; its
    /// lease is computed when it is sent.
    pub fn orders(&mut self, view: &View, now: Millis) -> Vec<Order> {
        let worker = self.inventory.worker.name.as_str();
        let mut orders = Vec::new();
        for pending in self.pending.iter_mut().filter(|p| !p.sent) {
            if let Action::Start(start) = &mut pending.order.action {
                if !view.may_start(worker, start.epoch, now) {
                    continue;
                }
                start.until = view.bounds.until(now);
            }
            pending.sent = true;
            orders.push(pending.order.clone());
        }
        orders
    }

    /// Handles the replies to orders. Returns whether this instance is still the controller.
    pub fn ordered(&mut self, orders: &[Order], outcome: Outcome<Vec<Reply>>) -> bool {
        let Outcome::Answered(replies) = outcome else {
            // The orders may have taken effect. The steward requests them again if needed.
            self.pending.retain(|p| !p.sent || !orders.contains(&p.order));
            return true;
        };
        self.pending.retain(|p| !p.sent || !orders.contains(&p.order));
        for (order, reply) in orders.iter().zip(&replies) {
            match (&order.action, reply) {
                (_, Reply::Refused(Refusal::Epoch)) => return false,
                (Action::Start(start), Reply::Done) => self.started(order, start),
                // Not final: the worker may accept the order when it is sent again.
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
        self.absent.push(Absent { task, attempt, heartbeats_left: ABSENCE_HEARTBEATS });
    }

    fn started(&mut self, order: &Order, start: &Start) {
        self.unreserve(&order.task);
        let Err(i) = self.inventory.running.binary_search_by(|h| h.task.cmp(&order.task)) else {
            return;
        };
        if self.has_ended(&order.task, order.attempt) {
            return;
        }
        self.inventory.running.insert(i, RunningAttempt::started(order, start));
    }

    pub fn unreserve(&mut self, task: &task::Id) {
        self.reservations.retain(|r| r.task != *task);
    }

    /// Applies a heartbeat response received under this epoch.
    pub fn apply_heartbeat(&mut self, response: HeartbeatResponse) {
        if let Some(inventory) = response.inventory {
            self.revision = response.revision;
            self.inventory = inventory;
        }
        self.inventory.ended = response.ended;
        for absent in &mut self.absent {
            absent.heartbeats_left = absent.heartbeats_left.saturating_sub(1);
        }
        let confirmed: Vec<Absent> =
            self.absent.extract_if(.., |a| a.heartbeats_left == 0).collect();
        for Absent { task, attempt, .. } in confirmed {
            if !self.has_ended(&task, attempt) {
                self.refuse(&task, attempt);
            }
        }
    }

    /// Returns the ended attempts not yet recorded in the log.
    pub fn unrecorded(&self) -> impl Iterator<Item = &Ended> {
        let recorded = &self.recorded;
        self.inventory
            .ended
            .iter()
            .filter(|e| e.sequence > self.acknowledged)
            .filter(|e| recorded.binary_search(&e.sequence).is_err())
    }

    /// Marks the ended attempt with this sequence number as recorded, and advances the
    /// acknowledged sequence number past every leading recorded one.
    pub fn record(&mut self, sequence: u64) {
        if let Err(i) = self.recorded.binary_search(&sequence) {
            self.recorded.insert(i, sequence);
        }
        let first_unrecorded = self.unrecorded().map(|e| e.sequence).next();
        let last = self.inventory.ended.last().map_or(0, |e| e.sequence);
        let contiguous = first_unrecorded.map_or(last, |first| first - 1);
        self.acknowledged = self.acknowledged.max(contiguous);
        let acknowledged = self.acknowledged;
        self.recorded.retain(|s| *s > acknowledged);
    }

    /// Returns the new end of all leases if every running attempt may be renewed. Otherwise queues
    /// a renewal for each attempt that may be renewed and a stop for each that a loss covers.
    pub fn renew(&mut self, view: &View, now: Millis) -> Option<Millis> {
        let Renewal { until, attempts } = view.renewal(&self.inventory, now);
        // Without a current proof, attempts are renewed one by one: an attempt started just now may
        // be missing from the inventory, and its kind may not allow renewal during a separation.
        if view.is_current(now) && attempts.len() == self.inventory.running.len() {
            return Some(until);
        }
        let worker = self.inventory.worker.name.as_str();
        let renewed =
            |h: &RunningAttempt| attempts.iter().any(|(t, a)| *t == h.task && *a == h.attempt);
        let is_lost =
            |h: &RunningAttempt| view.fleet.loss_covering(worker, h.epoch).is_some() && !renewed(h);
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

    /// Returns the content of the next heartbeat.
    pub const fn request(&self, renew_all: Option<Millis>) -> HeartbeatRequest {
        let Self { epoch, revision, acknowledged, .. } = self;
        HeartbeatRequest { epoch: *epoch, seen: *revision, acknowledged: *acknowledged, renew_all }
    }
}
