//! Rules for attempts: when an attempt is over and when its task may be placed again.
//!
//! The scheduler decides by these rules. The audit checks their results independently, by the times
//! in the records. Model: `specs/attempt.tla` and, for ends that the worker reports,
//! `specs/adoption.tla`.

use crate::clock::Millis;
use crate::contract::kind::Separation;
use crate::contract::task;
use crate::ledger::Offset;
use crate::ledger::fleet::{Fleet, Loss};
use crate::ledger::record::End;
use crate::ledger::replica::Task;
use crate::machine::lease::Bounds;
use crate::machine::worker::{Ending, Epoch, Inventory};
use crate::name::Name;

/// The times at which this instance read each loss, from which the fence is counted.
///
/// Neither the time in the record nor the time of its append is safe: the append may be written
/// long after it was sent, and until then a controller can still prove that no loss is in force.
#[derive(Clone, Debug, Default)]
pub struct LossReadTimes {
    /// For each worker the offset of its last loss and the time at which it was read; sorted by
    /// worker.
    entries: Vec<(Name, Offset, Millis)>,
}

impl LossReadTimes {
    /// Records `now` as the read time of all losses that are new since the last call.
    pub fn update(&mut self, fleet: &Fleet, now: Millis) {
        for Loss { worker, offset, .. } in fleet.losses() {
            match self.entries.binary_search_by(|(name, ..)| name.cmp(worker)) {
                Ok(i) if self.entries[i].1 == *offset => {}
                Ok(i) => self.entries[i] = (worker.clone(), *offset, now),
                Err(i) => self.entries.insert(i, (worker.clone(), *offset, now)),
            }
        }
    }

    /// Returns when a loss was read; `None` if it was not, or a newer loss has replaced it.
    pub fn read_at(&self, loss: &Loss) -> Option<Millis> {
        let found = self.entries.binary_search_by(|(name, ..)| name.cmp(&loss.worker)).ok()?;
        let (_, offset, read) = &self.entries[found];
        (*offset == loss.offset).then_some(*read)
    }
}

/// Whether a task may be placed, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// It may be placed: it has no attempt that may run, so the record needs no fence.
    Unplaced,
    /// It may be placed: the fence of the loss at this offset has expired.
    Fenced(Offset),
    /// Its worker is lost; the fence expires at this instant, by this instance's clock.
    Wait(Millis),
    /// Its worker is lost, and this instance cannot prove that every controller would poll it, so
    /// that the fence has no start.
    FenceUnproved,
    /// Its worker is lost and its kind has [`Separation::Hold`]: the task waits until the worker
    /// reports the end or an operator releases the attempt.
    OnHold,
    /// It is placed and its worker is not lost.
    Placed,
    /// It has ended and is never placed again.
    Ended,
}

/// The state from which a steward decides whether a task may be placed.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The losses in force.
    pub fleet: &'a Fleet,
    /// The times at which this instance read them.
    pub loss_read_times: &'a LossReadTimes,
    /// Since when every controller must poll this instance, from
    /// [`Membership::consulted_since`](crate::zone::membership::Membership::consulted_since).
    pub consulted_since: Option<Millis>,
    /// Bounds of leases, currency and clock skew.
    pub bounds: &'a Bounds,
}

impl View<'_> {
    /// Returns whether a task may be placed now.
    pub fn decide(&self, task: &Task, separation: Separation, now: Millis) -> PlacementDecision {
        let Some((worker, epoch)) = task.placement() else {
            return if task.state.is_final() {
                PlacementDecision::Ended
            } else {
                PlacementDecision::Unplaced
            };
        };
        let Some(loss) = self.fleet.loss_covering(worker.as_str(), epoch) else {
            return PlacementDecision::Placed;
        };
        if separation == Separation::Hold {
            return PlacementDecision::OnHold;
        }
        let (Some(read), Some(consulted_since)) =
            (self.loss_read_times.read_at(loss), self.consulted_since)
        else {
            return PlacementDecision::FenceUnproved;
        };
        let expiry = fence_expiry(read.max(consulted_since), task.placed_at, self.bounds);
        if now > expiry {
            PlacementDecision::Fenced(loss.offset)
        } else {
            PlacementDecision::Wait(expiry)
        }
    }
}

/// Returns the instant after which an attempt recorded at `placed_at` can no longer run, provided
/// that its loss has been in force since `from` and no controller can have missed it since.
///
/// The audit does not know when the loss was read. It counts [`Bounds::fence`] from `loss.at`, the
/// time at which the loss was written by its writer's clock. That clock may be ahead of the
/// steward's by the clock skew, so an attempt that was placed correctly can be recorded up to
/// `skew_ms` before `loss.at + fence`. The audit makes no allowance for this: it counts every
/// attempt that relies on the loss and was recorded before `loss.at + fence` as a broken promise.
pub fn fence_expiry(from: Millis, placed_at: Millis, bounds: &Bounds) -> Millis {
    let lease_expiry = from + bounds.fence();
    let start_deadline = bounds.start_by(placed_at) + bounds.skew_ms;
    lease_expiry.max(start_deadline)
}

/// Returns how an attempt ended according to its worker's inventory; `None` if the inventory does
/// not show that it is over.
///
/// `epoch` is that of the attempt's record. An attempt that is missing from an inventory of the same
/// epoch is not over: its start order may still be in flight.
pub fn reported_end(
    inventory: &Inventory,
    task: &task::Id,
    attempt: task::Attempt,
    epoch: Epoch,
) -> Option<End> {
    let ended = inventory.ended.iter().find(|e| e.task == *task && e.attempt == attempt);
    if let Some(ended) = ended {
        return Some(end(&ended.ending));
    }
    let runs = inventory.running.iter().any(|h| h.task == *task && h.attempt == attempt);
    (!runs && inventory.epoch > epoch).then_some(End::Evicted)
}

/// Converts the ending that a worker reports to the end that is recorded in the ledger.
pub fn end(ending: &Ending) -> End {
    match ending {
        Ending::Completed(result) => End::Completed(result.clone()),
        Ending::Failed(reason) => End::Failed(reason.clone()),
        Ending::Stopped | Ending::Checkpointed | Ending::Lapsed => End::Evicted,
    }
}

#[cfg(test)]
mod tests;
