//! Accounts of what waits and what is placed: by task, team, class and worker.

use super::Scheduler;
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::gang::backoff;
use crate::contract::queue::{ALL_TASKS, Unit};
use crate::contract::table::{Claim, Number, Place as TaskPlace};
use crate::contract::task;
use crate::machine::capacity::Capacity;

impl Scheduler {
    pub(super) fn claim(&self, task: &task::Id) -> Option<(Number, Claim)> {
        let number = self.table.number(task.job.as_str())?;
        match self.table.get(number)?.tasks.get(task.index as usize)? {
            TaskPlace::Placed(claim) => Some((number, *claim)),
            _ => None,
        }
    }

    /// Notes a claim in all places but the view.
    pub(super) fn place(&mut self, number: Number, index: u32, claim: Claim) {
        let Some(entry) = self.table.get_mut(number) else { return };
        entry.tasks[index as usize] = TaskPlace::Placed(claim);
        entry.placed += 1;
        let (class, team, preemptible) = (entry.class, entry.team, entry.policy.is_preemptible());
        self.usage.take(class, &claim.needs, preemptible);
        let used = &mut self.teams[usize::from(team)].used;
        *used = used.plus(&claim.needs);
        self.running[claim.worker as usize].push((number, index));
    }

    /// Undoes [`Self::place`], and settles what the team was charged.
    pub(super) fn unplace(&mut self, number: Number, index: u32, claim: &Claim, ran: Millis) {
        self.changed = true;
        let cost = self.cost(&claim.needs, ran);
        let Some(entry) = self.table.get_mut(number) else { return };
        entry.tasks[index as usize] = TaskPlace::Idle;
        entry.placed -= 1;
        let (class, team, preemptible) = (entry.class, entry.team, entry.policy.is_preemptible());
        self.usage.give(class, &claim.needs, preemptible);
        let team_entry = &mut self.teams[usize::from(team)];
        team_entry.used = team_entry.used.saturating_sub(&claim.needs);
        self.queue.settle(class, team, claim.charged, cost, team_entry.weight);
        let running = &mut self.running[claim.worker as usize];
        if let Some(i) = running.iter().position(|&task| task == (number, index)) {
            running.swap_remove(i);
        }
    }

    /// Lets claimed tasks wait again, at the front, after a pause.
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
        let count = claims.len() as u64;
        let waiting = &mut self.teams[usize::from(team)].waiting[class.index()];
        waiting.tasks += u32::try_from(count).unwrap_or(u32::MAX);
        waiting.work = waiting.work.saturating_add(work.saturating_mul(count));
        self.usage.wait(class, &needs.times(count));
        for (index, claim) in units {
            let index = if together { ALL_TASKS } else { *index };
            self.queue.push(class, team, Unit { job: number, index, since: claim.since }, true);
        }
    }

    pub(super) fn unwait(
        &mut self,
        class: Class,
        team: u16,
        needs: &Capacity,
        work: u64,
        count: u64,
    ) {
        let waiting = &mut self.teams[usize::from(team)].waiting[class.index()];
        waiting.tasks -= u32::try_from(count).unwrap_or(u32::MAX).min(waiting.tasks);
        waiting.work = waiting.work.saturating_sub(work.saturating_mul(count));
        self.usage.unwait(class, &needs.times(count));
    }
}
