//! Accounting of waiting and placed tasks by job, team, class and worker.

use super::{MAX_STALE_UNITS, Scheduler};
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::gang::backoff;
use crate::contract::queue::{ALL_TASKS, Unit};
use crate::contract::table::{Claim, Entry, Number, Place as TaskPlace};
use crate::contract::task;

impl Scheduler {
    /// Returns the claim of a task that is claimed or running.
    pub(super) fn claim(&self, task: &task::Id) -> Option<(Number, Claim)> {
        let number = self.table.number(task.job.as_str())?;
        match self.table.get(number)?.tasks.get(task.index as usize)? {
            TaskPlace::Placed(claim) => Some((number, *claim)),
            _ => None,
        }
    }

    /// Registers a claim in the table and all accounts, but not in the view.
    pub(super) fn place(&mut self, number: Number, index: u32, claim: Claim) {
        let Some(entry) = self.table.get_mut(number) else { return };
        entry.tasks[index as usize] = TaskPlace::Placed(claim);
        entry.placed += 1;
        let (class, team, preemptible) = (entry.class, entry.team, entry.policy.is_preemptible());
        self.usage.add_used(class, team, &claim.needs, preemptible);
        let used = &mut self.teams[usize::from(team)].used;
        *used = used.plus(&claim.needs);
        self.running[claim.worker as usize].push((number, index));
    }

    /// Reverts [`Self::place`], and replaces the team's charge by the cost of the actual run time.
    pub(super) fn unplace(&mut self, number: Number, index: u32, claim: &Claim, ran: Millis) {
        self.is_dirty = true;
        let cost = self.cost(&claim.needs, ran);
        let Some(entry) = self.table.get_mut(number) else { return };
        entry.tasks[index as usize] = TaskPlace::Idle;
        entry.placed -= 1;
        let (class, team, preemptible) = (entry.class, entry.team, entry.policy.is_preemptible());
        self.usage.remove_used(class, team, &claim.needs, preemptible);
        let team_entry = &mut self.teams[usize::from(team)];
        team_entry.used = team_entry.used.saturating_sub(&claim.needs);
        self.queue.settle(class, team, claim.charged, cost, team_entry.weight);
        let running = &mut self.running[claim.worker as usize];
        if let Some(i) = running.iter().position(|&task| task == (number, index)) {
            running.swap_remove(i);
        }
    }

    /// Returns claimed tasks to the front of their flow. A gang backs off before the next try.
    pub(super) fn withdraw(&mut self, number: Number, claims: &[(u32, Claim)], now: Millis) {
        for (index, claim) in claims {
            self.unplace(number, *index, claim, Millis::ZERO);
        }
        let Some(entry) = self.table.get_mut(number) else { return };
        let together = entry.policy.is_together();
        entry.tries = entry.tries.saturating_add(1);
        if together {
            entry.not_before = now + backoff(number, entry.tries);
        }
        let (class, team, needs, work) = (entry.class, entry.team, entry.needs, entry.work);
        let units = if together { &claims[..1] } else { claims };
        entry.units += u32::try_from(units.len()).unwrap_or(u32::MAX);
        for (index, claim) in claims {
            entry.tasks[*index as usize] = TaskPlace::Waiting(claim.since);
            entry.waiting += 1;
        }
        let count = u32::try_from(claims.len()).unwrap_or(u32::MAX);
        self.usage.add_waiting(class, team, &needs, work, count);
        for (index, claim) in units {
            let index = if together { ALL_TASKS } else { *index };
            self.queue.push(class, team, Unit { job: number, index, since: claim.since }, true);
        }
    }

    /// Removes a job from the table once no task of it waits or is placed and no unit refers to it.
    pub(super) fn remove_if_over(&mut self, number: Number) {
        let over = |e: &Entry| e.units == 0 && e.waiting == 0 && e.placed == 0;
        if self.table.get(number).is_some_and(over) {
            self.table.remove(number);
        }
    }

    /// Removes stale units from the queue once there are more than [`MAX_STALE_UNITS`] and at least
    /// as many as waiting tasks.
    pub(super) fn compact(&mut self) {
        let waiting: u64 = Class::ALL.iter().map(|&class| self.waiting(class)).sum();
        if self.stale_units <= MAX_STALE_UNITS || (self.stale_units as u64) < waiting {
            return;
        }
        let (table, mut over) = (&mut self.table, Vec::new());
        self.queue.retain(|unit| {
            let Some(entry) = table.get_mut(unit.job) else { return false };
            let keep = entry.is_waiting(unit.index);
            if !keep {
                entry.units = entry.units.saturating_sub(1);
                over.push(unit.job);
            }
            keep
        });
        self.stale_units = 0;
        for number in over {
            self.remove_if_over(number);
        }
    }
}
