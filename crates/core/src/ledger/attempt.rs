//! Attempts: when an attempt is over, and when a task may be placed again.
//!
//! The scheduler decides by this module, and the audit judges by it. Model: `specs/attempt.tla`
//! and, for the worker's word, `specs/adoption.tla`.

use crate::clock::Millis;
use crate::contract::kind::Separation;
use crate::contract::task;
use crate::ledger::Offset;
use crate::ledger::book::Task;
use crate::ledger::fleet::{Fleet, Loss};
use crate::ledger::record::End;
use crate::machine::lease::Bounds;
use crate::machine::worker::{Ending, Epoch, Inventory};
use crate::name::Name;

/// When this instance read each loss, which is what the fence is counted from.
///
/// Neither the time in the record nor that of its append will do: an append may land long after
/// it was sent, and until it has landed a controller may show that no loss is in force.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    /// Sorted by worker: the offset of its last loss, and when it was read.
    entries: Vec<(Name, Offset, Millis)>,
}

impl Sightings {
    /// Notes all losses of a view that were not noted yet as read now.
    pub fn note(&mut self, fleet: &Fleet, now: Millis) {
        for Loss { worker, offset, .. } in fleet.losses() {
            match self.entries.binary_search_by(|(name, ..)| name.cmp(worker)) {
                Ok(i) if self.entries[i].1 == *offset => {}
                Ok(i) => self.entries[i] = (worker.clone(), *offset, now),
                Err(i) => self.entries.insert(i, (worker.clone(), *offset, now)),
            }
        }
    }

    /// Returns when a loss was read.
    pub fn of(&self, loss: &Loss) -> Option<Millis> {
        let found = self.entries.binary_search_by(|(name, ..)| name.cmp(&loss.worker)).ok()?;
        let (_, offset, read) = &self.entries[found];
        (*offset == loss.offset).then_some(*read)
    }
}

/// Whether a task may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// It may be placed: no attempt of it runs. The record needs no fence.
    Free,
    /// It may be placed: the fence of the loss at this offset has passed.
    Fenced(Offset),
    /// Its worker is lost; the fence passes at this instant, by this instance's clock.
    Wait(Millis),
    /// Its worker is lost, and this instance can't show that every controller would ask it.
    Unlisted,
    /// Its worker is lost, and its kind holds: the worker or an operator must speak first.
    Held,
    /// Its attempt may run.
    Placed,
    /// It has ended for good.
    Final,
}

/// What a steward rests its ruling on.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The losses in force.
    pub fleet: &'a Fleet,
    /// When this instance read them.
    pub sightings: &'a Sightings,
    /// Since when every controller must ask this instance, from
    /// [`Membership::asked_since`](crate::zone::membership::Membership::asked_since).
    pub asked_since: Option<Millis>,
    /// The time bounds.
    pub bounds: &'a Bounds,
}

impl View<'_> {
    /// Rules whether a task may be placed now.
    pub fn rule(&self, task: &Task, separation: Separation, now: Millis) -> Ruling {
        let Some((worker, epoch)) = task.placement() else {
            return if task.state.is_final() { Ruling::Final } else { Ruling::Free };
        };
        let Some(loss) = self.fleet.covers(worker.as_str(), epoch) else {
            return Ruling::Placed;
        };
        if separation == Separation::Hold {
            return Ruling::Held;
        }
        let (Some(read), Some(asked_since)) = (self.sightings.of(loss), self.asked_since) else {
            return Ruling::Unlisted;
        };
        let passed = passes(read.max(asked_since), task.placed_at, self.bounds);
        if now > passed { Ruling::Fenced(loss.offset) } else { Ruling::Wait(passed) }
    }
}

/// Returns the instant after which an attempt recorded at `placed_at` can't run any more, if its
/// loss has been in force since `from` and no controller could miss it since.
///
/// The audit knows when the loss was written and not when it was read: a fenced attempt that was
/// recorded before `passes(loss.at, ..)` less the clock skew broke the rule.
pub fn passes(from: Millis, placed_at: Millis, bounds: &Bounds) -> Millis {
    let lapsed = from + bounds.fence();
    let not_started = bounds.start_by(placed_at) + bounds.skew_ms;
    lapsed.max(not_started)
}

/// Returns how an attempt ended by its worker's own word; `None` if the inventory doesn't show
/// that it is over.
///
/// `epoch` is that of the attempt's record. An inventory of the same epoch without the attempt
/// shows nothing: the start order may still be on its way.
pub fn word(
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

/// Returns what an ending means for the ledger.
pub fn end(ending: &Ending) -> End {
    match ending {
        Ending::Completed(result) => End::Completed(result.clone()),
        Ending::Failed(reason) => End::Failed(reason.clone()),
        Ending::Stopped | Ending::Checkpointed | Ending::Lapsed => End::Evicted,
    }
}

#[cfg(test)]
mod tests;
