//! Decision passes. Classes are served by urgency and share, the teams of a class by weight, and
//! the units of a team in the order of arrival.

use super::{Decision, Scheduler};
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::gang::{Reservation, backoff};
use crate::contract::queue::{ALL_TASKS, Unit};
use crate::contract::table::{Claim, Entry, Number, Place as TaskPlace};
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::machine::placement::{Handle, PlacementRequest};
use crate::machine::view::View;

/// Maximum number of units of a flow that are tried when the first ones can't be placed.
const MAX_UNITS_TRIED: usize = 8;
/// Maximum number of flows served in one call, for each decision that may be made.
const FLOWS_PER_DECISION: usize = 4;
/// Lower bound of the maximum number of flows served in one call.
const MIN_FLOWS: usize = 256;

/// Time after an empty pass until the next one if no event occurs. Back-off and quarantine periods
/// may have ended in the meantime.
const EMPTY_PASS_INTERVAL: Millis = Millis(100);

/// Result of trying to place one unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The unit was placed.
    Placed,
    /// The unit must wait for capacity, its team's quota, its part of the fleet or a back-off.
    Blocked,
}

impl Scheduler {
    /// Returns the decisions to carry out now. Their number may exceed `limit` only by the rest of
    /// a gang, whose decisions are never split, and by preemptions. If the result is empty, nothing
    /// can be done before the next event or the end of a back-off.
    pub fn decide(&mut self, now: Millis, limit: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.tick(now);
        if self.would_be_empty(now) {
            return decisions;
        }
        self.is_dirty = false;
        self.queue.begin();
        self.usage.refresh(&self.fleet());
        let mut flows = MIN_FLOWS.max(limit * FLOWS_PER_DECISION);
        while decisions.len() < limit && flows > 0 {
            let Some(class) = self.next_class() else { break };
            self.serve(class, now, &mut decisions);
            flows -= 1;
        }
        self.preempt_for_peers(now, &mut decisions);
        if decisions.is_empty() {
            (self.empty_pass_at, self.empty_pass_gains) = (now, self.view.gains());
        } else {
            self.is_dirty = true;
        }
        decisions
    }

    /// Returns whether a pass would be empty like the last one: since then no event has occurred
    /// and no worker has gained free capacity, and [`EMPTY_PASS_INTERVAL`] has not passed.
    fn would_be_empty(&self, now: Millis) -> bool {
        let recent = now.since(self.empty_pass_at) < EMPTY_PASS_INTERVAL;
        !self.is_dirty && recent && self.empty_pass_gains == self.view.gains()
    }

    /// Applies the passage of time: evaluates due health checks and ends quarantines and
    /// reservations.
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

    /// Returns the class to serve next: the most urgent one in which a team waits within its part
    /// of the fleet, else the most urgent one with waiting work.
    fn next_class(&self) -> Option<Class> {
        let ready = |class: &Class| self.queue.next(*class, |_| true).is_some();
        let needy = |class: &Class| self.usage.is_needy(*class);
        let first = Class::ALL.into_iter().find(|class| needy(class) && ready(class));
        first.or_else(|| Class::ALL.into_iter().find(ready))
    }

    /// Serves the next flow of a class, preferring teams within their part of the fleet. Places one
    /// of its first units, or blocks the flow for the rest of this pass.
    fn serve(&mut self, class: Class, now: Millis, decisions: &mut Vec<Decision>) {
        let fleet = self.fleet();
        let within = |team| self.usage.is_within(class, team, &Capacity::ZERO, &fleet);
        let Some(team) = self.queue.next(class, within).map(|f| f.team) else { return };
        let mut position = 0;
        while position < MAX_UNITS_TRIED {
            let Some(unit) = self.queue.unit(class, team, position) else { break };
            if !self.is_waiting(&unit) {
                self.take_unit(class, team, position);
                self.stale_units = self.stale_units.saturating_sub(1);
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

    /// Removes a unit from the queue.
    fn take_unit(&mut self, class: Class, team: u16, position: usize) {
        if let Some(unit) = self.queue.remove(class, team, position) {
            if let Some(entry) = self.table.get_mut(unit.job) {
                entry.units = entry.units.saturating_sub(1);
            }
            self.remove_if_over(unit.job);
        }
    }

    /// Tries to place a unit. If it is blocked, reserves capacity for it when it is the first of
    /// its flow, and preempts other tasks when its team is entitled to their capacity.
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
        self.preempt_for(unit.job, &needs, now, decisions);
        Outcome::Blocked
    }

    /// Places one task if a worker has room for it. Tried in order: a quarantined worker that is
    /// due for a probe, the job's own reservation, the cheapest worker with free capacity, and the
    /// capacity of another job's reservation until that job is expected to start.
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
        let request = request(entry, needs, self.health.avoid(entry.hash));
        let counts = SpreadCounts::of(entry, &self.view);
        let found = self
            .probe(needs, preemptible, now)
            .or_else(|| self.reserved_room(unit.job, needs))
            .or_else(|| {
                let count = |domain, rack| counts.count(domain, rack);
                self.view.find(&request, self.home.as_ref(), &self.weights, &count)
            })
            .or_else(|| if preemptible { self.backfill(needs, ends) } else { None });
        let Some(handle) = found else { return false };
        self.drop_reservations(|r| r.job == unit.job);
        self.view.claim(handle, needs);
        self.start(unit.job, unit.index, handle, needs, None, now);
        decisions.push(self.place_decision(unit.job, unit.index, handle, needs, None));
        true
    }

    /// Places all waiting tasks of a gang, or none. After a failure the gang backs off.
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
        let request = request(entry, needs, None);
        let Some(mut workers) = self.gang_workers(number, &request, waiting.len()) else {
            if let Some(entry) = self.table.get_mut(number) {
                entry.tries = entry.tries.saturating_add(1);
                entry.not_before = now + backoff(number, entry.tries.min(4));
            }
            return false;
        };
        self.drop_reservations(|r| r.job == number);
        workers.sort_by(|a, b| self.view.worker(*a).name.cmp(&self.view.worker(*b).name));
        self.last_group += 1;
        let group = Some(self.last_group);
        for (index, handle) in waiting.into_iter().zip(workers) {
            self.start(number, index, handle, needs, group, now);
            decisions.push(self.place_decision(number, index, handle, needs, group));
        }
        true
    }

    /// Claims capacity for `count` tasks and returns their workers, or claims nothing and returns
    /// `None`. Capacity reserved for the job is available to it, and workers near the previously
    /// selected one are preferred.
    fn gang_workers(
        &mut self,
        number: Number,
        request: &PlacementRequest,
        count: usize,
    ) -> Option<Vec<Handle>> {
        let mut workers = Vec::with_capacity(count);
        let free = self.view.free().plus(&self.held(|r| r.job == number));
        if !free.holds(&request.needs.times(count as u64)) {
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
            let Some(handle) =
                self.view.find(request, home.as_ref(), &self.weights, &|_, _| (0, 0))
            else {
                break;
            };
            let room = self.view.available(handle).times_held(&request.needs);
            let room = usize::try_from(room).unwrap_or(usize::MAX).min(count - workers.len());
            for _ in 0..room {
                self.view.claim(handle, &request.needs);
                workers.push(handle);
            }
            home = Some(self.view.worker(handle).place.clone());
        }
        if workers.len() == count {
            return Some(workers);
        }
        for handle in workers {
            self.view.release(handle, &request.needs);
        }
        if let Some(reservation) = held {
            for part in &reservation.parts {
                self.view.hold(part.worker, &part.needs);
            }
            self.reservations.push(reservation);
        }
        None
    }

    /// Registers the placement of a task whose capacity was claimed in the view.
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
        self.usage.remove_waiting(class, team, &declared, work, 1);
        self.place(number, index, claim);
        self.usage.refresh(&self.fleet());
        let weight = self.teams[usize::from(team)].weight;
        self.queue.charge(class, team, charged, weight);
        let proven = self.health.started(handle, now);
        self.checks.push_back((proven, handle));
        self.update_health(handle, now);
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

    /// Returns a quarantined worker that is due for a probe, if this task can serve as the probe.
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

fn request(entry: &Entry, needs: &Capacity, avoid: Option<Handle>) -> PlacementRequest {
    let (spread, payload_bytes) = (entry.policy.is_spread(), entry.payload_bytes);
    PlacementRequest { needs: *needs, spread, payload_bytes, avoid }
}

/// Number of placed tasks of a job in each failure domain and rack.
struct SpreadCounts {
    domains: Vec<u32>,
    racks: Vec<u32>,
}

impl SpreadCounts {
    fn of(entry: &Entry, view: &View) -> Self {
        let mut counts = Self { domains: Vec::new(), racks: Vec::new() };
        if entry.policy.is_spread() {
            for place in &entry.tasks {
                if let TaskPlace::Placed(claim) = place {
                    increment(&mut counts.domains, view.domain(claim.worker));
                    increment(&mut counts.racks, view.rack(claim.worker) as usize);
                }
            }
        }
        counts
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
