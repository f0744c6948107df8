//! Preemption by checkpoint: room for teams within their parts, from teams beyond theirs.

use super::{Decision, Scheduler};
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::share::Fleet;
use crate::contract::table::{Number, Place as TaskPlace};
use crate::machine::capacity::Capacity;
use crate::machine::placement::Handle;
use std::cmp::Reverse;

/// Workers that are looked at for one blocked unit.
const WORKERS: usize = 64;
/// Tasks that are preempted for one blocked task at most.
const VICTIMS: usize = 8;
/// Time in which preempted tasks are expected to have made room.
const PAUSE: Millis = Millis::from_secs(2);
/// Tasks that are preempted for peers in one call.
const VICTIMS_FOR_PEERS: usize = 16;
/// Pause between preemptions for peers.
const PEER_PAUSE: Millis = Millis(500);

/// A running task that may be preempted.
#[derive(Clone, Copy, Debug)]
struct Victim {
    job: Number,
    index: u32,
    class: Class,
    /// Whether all tasks of its job go with it.
    together: bool,
    ends: Millis,
    needs: Capacity,
}

impl Scheduler {
    /// Orders checkpoints of tasks that are in the way of a blocked job whose team is within its
    /// part. The least urgent class gives first, and of it the tasks with most left to run.
    pub(super) fn make_room(
        &mut self,
        job: Number,
        needs: &Capacity,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(entry) = self.table.get(job) else { return };
        let (class, team, fleet) = (entry.class, entry.team, self.fleet());
        let paused = entry.preempted_at > Millis::ZERO && now.since(entry.preempted_at) < PAUSE;
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

    /// Orders checkpoints for peers whose teams are within their parts and find no room: only
    /// the steward that placed a task preempts it.
    pub(super) fn relieve_peers(&mut self, now: Millis, decisions: &mut Vec<Decision>) {
        if now.since(self.relieved_at) < PEER_PAUSE {
            return;
        }
        let fleet = self.fleet();
        for class in Class::ALL {
            let wanted = self.usage.needy_at_peers(class).saturating_sub(&fleet.free);
            if wanted == Capacity::ZERO {
                continue;
            }
            self.relieved_at = now;
            let mut made = Capacity::ZERO;
            for _ in 0..VICTIMS_FOR_PEERS {
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

    /// Returns the worker, among a bounded number, where the fewest tasks must be preempted.
    fn cheapest(&mut self, needs: &Capacity, fleet: &Fleet) -> Option<Handle> {
        let mut best: Option<(usize, Handle)> = None;
        let count = self.running.len();
        for _ in 0..WORKERS.min(count) {
            self.cursor = (self.cursor + 1) % count;
            let handle = Handle::try_from(self.cursor).unwrap_or(Handle::MAX);
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

    /// Returns the tasks to preempt on a worker with free `room`, so that `needs` fits there;
    /// `None` when too many would be needed.
    fn victims(
        &self,
        handle: Handle,
        needs: &Capacity,
        mut room: Capacity,
        fleet: &Fleet,
    ) -> Option<Vec<Victim>> {
        let mut victims = Vec::new();
        for victim in self.candidates(handle, fleet) {
            if room.holds(needs) || victims.len() == VICTIMS {
                break;
            }
            room = room.plus(&victim.needs);
            victims.push(victim);
        }
        room.holds(needs).then_some(victims)
    }

    /// Returns the tasks on a worker that may be preempted, the first to go first: those of
    /// teams beyond their part of the class.
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

    /// Orders the checkpoint of a task, and with it of its whole gang.
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
