//! Preemption by checkpoint: teams that use less than their part of the fleet get capacity back
//! from teams that use more than theirs.

use super::{Decision, Scheduler};
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::share::Fleet;
use crate::contract::table::{Number, Place as TaskPlace};
use crate::machine::capacity::Capacity;
use crate::machine::placement::Handle;
use std::cmp::Reverse;

/// Maximum number of workers considered for one blocked unit.
const MAX_WORKERS: usize = 64;
/// Maximum number of tasks preempted on one worker for one blocked task.
const MAX_VICTIMS: usize = 8;
/// Minimum time between preemptions for the same job, in which preempted tasks are expected to end.
const PREEMPTION_INTERVAL: Millis = Millis::from_secs(2);
/// Maximum number of tasks preempted for each class of the peers in one call.
const MAX_PEER_VICTIMS: usize = 16;
/// Minimum time between preemptions for peers.
const PEER_PREEMPTION_INTERVAL: Millis = Millis(500);

/// A running task that may be preempted.
#[derive(Clone, Copy, Debug)]
struct Victim {
    job: Number,
    index: u32,
    class: Class,
    /// Whether all tasks of its job are preempted with it.
    together: bool,
    ends: Millis,
    needs: Capacity,
}

impl Scheduler {
    /// Preempts tasks for a blocked job whose team is within its part of the fleet. Tasks of the
    /// least urgent class are selected first, and among them those expected to end last.
    pub(super) fn preempt_for(
        &mut self,
        job: Number,
        needs: &Capacity,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(entry) = self.table.get(job) else { return };
        let (class, team, fleet) = (entry.class, entry.team, self.fleet());
        let paused = entry.preempted_at > Millis::ZERO
            && now.since(entry.preempted_at) < PREEMPTION_INTERVAL;
        if paused || !self.usage.is_within(class, team, needs, &fleet) {
            return;
        }
        let reserved = self.reservations.iter().find(|r| r.job == job);
        let parts: Vec<(Handle, Capacity)> = match reserved {
            Some(r) => r.parts.iter().map(|p| (p.worker, p.needs)).collect(),
            None if entry.policy.is_together() => return,
            None => self.cheapest(needs, &fleet).map(|h| (h, *needs)).into_iter().collect(),
        };
        if parts.is_empty() {
            return;
        }
        for (handle, needs) in parts {
            let room = self.view.available_with(handle, &needs);
            let victims = self.victims(handle, &needs, room, &fleet).unwrap_or_default();
            for victim in victims {
                self.preempt(&victim, decisions);
            }
        }
        if let Some(entry) = self.table.get_mut(job) {
            entry.preempted_at = now;
        }
    }

    /// Preempts own tasks for blocked work of peers whose teams are within their parts of the
    /// fleet, because only the steward that placed a task can preempt it.
    pub(super) fn preempt_for_peers(&mut self, now: Millis, decisions: &mut Vec<Decision>) {
        if now.since(self.peer_preemption_at) < PEER_PREEMPTION_INTERVAL {
            return;
        }
        let fleet = self.fleet();
        for class in Class::ALL {
            let wanted = self.usage.needy_at_peers(class).saturating_sub(&fleet.free);
            if wanted == Capacity::ZERO {
                continue;
            }
            self.peer_preemption_at = now;
            let mut made = Capacity::ZERO;
            for _ in 0..MAX_PEER_VICTIMS {
                if made.holds(&wanted) {
                    break;
                }
                let one = Capacity::new(1, 1, 0);
                let Some(handle) = self.cheapest(&one, &fleet) else { break };
                let Some(victim) = self.candidates(handle, &fleet).first().copied() else {
                    break;
                };
                made = made.plus(&victim.needs);
                self.preempt(&victim, decisions);
            }
        }
    }

    /// Returns the worker on which the fewest tasks must be preempted for `needs`, among the next
    /// [`MAX_WORKERS`] after the cursor.
    fn cheapest(&mut self, needs: &Capacity, fleet: &Fleet) -> Option<Handle> {
        let mut best: Option<(usize, Handle)> = None;
        let count = self.running.len();
        for _ in 0..MAX_WORKERS.min(count) {
            self.preemption_cursor = (self.preemption_cursor + 1) % count;
            let handle = Handle::try_from(self.preemption_cursor).unwrap_or(Handle::MAX);
            if !self.view.is_usable(handle) {
                continue;
            }
            let room = self.view.available(handle);
            if let Some(victims) = self.victims(handle, needs, room, fleet)
                && !victims.is_empty()
                && best.is_none_or(|(fewest, _)| victims.len() < fewest)
            {
                best = Some((victims.len(), handle));
            }
        }
        best.map(|(_, handle)| handle)
    }

    /// Returns the tasks to preempt on a worker with free capacity `room`, so that `needs` fits
    /// there, or `None` if [`MAX_VICTIMS`] tasks are not enough.
    fn victims(
        &self,
        handle: Handle,
        needs: &Capacity,
        mut room: Capacity,
        fleet: &Fleet,
    ) -> Option<Vec<Victim>> {
        let mut victims = Vec::new();
        for victim in self.candidates(handle, fleet) {
            if room.holds(needs) || victims.len() == MAX_VICTIMS {
                break;
            }
            room = room.plus(&victim.needs);
            victims.push(victim);
        }
        room.holds(needs).then_some(victims)
    }

    /// Returns the preemptible tasks on a worker whose teams exceed their part of the class, in the
    /// order in which they are to be preempted.
    fn candidates(&self, handle: Handle, fleet: &Fleet) -> Vec<Victim> {
        let running = self.running.get(handle as usize).into_iter().flatten();
        let mut victims: Vec<Victim> = running
            .filter_map(|&(job, index)| {
                let entry = self.table.get(job)?;
                let (class, team) = (entry.class, entry.team);
                let gives = entry.policy.is_preemptible()
                    && !self.usage.is_within(class, team, &Capacity::ZERO, fleet);
                match entry.tasks.get(index as usize)? {
                    TaskPlace::Placed(claim) if gives && !claim.preempted => {
                        let together = entry.policy.is_together();
                        let (ends, needs) = (claim.ends, claim.needs);
                        Some(Victim { job, index, class, together, ends, needs })
                    }
                    _ => None,
                }
            })
            .collect();
        victims.sort_unstable_by_key(|v| Reverse((v.class, !v.together, v.ends)));
        victims
    }

    /// Adds decisions that preempt a task and, if it belongs to a gang, the whole gang.
    fn preempt(&mut self, victim: &Victim, decisions: &mut Vec<Decision>) {
        let Some(entry) = self.table.get_mut(victim.job) else { return };
        let mut preempted = Vec::new();
        for (index, place) in (0..).zip(&mut entry.tasks) {
            if let TaskPlace::Placed(claim) = place
                && !claim.preempted
                && (victim.together || index == victim.index)
            {
                claim.preempted = true;
                preempted.push((index, claim.worker));
            }
        }
        for (index, handle) in preempted {
            self.counters.preempted += 1;
            let task = self.task_id(victim.job, index);
            let worker = self.view.worker(handle).name.clone();
            decisions.push(Decision::Preempt { task, worker });
        }
    }
}
