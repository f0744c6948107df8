//! The scheduler of a steward: assigns waiting tasks to workers.
//!
//! [`Scheduler`] is a state machine without I/O. Its inputs are events: a job was accepted or
//! cancelled, an attempt ended, a worker was reported, a claim was granted or refused, the
//! configuration changed. Its outputs are a bounded number of decisions per call. A decision
//! claims capacity optimistically: the caller asks the worker's controller for a reservation,
//! appends the attempt to the ledger and starts it, and reports refusals back.
//!
//! [`decide`](Scheduler::decide) serves the [`crate::contract::queue`] by class shares and team
//! weights, [`crate::machine::view`] selects a worker, [`crate::contract::gang`] plans
//! reservations, and [`crate::contract::admission`] rejects jobs on submission.

mod account;
mod decide;
mod preempt;
mod reserve;

use crate::clock::Millis;
use crate::contract::admission::{self, Backlog, Refusal};
use crate::contract::class::Class;
use crate::contract::configuration::{Configuration, Shares, Weights};
use crate::contract::gang::Reservation;
use crate::contract::job::Job;
use crate::contract::kind::Kind;
use crate::contract::metrics::Counters;
use crate::contract::queue::{ALL_TASKS, Queue, Unit};
use crate::contract::share::{Account, Fleet, Totals, Usage};
use crate::contract::table::{self, Claim, Entry, Number, Place as TaskPlace, Table};
use crate::contract::{policy, task};
use crate::machine::capacity::Capacity;
use crate::machine::estimate::{Estimates, Sample};
use crate::machine::health::{Failure, Health, PROOF, State};
use crate::machine::placement::Handle;
use crate::machine::view::{Report, View};
use crate::machine::worker::Ending;
use crate::name::Name;
use crate::zone::Place;
use std::collections::VecDeque;

/// Number of cancelled units in the queue above which it is compacted.
const MAX_STALE_UNITS: usize = 1024;

/// Maximum number of failures that are buffered for the peers.
const MAX_PEER_FAILURES: usize = 256;

/// A scheduling decision for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Reserve room on a worker, record the attempt and start it.
    Place {
        /// The task to place.
        task: task::Id,
        /// The worker that should run it.
        worker: Name,
        /// Capacity to reserve: the need that the job declared or an estimate.
        needs: Capacity,
        /// Number of the gang decision that this placement belongs to. Either all placements of
        /// the gang are reserved before any is recorded, or all reservations are released. They
        /// are consecutive in the list of decisions, sorted by worker.
        gang: Option<u64>,
    },
    /// Checkpoint and stop a running task, to free capacity for more urgent work.
    Preempt {
        /// The task to stop.
        task: task::Id,
        /// The worker on which it runs.
        worker: Name,
    },
}

/// A team with its configuration and usage.
#[derive(Clone, Debug)]
struct Team {
    name: Name,
    weight: u32,
    quota: Capacity,
    used: Capacity,
}

/// Queues the work of a steward's teams and decides its placement.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// Location of the steward, from which the input of its teams' tasks is sent.
    home: Option<Place>,
    /// Indexed by team number.
    teams: Vec<Team>,
    /// Sorted by name.
    teams_by_name: Vec<u16>,
    shares: Shares,
    weights: Weights,
    view: View,
    estimates: Estimates,
    health: Health,
    usage: Usage,
    queue: Queue,
    table: Table,
    /// This steward's tasks that are claimed or running, by worker handle.
    running: Vec<Vec<(Number, u32)>>,
    reservations: Vec<Reservation>,
    /// Times at which the health of a worker must be evaluated again, in ascending order.
    checks: VecDeque<(Millis, Handle)>,
    /// Quarantined workers with the end of their quarantine.
    quarantines: Vec<(Millis, Handle)>,
    /// Handle of the worker after which the next search for tasks to preempt begins.
    preemption_cursor: usize,
    /// When tasks were last preempted for a peer.
    peer_preemption_at: Millis,
    /// Number of units in the queue whose task no longer waits.
    stale_units: usize,
    /// Number of the last gang decision.
    last_group: u64,
    /// Failures that have not been sent to the peers yet.
    peer_failures: Vec<Failure>,
    counters: Counters,
    /// Whether an event since the last empty pass may allow a decision.
    is_dirty: bool,
    /// When the last pass without a decision was made.
    empty_pass_at: Millis,
    /// Value of [`View::gains`] at the last pass without a decision.
    empty_pass_gains: u64,
}

impl Scheduler {
    /// Returns a scheduler without work and workers. `home` is the location of the steward: work
    /// placed in another region causes traffic between regions.
    pub fn new(home: Option<Place>, configuration: &Configuration) -> Self {
        let mut scheduler = Self {
            home,
            teams: Vec::new(),
            teams_by_name: Vec::new(),
            shares: configuration.shares,
            weights: configuration.weights,
            view: View::default(),
            estimates: Estimates::default(),
            health: Health::default(),
            usage: Usage::default(),
            queue: Queue::default(),
            table: Table::default(),
            running: Vec::new(),
            reservations: Vec::new(),
            checks: VecDeque::new(),
            quarantines: Vec::new(),
            preemption_cursor: 0,
            peer_preemption_at: Millis::ZERO,
            stale_units: 0,
            last_group: 0,
            peer_failures: Vec::new(),
            counters: Counters::default(),
            is_dirty: true,
            empty_pass_at: Millis::ZERO,
            empty_pass_gains: 0,
        };
        scheduler.configure(configuration);
        scheduler
    }

    /// Applies a configuration. The waiting work of a removed team stays queued under the team's
    /// last weight and quota. A quota below a team's present usage stops no task, but no further
    /// task of the team starts.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.is_dirty = true;
        self.shares = configuration.shares;
        self.weights = configuration.weights;
        for team in &configuration.teams {
            let number = self.team_or_insert(&team.name);
            let known = &mut self.teams[usize::from(number)];
            (known.weight, known.quota) = (team.weight, team.quota);
            self.usage.set_weight(number, team.weight);
        }
    }

    /// Sets a number that differs between stewards, such as the hash of the instance's name. It
    /// breaks ties between workers of similar cost, so that stewards select different workers and
    /// their claims conflict less often.
    pub const fn salt(&mut self, salt: u64) {
        self.view.salt(salt);
    }

    /// Applies a controller's report of a worker.
    pub fn worker(&mut self, report: &Report<'_>) {
        let known = self.view.handle(report.worker.name.as_str()).is_some();
        let handle = self.view.report(report);
        if !known {
            self.health.reset(handle);
            self.view.quarantine(handle, false);
        }
        if self.running.len() <= handle as usize {
            self.running.resize_with(handle as usize + 1, Vec::new);
        }
    }

    /// Removes a worker from the view. Its tasks stay placed until [`Self::ended`] is called.
    pub fn forget_worker(&mut self, name: &str) {
        if let Some(handle) = self.view.handle(name) {
            self.drop_reservations(|r| r.on(handle) != Capacity::ZERO);
            self.view.forget(name);
        }
    }

    /// Applies a peer's usage and demand.
    pub fn update_peer_totals(&mut self, peer: &Name, totals: &Totals, now: Millis) {
        self.usage.update_peer_totals(peer, totals, now);
    }

    /// Drains the task failures since the last call, to be sent to the peers.
    pub fn drain_failures(&mut self) -> Vec<Failure> {
        std::mem::take(&mut self.peer_failures)
    }

    /// Applies a task failure that a peer observed.
    pub fn record_peer_failure(&mut self, failure: &Failure, now: Millis) {
        if let Some(handle) = self.view.handle(failure.worker.as_str()) {
            self.health.strike(handle, failure.job, now);
            self.update_health(handle, now);
        }
    }

    /// Returns the usage and demand of this steward's teams, to be sent to the peers.
    pub const fn totals(&self) -> &Totals {
        self.usage.totals()
    }

    /// Checks whether a job can be admitted.
    ///
    /// # Errors
    ///
    /// Returns all findings if the job could never run, else the time after which to retry. That
    /// time is jittered per job, so that refused callers do not all retry at once.
    pub fn admit(
        &self,
        job: &Job,
        configuration: &Configuration,
        now: Millis,
    ) -> Result<(), Refusal> {
        admission::check(job, configuration, &self.view)?;
        let kind = configuration.kind(job.kind.as_str());
        let class = job.class.or(kind.map(|k| k.class)).unwrap_or_default();
        let known = self.team(&job.team).map(|team| self.backlog(team, class, job));
        let backlog = known.unwrap_or(Backlog { idle: true, ..Backlog::default() });
        backlog
            .verdict(class)
            .map_err(|refusal| refusal.jittered(table::hash(job.id.as_str()), now))
    }

    /// Queues tasks of an accepted job. `since` is when they began to wait: tasks that have waited
    /// longer than the first of their flow go to its front. Tasks that already wait or are placed
    /// are not changed.
    pub fn enqueue(&mut self, job: &Job, kind: &Kind, tasks: &[u32], since: Millis) {
        let number = match self.table.number(job.id.as_str()) {
            Some(number) => number,
            None => self.insert(job, kind),
        };
        self.is_dirty = true;
        let mut units = Vec::new();
        let Some(entry) = self.table.get_mut(number) else { return };
        let (class, team, needs, work) = (entry.class, entry.team, entry.needs, entry.work);
        for &index in tasks {
            if let Some(place @ TaskPlace::Idle) = entry.tasks.get_mut(index as usize) {
                *place = TaskPlace::Waiting(since);
                entry.waiting += 1;
                units.push(Unit { job: number, index, since });
            }
        }
        let count = u32::try_from(units.len()).unwrap_or(u32::MAX);
        if entry.policy.is_together() && count > 0 {
            units.truncate(1);
            units[0].index = ALL_TASKS;
        }
        entry.units += u32::try_from(units.len()).unwrap_or(u32::MAX);
        self.usage.add_waiting(class, team, &needs, work, count);
        let first = self.queue.unit(class, team, 0);
        let front = first.is_some_and(|first| since < first.since);
        for unit in units {
            self.queue.push(class, team, unit, front);
        }
    }

    /// Drops the waiting tasks of a cancelled job. Placed tasks stay placed until [`Self::ended`]
    /// is called.
    pub fn cancel(&mut self, job: &str) {
        let Some(number) = self.table.number(job) else { return };
        self.drop_reservations(|r| r.job == number);
        let Some(entry) = self.table.get_mut(number) else { return };
        let count = std::mem::take(&mut entry.waiting);
        for place in &mut entry.tasks {
            if matches!(place, TaskPlace::Waiting(_)) {
                *place = TaskPlace::Idle;
            }
        }
        self.stale_units += entry.units as usize;
        let (class, team, needs, work) = (entry.class, entry.team, entry.needs, entry.work);
        self.usage.remove_waiting(class, team, &needs, work, count);
        self.remove_if_over(number);
        self.compact();
    }

    /// Drops one waiting task. Its unit stays in the queue as stale and is skipped.
    pub fn drop_task(&mut self, task: &task::Id) {
        let Some(number) = self.table.number(task.job.as_str()) else { return };
        let Some(entry) = self.table.get_mut(number) else { return };
        let Some(place) = entry.tasks.get_mut(task.index as usize) else { return };
        if !matches!(place, TaskPlace::Waiting(_)) {
            return;
        }
        *place = TaskPlace::Idle;
        entry.waiting -= 1;
        self.stale_units += 1;
        let (class, team, needs, work) = (entry.class, entry.team, entry.needs, entry.work);
        self.usage.remove_waiting(class, team, &needs, work, 1);
        self.remove_if_over(number);
        self.compact();
    }

    /// Returns whether a task is claimed or running.
    pub fn is_placed(&self, task: &task::Id) -> bool {
        self.claim(task).is_some()
    }

    /// Removes a job with all its waiting and placed tasks because another steward is now
    /// responsible for it.
    pub fn forget(&mut self, job: &str) {
        self.cancel(job);
        let Some(number) = self.table.number(job) else { return };
        let placed: Vec<(u32, Claim)> = self.table.get(number).map_or_else(Vec::new, |entry| {
            let claims = (0..).zip(&entry.tasks).filter_map(|(index, place)| match place {
                TaskPlace::Placed(claim) => Some((index, *claim)),
                _ => None,
            });
            claims.collect()
        });
        for (index, claim) in placed {
            self.unplace(number, index, &claim, Millis::ZERO);
            self.view.release(claim.worker, &claim.needs);
        }
        self.remove_if_over(number);
    }

    /// Handles that the controller has reserved the capacity claimed for a task.
    pub fn reserved(&mut self, task: &task::Id, now: Millis) {
        if let Some((_, claim)) = self.claim(task) {
            self.view.grant(claim.worker, &claim.needs, now);
        }
    }

    /// Handles that the controller has refused the capacity claimed for a task. The task waits
    /// again, and with it all tasks of its gang, whose reservations the caller must release.
    pub fn reservation_refused(&mut self, task: &task::Id, now: Millis) {
        let Some((number, refused)) = self.claim(task) else { return };
        self.counters.refused += 1;
        let Some(entry) = self.table.get(number) else { return };
        let same_group = |claim: &Claim| claim.group.is_some() && claim.group == refused.group;
        let group: Vec<(u32, Claim)> = (0..)
            .zip(&entry.tasks)
            .filter_map(|(index, place)| match place {
                TaskPlace::Placed(claim) if index == task.index || same_group(claim) => {
                    Some((index, *claim))
                }
                _ => None,
            })
            .collect();
        for (index, claim) in &group {
            if *index == task.index {
                self.view.refuse(claim.worker, &claim.needs);
            } else {
                self.view.release(claim.worker, &claim.needs);
            }
            self.health.withdrawn(claim.worker, now, now);
            self.update_health(claim.worker, now);
        }
        self.withdraw(number, &group, now);
    }

    /// Handles the end of an attempt. The task stays idle until it is queued again. `peak` is the
    /// highest usage observed, `ran` the run time of the attempt.
    pub fn ended(
        &mut self,
        task: &task::Id,
        ending: &Ending,
        peak: &Capacity,
        ran: Millis,
        now: Millis,
    ) {
        let Some((number, claim)) = self.claim(task) else { return };
        let Some(entry) = self.table.get(number) else { return };
        let (hash, kind, declared_run) = (entry.hash, entry.kind.clone(), entry.run);
        let team = entry.team;
        let sample = Sample { declared: entry.needs, peak: *peak, declared_run, ran };
        let handle = claim.worker;
        match ending {
            Ending::Completed(_) => {
                self.estimates.completed(&kind, team, &sample);
                self.health.succeeded(handle, hash, now - ran, now);
            }
            Ending::Failed(_) => {
                self.health.failed(handle, hash, now - ran, now);
                if self.peer_failures.len() < MAX_PEER_FAILURES {
                    let worker = self.view.worker(handle).name.clone();
                    self.peer_failures.push(Failure { worker, job: hash });
                }
            }
            Ending::Stopped | Ending::Checkpointed | Ending::Lapsed => {
                self.estimates.seen(&kind, team, &sample.declared, peak);
                self.health.withdrawn(handle, now - ran, now);
            }
        }
        self.unplace(number, task.index, &claim, ran);
        self.view.free_up(handle, &claim.needs, now);
        self.update_health(handle, now);
        self.remove_if_over(number);
    }

    /// Updates the estimates from the reported usage of a running task.
    pub fn usage_seen(&mut self, task: &task::Id, usage: &Capacity) {
        if let Some((number, _)) = self.claim(task)
            && let Some(entry) = self.table.get(number)
        {
            self.estimates.seen(&entry.kind, entry.team, &entry.needs, usage);
        }
    }

    /// Registers a task that is already placed, such as one found in the ledger at start-up.
    /// Returns false if the worker is not in the view or the task is not idle.
    pub fn restore(
        &mut self,
        job: &Job,
        kind: &Kind,
        index: u32,
        worker: &str,
        needs: &Capacity,
        now: Millis,
    ) -> bool {
        let Some(handle) = self.view.handle(worker) else { return false };
        let number = match self.table.number(job.id.as_str()) {
            Some(number) => number,
            None => self.insert(job, kind),
        };
        let Some(entry) = self.table.get(number) else { return false };
        if entry.tasks.get(index as usize) != Some(&TaskPlace::Idle) {
            return false;
        }
        let ends = now + self.run(entry);
        let claim = Claim {
            worker: handle,
            needs: *needs,
            ends,
            since: now,
            charged: 0,
            group: None,
            preempted: false,
        };
        self.view.occupy(handle);
        self.place(number, index, claim);
        true
    }

    /// Returns the counters since the start.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of workers that are quarantined or probed.
    pub fn quarantined(&self) -> usize {
        self.health.quarantined()
    }

    /// Returns the view of the fleet's free capacity.
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Returns the number of waiting tasks in a class.
    pub fn waiting(&self, class: Class) -> u64 {
        let teams = self.teams_by_name.iter();
        teams.map(|&team| u64::from(self.usage.account(class, team).tasks)).sum()
    }

    /// Returns the capacity claimed for a team's tasks.
    pub fn used(&self, team: &Name) -> Capacity {
        self.team(team).map_or(Capacity::ZERO, |number| self.teams[usize::from(number)].used)
    }

    fn fleet(&self) -> Fleet {
        Fleet {
            shares: self.shares,
            weights: self.weights,
            total: *self.view.total(),
            free: *self.view.free(),
        }
    }

    fn team(&self, name: &Name) -> Option<u16> {
        let position = |&n: &u16| self.teams[usize::from(n)].name.cmp(name);
        let found = self.teams_by_name.binary_search_by(position);
        found.ok().map(|i| self.teams_by_name[i])
    }

    fn team_or_insert(&mut self, name: &Name) -> u16 {
        let position = |&n: &u16| self.teams[usize::from(n)].name.cmp(name);
        match self.teams_by_name.binary_search_by(position) {
            Ok(i) => self.teams_by_name[i],
            Err(i) => {
                let number = u16::try_from(self.teams.len()).unwrap_or(u16::MAX);
                self.teams.push(Team {
                    name: name.clone(),
                    weight: 1,
                    quota: Capacity::ZERO,
                    used: Capacity::ZERO,
                });
                self.usage.set_weight(number, 1);
                self.teams_by_name.insert(i, number);
                number
            }
        }
    }

    /// Returns the work queued ahead of a new job of a team, and the rate at which it is served.
    fn backlog(&self, team: u16, class: Class, job: &Job) -> Backlog {
        let fleet = self.fleet();
        let Account { tasks, work, .. } = *self.usage.account(class, team);
        let rate = self.usage.rate(class, team, &fleet);
        let queued = self.usage.totals().needy[class.index()];
        let ahead = queued.plus(&job.needs.times(u64::from(job.tasks)));
        let idle = tasks == 0 && self.usage.allows(class, team, &ahead, true, &fleet);
        Backlog { tasks, work, rate, idle }
    }

    fn insert(&mut self, job: &Job, kind: &Kind) -> Number {
        let team = self.team_or_insert(&job.team);
        let mut entry = Entry {
            id: job.id.clone(),
            hash: table::hash(job.id.as_str()),
            team,
            kind: job.kind.clone(),
            class: job.class.unwrap_or(kind.class),
            policy: policy::of(kind.shape),
            needs: job.needs,
            run: job.run_ms,
            payload_bytes: job.payload.len() as u64,
            tasks: vec![TaskPlace::Idle; job.tasks as usize],
            waiting: 0,
            placed: 0,
            units: 0,
            work: 0,
            not_before: Millis::ZERO,
            tries: 0,
            preempted_at: Millis::ZERO,
        };
        entry.work = self.cost(&self.needs(&entry), self.run(&entry));
        self.table.insert(entry)
    }

    /// Returns the capacity to reserve for a task of a job.
    fn needs(&self, entry: &Entry) -> Capacity {
        let estimated = self.estimates.needs(entry.kind.as_str(), entry.team, &entry.needs);
        let quota = self.teams[usize::from(entry.team)].quota;
        // A task whose estimate exceeds every worker or the quota could never be placed.
        let bound = self.view.largest().least(&quota).greatest(&entry.needs);
        entry.policy.reserve(&entry.needs, &estimated).least(&bound)
    }

    /// Returns the expected run time of a task of a job.
    fn run(&self, entry: &Entry) -> Millis {
        entry.policy.run(entry.run, self.estimates.run(entry.kind.as_str(), entry.team, entry.run))
    }

    /// Returns the cost of a task, in millionths of the fleet times milliseconds.
    fn cost(&self, needs: &Capacity, run: Millis) -> u64 {
        needs.dominant(self.view.total()).saturating_mul(run.get())
    }

    /// Updates the quarantine of a worker in the view from its health.
    fn update_health(&mut self, handle: Handle, now: Millis) {
        let paused = self.health.is_paused(handle, now);
        self.view.quarantine(handle, paused);
        if paused {
            self.checks.push_back((now + PROOF, handle));
        }
        if let State::Quarantined(until) | State::Probed(until) = self.health.state(handle) {
            self.quarantines.retain(|&(_, h)| h != handle);
            self.quarantines.push((until, handle));
        }
    }
}

#[cfg(test)]
mod tests;
