//! One pass of decisions: classes by share, teams by weight, units by arrival.

use super::{Decision, Scheduler};
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::gang::{Reservation, backoff};
use crate::contract::queue::{ALL_TASKS, Unit};
use crate::contract::table::{Claim, Entry, Number, Place as TaskPlace};
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::machine::placement::{Ask, Handle};
use crate::machine::view::View;

/// Units of a flow that are looked at when the first can't be placed.
const DEPTH: usize = 8;
/// Flows that are looked at in one call, for each decision that may be made, and at least.
const FLOWS_PER_DECISION: usize = 4;
const LEAST_FLOWS: usize = 256;

/// Time after which a pass is made even if nothing happened, since pauses may have ended.
const SETTLED: Millis = Millis(100);

/// The outcome of looking at one unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// It was placed.
    Placed,
    /// It must wait, for room or for its team's quota.
    Blocked,
}

impl Scheduler {
    /// Decides what is to be done now: at most `limit` decisions, but for a gang, whose decisions
    /// are never split. An empty answer means that nothing can be done before the next event.
    pub fn decide(&mut self, now: Millis, limit: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.tick(now);
        if self.is_settled(now) {
            return decisions;
        }
        self.changed = false;
        self.queue.begin();
        self.usage.refresh(&self.fleet());
        let mut flows = LEAST_FLOWS.max(limit * FLOWS_PER_DECISION);
        while decisions.len() < limit && flows > 0 {
            let Some(class) = self.next_class() else { break };
            self.serve(class, now, &mut decisions);
            flows -= 1;
        }
        self.relieve_peers(now, &mut decisions);
        if decisions.is_empty() {
            (self.settled_at, self.settled_gains) = (now, self.view.gains());
        } else {
            self.changed = true;
        }
        decisions
    }

    /// Returns whether a pass would decide nothing, as the last one did: no event came since, no
    /// worker gained room, and no pause can have ended.
    fn is_settled(&self, now: Millis) -> bool {
        let recent = now.since(self.settled_at) < SETTLED;
        !self.changed && recent && self.settled_gains == self.view.gains()
    }

    /// Lets time pass: starts are proven, quarantines and reservations end.
    fn tick(&mut self, now: Millis) {
        self.usage.tick(now);
        self.health.share(self.usage.peers() + 1);
        while let Some(&(at, handle)) = self.checks.front()
            && at <= now
        {
            self.checks.pop_front();
            self.view.quarantine(handle, self.health.is_paused(handle, now));
        }
        for i in (0..self.quarantines.len()).rev() {
            let (_, handle) = self.quarantines[i];
            if !self.health.is_paused(handle, now) {
                self.quarantines.swap_remove(i);
                self.view.quarantine(handle, false);
            }
        }
        self.drop_reservations(|r| r.expires <= now);
    }

    /// Returns the class to serve next: by urgency, those first in which a team within its part
    /// waits.
    fn next_class(&self) -> Option<Class> {
        let ready = |class: &Class| self.queue.next(*class, |_| true).is_some();
        let needy = |class: &Class| self.usage.is_needy(*class);
        let first = Class::ALL.into_iter().find(|class| needy(class) && ready(class));
        first.or_else(|| Class::ALL.into_iter().find(ready))
    }

    /// Looks at the flow whose turn it is in a class, that of a team within its part first:
    /// places one of its first units, or blocks the flow for this pass.
    fn serve(&mut self, class: Class, now: Millis, decisions: &mut Vec<Decision>) {
        let fleet = self.fleet();
        let within = |team| self.usage.is_within(class, team, &Capacity::ZERO, &fleet);
        let Some(team) = self.queue.next(class, within).map(|f| f.team) else { return };
        let mut position = 0;
        while position < DEPTH {
            let Some(unit) = self.queue.unit(class, team, position) else { break };
            if !self.is_waiting(&unit) {
                self.take_unit(class, team, position);
                self.stale = self.stale.saturating_sub(1);
                continue;
            }
            if self.try_unit(&unit, position == 0, now, decisions) == Outcome::Placed {
                self.take_unit(class, team, position);
                return;
            }
            position += 1;
        }
        self.queue.block(class, team);
    }

    fn is_waiting(&self, unit: &Unit) -> bool {
        self.table.get(unit.job).is_some_and(|entry| entry.is_waiting(unit.index))
    }

    /// Takes a unit out of the queue.
    fn take_unit(&mut self, class: Class, team: u16, position: usize) {
        if let Some(unit) = self.queue.remove(class, team, position) {
            if let Some(entry) = self.table.get_mut(unit.job) {
                entry.units = entry.units.saturating_sub(1);
            }
            self.remove_if_over(unit.job);
        }
    }

    fn try_unit(
        &mut self,
        unit: &Unit,
        first: bool,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) -> Outcome {
        let Some(entry) = self.table.get(unit.job) else { return Outcome::Blocked };
        if entry.not_before > now {
            return Outcome::Blocked;
        }
        let together = unit.index == ALL_TASKS;
        if together && entry.placed > 0 {
            return Outcome::Blocked;
        }
        let (class, preemptible) = (entry.class, entry.policy.is_preemptible());
        let count = if together { entry.waiting } else { 1 };
        let needs = self.needs(entry);
        let all = needs.times(u64::from(count));
        let number = entry.team;
        let team = &self.teams[usize::from(number)];
        if !team.quota.holds(&team.used.plus(&all)) {
            return Outcome::Blocked;
        }
        let mut fleet = self.fleet();
        let ends = now + self.run(entry);
        let usable = |r: &Reservation| r.job == unit.job || (preemptible && ends <= r.starts);
        fleet.free = fleet.free.plus(&self.held(usable));
        let allowed = self.usage.allows(class, number, &all, preemptible, &fleet);
        if !allowed && !preemptible {
            return Outcome::Blocked;
        }
        let placed = allowed
            && if together {
                self.place_gang(unit.job, &needs, now, decisions)
            } else {
                self.place_task(unit, &needs, now, decisions)
            };
        if placed {
            return Outcome::Placed;
        }
        if first {
            self.reserve(unit.job, &needs, unit.since, now);
        }
        self.make_room(unit.job, &needs, now, decisions);
        Outcome::Blocked
    }

    /// Places one task, if a worker has room for it.
    fn place_task(
        &mut self,
        unit: &Unit,
        needs: &Capacity,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let Some(entry) = self.table.get(unit.job) else { return false };
        let preemptible = entry.policy.is_preemptible();
        let ends = now + self.run(entry);
        let ask = ask(entry, needs, self.health.avoid(entry.hash));
        let crowd = Crowd::of(entry, &self.view);
        let found = self
            .probe(needs, preemptible, now)
            .or_else(|| self.reserved_room(unit.job, needs))
            .or_else(|| {
                let count = |domain, rack| crowd.count(domain, rack);
                self.view.find(&ask, self.home.as_ref(), &self.weights, &count)
            })
            .or_else(|| if preemptible { self.backfill(needs, ends) } else { None });
        let Some(handle) = found else { return false };
        self.drop_reservations(|r| r.job == unit.job);
        self.view.claim(handle, needs);
        self.start(unit.job, unit.index, handle, needs, None, now);
        decisions.push(self.place_decision(unit.job, unit.index, handle, needs, None));
        true
    }

    /// Places all waiting tasks of a gang, or none.
    fn place_gang(
        &mut self,
        number: Number,
        needs: &Capacity,
        now: Millis,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let Some(entry) = self.table.get(number) else { return false };
        let waiting: Vec<u32> = (0..)
            .zip(&entry.tasks)
            .filter(|(_, place)| matches!(place, TaskPlace::Waiting(_)))
            .map(|(index, _)| index)
            .collect();
        let ask = ask(entry, needs, None);
        let Some(mut workers) = self.gang_workers(number, &ask, waiting.len()) else {
            if let Some(entry) = self.table.get_mut(number) {
                entry.tries = entry.tries.saturating_add(1);
                entry.not_before = now + backoff(number, entry.tries.min(4));
            }
            return false;
        };
        self.drop_reservations(|r| r.job == number);
        workers.sort_by(|a, b| self.view.worker(*a).name.cmp(&self.view.worker(*b).name));
        self.group += 1;
        let group = Some(self.group);
        for (index, handle) in waiting.into_iter().zip(workers) {
            self.start(number, index, handle, needs, group, now);
            decisions.push(self.place_decision(number, index, handle, needs, group));
        }
        true
    }

    /// Claims room for `count` tasks, or claims nothing and returns `None`. The room that is
    /// reserved for the job is used first, then the region of the first task.
    fn gang_workers(&mut self, number: Number, ask: &Ask, count: usize) -> Option<Vec<Handle>> {
        let mut workers = Vec::with_capacity(count);
        let free = self.view.free().plus(&self.held(|r| r.job == number));
        if !free.holds(&ask.needs.times(count as u64)) {
            return None;
        }
        let held = self.reservations.iter().position(|r| r.job == number);
        let held = held.map(|i| self.reservations.swap_remove(i));
        if let Some(reservation) = &held {
            for part in &reservation.parts {
                self.view.unhold(part.worker, &part.needs);
            }
        }
        let mut home = self.home.clone();
        while workers.len() < count {
            let Some(handle) = self.view.find(ask, home.as_ref(), &self.weights, &|_, _| (0, 0))
            else {
                break;
            };
            let room = self.view.available(handle).times_held(&ask.needs);
            let room = usize::try_from(room).unwrap_or(usize::MAX).min(count - workers.len());
            for _ in 0..room {
                self.view.claim(handle, &ask.needs);
                workers.push(handle);
            }
            home = Some(self.view.worker(handle).place.clone());
        }
        if workers.len() == count {
            return Some(workers);
        }
        for handle in workers {
            self.view.release(handle, &ask.needs);
        }
        if let Some(reservation) = held {
            for part in &reservation.parts {
                self.view.hold(part.worker, &part.needs);
            }
            self.reservations.push(reservation);
        }
        None
    }

    /// Notes the start of a task for which room was claimed in the view.
    fn start(
        &mut self,
        number: Number,
        index: u32,
        handle: Handle,
        needs: &Capacity,
        group: Option<u64>,
        now: Millis,
    ) {
        let Some(entry) = self.table.get_mut(number) else { return };
        entry.waiting = entry.waiting.saturating_sub(1);
        entry.tries = 0;
        let since = match entry.tasks[index as usize] {
            TaskPlace::Waiting(since) => since,
            _ => now,
        };
        let (class, team, declared, work) = (entry.class, entry.team, entry.needs, entry.work);
        let Some(entry) = self.table.get(number) else { return };
        let run = self.run(entry);
        let charged = self.cost(needs, run);
        let claim = Claim {
            worker: handle,
            needs: *needs,
            ends: now + run,
            since,
            charged,
            group,
            preempted: false,
        };
        self.usage.unwait(class, team, &declared, work, 1);
        self.place(number, index, claim);
        self.usage.refresh(&self.fleet());
        let weight = self.teams[usize::from(team)].weight;
        self.queue.charge(class, team, charged, weight);
        let proven = self.health.started(handle, now);
        self.checks.push_back((proven, handle));
        self.refresh(handle, now);
        self.counters.placed += 1;
        self.counters.waits[class.index()].add(now.since(since));
    }

    fn place_decision(
        &self,
        number: Number,
        index: u32,
        handle: Handle,
        needs: &Capacity,
        gang: Option<u64>,
    ) -> Decision {
        Decision::Place {
            task: self.task_id(number, index),
            worker: self.view.worker(handle).name.clone(),
            needs: *needs,
            gang,
        }
    }

    /// Returns the id of a task of a job in the table.
    pub(super) fn task_id(&self, number: Number, index: u32) -> task::Id {
        let entry = self.table.get(number).expect("the job of a decision is in the table");
        task::Id { job: entry.id.clone(), index }
    }

    /// Returns a quarantined worker whose probe is due and could be this task.
    fn probe(&self, needs: &Capacity, preemptible: bool, now: Millis) -> Option<Handle> {
        let due = |&&(until, handle): &&(Millis, Handle)| {
            until <= now
                && self.health.admits(handle, now)
                && self.view.available_to_probe(handle).holds(needs)
        };
        let found = if preemptible { self.quarantines.iter().find(due) } else { None };
        found.map(|&(_, handle)| handle)
    }
}

fn ask(entry: &Entry, needs: &Capacity, avoid: Option<Handle>) -> Ask {
    let (spread, payload_bytes) = (entry.policy.is_spread(), entry.payload_bytes);
    Ask { needs: *needs, spread, payload_bytes, avoid }
}

/// How many tasks of a job are in each failure domain and rack.
struct Crowd {
    domains: Vec<u32>,
    racks: Vec<u32>,
}

impl Crowd {
    fn of(entry: &Entry, view: &View) -> Self {
        let mut crowd = Self { domains: Vec::new(), racks: Vec::new() };
        if entry.policy.is_spread() {
            for place in &entry.tasks {
                if let TaskPlace::Placed(claim) = place {
                    increment(&mut crowd.domains, view.domain(claim.worker));
                    increment(&mut crowd.racks, view.rack(claim.worker) as usize);
                }
            }
        }
        crowd
    }

    fn count(&self, domain: usize, rack: u32) -> (u32, u32) {
        let at = |counts: &[u32], i: usize| counts.get(i).copied().unwrap_or(0);
        (at(&self.domains, domain), at(&self.racks, rack as usize))
    }
}

fn increment(counts: &mut Vec<u32>, i: usize) {
    if counts.len() <= i {
        counts.resize(i + 1, 0);
    }
    counts[i] += 1;
}
