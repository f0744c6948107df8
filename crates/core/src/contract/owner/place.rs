//! Placement: selects the waiting tasks to start and their workers.
//!
//! Steps are served by [`Rank`]: first the jobs that can still finish while their result has
//! value, then those that can still meet their objective, then by the queue's priority, then by
//! latest start time. A gang that does not fit reserves the workers on which it can fit soonest,
//! and steps of lower rank are not placed there: small tasks would otherwise starve it.

use super::advice::Permission;
use super::order::StopReason;
use super::{Effect, Owner, Phase, Running};
use crate::clock::Millis;
use crate::contract::work::{AdvisorTiming, Job, Step, StepId, Task};
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::state::StepState;
use crate::ledger::shard::{Entry, Incarnation, Run};
use crate::machine::capacity::Capacity;
use crate::machine::host::Host;
use std::sync::Arc;

/// Multiple of its objective after which a job's result has no value.
const WORTHLESS_OBJECTIVES: u64 = 3;
/// Room on the workers named in a query, in tenths of the tasks to place. The query names more
/// than needed because the advisor denies some of the workers.
const NAMED_ROOM_TENTHS: u64 = 35;
/// Minimum number of workers named in a query.
const MIN_NAMED: u64 = 6;
/// Processor time that a pass may query for, in tenths of the free processor time. Above 10
/// because the advisor denies some of the workers.
const QUERY_FREE_TENTHS: u64 = 15;
/// Additional processor time that a pass may query for, in percent of the total: it is expected
/// to become free while the queries run.
const QUERY_TOTAL_PERCENT: u64 = 6;
/// Maximum number of gangs with reserved workers while free capacity is scarce.
const MAX_RESERVING: usize = 2;
/// Maximum number of gangs with reserved workers while free capacity is plentiful: gangs then wait
/// for tickets rather than for capacity.
const MAX_RESERVING_IDLE: usize = 8;
/// Free share of the processor time, in tenths, from which free capacity counts as plentiful.
const IDLE_FREE_TENTHS: u64 = 4;
/// Maximum number of starts in one placement pass; the next pass continues.
const MAX_STARTS: usize = 200;

/// Order in which waiting steps are placed, the smallest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the job can't finish before its result loses its value.
    is_worthless: bool,
    /// Whether the job can't meet its objective.
    is_late: bool,
    priority: u32,
    latest_start: Millis,
    step_id: StepId,
}

/// A step with waiting tasks, and the data that its placement needs.
struct WaitingStep<'a> {
    step_id: StepId,
    job: &'a Arc<Job>,
    step: &'a Step,
    state: &'a StepState,
}

/// A worker for one task: its index in `Owner::hosts`, with the ticket and its expiry for steps
/// that need one.
type Assignment = (usize, Option<(Box<str>, Millis)>);

/// State of one placement pass.
#[derive(Default)]
struct Round {
    /// Indices of the workers that gangs of higher rank reserve, sorted.
    reserved: Vec<usize>,
    /// Number of gangs with reserved workers.
    reserving: usize,
    /// Upper bound of `reserving` in this pass.
    max_reserving: usize,
    /// Processor time, in thousandths of a core, that this pass may still query for.
    query_budget: u64,
    /// Largest free processor time of any worker, in thousandths of a core.
    max_free_cpu: u64,
    /// Runs to record as started, grouped by worker.
    starts: Vec<(Arc<Incarnation>, Vec<Run>)>,
    /// Number of runs in `starts`.
    count: usize,
}

/// Returns the part of a task's needs that counts against a worker's capacity.
pub(super) const fn counted(step: &Step) -> Capacity {
    if step.fills { Capacity { cpu_milli: 0, ..step.needs } } else { step.needs }
}

impl Owner {
    /// Runs a placement pass over all waiting steps, in the order of [`Rank`].
    pub(super) fn place(&mut self, replica: &Replica, now: Millis) {
        self.queries.expire(now);
        let mut ranks: Vec<Rank> =
            replica.open().iter().filter_map(|step_id| rank(replica, *step_id, now)).collect();
        ranks.sort_unstable();
        let mut round = self.round(now);
        for rank in ranks {
            if round.count >= MAX_STARTS {
                self.is_dirty = true;
                break;
            }
            let Some(waiting) = waiting(replica, rank.step_id) else { continue };
            self.effort.steps += 1;
            if waiting.step.gang {
                self.place_gang(&waiting, &mut round, now);
            } else {
                self.place_singles(&waiting, &mut round, now);
            }
        }
        for (on, runs) in round.starts {
            let on = (*on).clone();
            self.effects.push(Effect::Record(Entry::Started { on, runs }));
        }
    }

    fn round(&self, now: Millis) -> Round {
        let (mut free, mut whole, mut max_free_cpu) = (0, 0, 0);
        for host in self.hosts.iter().filter(|h| h.takes_work(now)) {
            let room = host.free().cpu_milli;
            free += room;
            whole += host.entry.capacity.cpu_milli;
            max_free_cpu = max_free_cpu.max(room);
        }
        let query_budget = free * QUERY_FREE_TENTHS / 10 + whole * QUERY_TOTAL_PERCENT / 100;
        let is_idle = free * 10 >= whole * IDLE_FREE_TENTHS;
        let max_reserving = if is_idle { MAX_RESERVING_IDLE } else { MAX_RESERVING };
        Round { query_budget, max_free_cpu, max_reserving, ..Round::default() }
    }

    fn place_gang(&mut self, waiting: &WaitingStep<'_>, round: &mut Round, now: Millis) {
        let tasks = self.startable_tasks(waiting);
        if tasks.len() != waiting.state.tasks.len() {
            return;
        }
        self.examine_all();
        let assignments = self.gang_assignments(waiting, tasks.len(), round, now);
        if let Some(assignments) = assignments {
            let number = 1 + waiting.state.tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
            for (task, assignment) in tasks.iter().zip(assignments) {
                self.add_run(waiting, Run { task: *task, number }, assignment, round, now);
            }
            return;
        }
        let timing = waiting.job.policy.advisor_timing;
        let is_next = round.reserving < round.max_reserving;
        self.examine_all();
        if is_next {
            self.reserve(waiting, tasks.len(), round, now);
        }
        if let Some(timing) = timing.filter(|_| is_next || self.has_room(waiting, round, now)) {
            self.ask(waiting, timing, tasks.len(), round, now);
        }
    }

    /// Returns whether a gang would fit if the advisor allowed every eligible worker.
    fn has_room(&self, waiting: &WaitingStep<'_>, round: &Round, now: Millis) -> bool {
        let needs = counted(waiting.step);
        let is_open = |i: &usize| round.reserved.binary_search(i).is_err();
        let able =
            (0..self.hosts.len()).filter(|i| is_open(i) && self.is_eligible(waiting, *i, now));
        let room: usize = able.map(|i| self.fits(waiting.step, i, &needs)).sum();
        room >= waiting.state.tasks.len()
    }

    /// Returns an assignment for each task of a gang, or `None` if not all of them fit.
    fn gang_assignments(
        &self,
        waiting: &WaitingStep<'_>,
        count: usize,
        round: &Round,
        now: Millis,
    ) -> Option<Vec<Assignment>> {
        let needs = counted(waiting.step);
        let mut open: Vec<(usize, Assignment)> = Vec::new();
        for i in 0..self.hosts.len() {
            if let Some(ticket) = self.admits(waiting, i, round, now) {
                let fits = self.fits(waiting.step, i, &needs);
                if fits > 0 {
                    open.push((fits, (i, ticket)));
                }
            }
        }
        // Workers that hold the most members come first: a gang on few workers has its members
        // near each other.
        open.sort_by(|(fits, (i, _)), (other, (j, _))| other.cmp(fits).then(i.cmp(j)));
        let mut assignments = Vec::with_capacity(count);
        for (fits, assignment) in open {
            for _ in 0..fits {
                if assignments.len() < count {
                    assignments.push(assignment.clone());
                }
            }
        }
        (assignments.len() == count).then_some(assignments)
    }

    fn place_singles(&mut self, waiting: &WaitingStep<'_>, round: &mut Round, now: Millis) {
        let needs = counted(waiting.step);
        if needs.cpu_milli > round.max_free_cpu {
            return;
        }
        let tasks = self.startable_tasks(waiting);
        let mut left = tasks.len();
        for task in &tasks {
            self.examine_all();
            let Some(assignment) = self.single_assignment(waiting, &needs, round, now) else {
                break;
            };
            let last = self.last_run(waiting, task);
            self.add_run(waiting, Run { task: *task, number: last + 1 }, assignment, round, now);
            left -= 1;
        }
        if let Some(timing) = waiting.job.policy.advisor_timing.filter(|_| left > 0) {
            self.ask(waiting, timing, left, round, now);
        }
    }

    fn last_run(&self, waiting: &WaitingStep<'_>, task: &Task) -> u32 {
        let index = usize::try_from(task.index).unwrap_or(usize::MAX);
        waiting.state.tasks.get(index).map_or(0, |t| t.last_run)
    }

    /// Counts all workers as examined.
    fn examine_all(&mut self) {
        self.effort.hosts += u64::try_from(self.hosts.len()).unwrap_or(u64::MAX);
    }

    /// Returns the best fit for a task: a worker on the rack of its data if possible, then the one
    /// with the least free processor time. Tasks that fill spare processor time go where most is
    /// free.
    fn single_assignment(
        &self,
        waiting: &WaitingStep<'_>,
        needs: &Capacity,
        round: &Round,
        now: Millis,
    ) -> Option<Assignment> {
        let mut best: Option<((bool, u64), Assignment)> = None;
        for i in 0..self.hosts.len() {
            let host = &self.hosts[i];
            let free = host.free();
            if !free.holds(needs) || !self.is_spread(waiting, host) {
                continue;
            }
            let is_far = waiting.step.data_rack.as_deref().is_some_and(|r| !host.has_label(r));
            let rest = if waiting.step.fills { u64::MAX - free.cpu_milli } else { free.cpu_milli };
            let key = (is_far, rest);
            if best.as_ref().is_some_and(|(k, _)| *k <= key) {
                continue;
            }
            if let Some(ticket) = self.admits(waiting, i, round, now) {
                best = Some((key, (i, ticket)));
            }
        }
        best.map(|(_, assignment)| assignment)
    }

    /// Returns `Some` if new tasks of the step may be placed on a worker now, with the ticket if
    /// the step needs one.
    #[expect(clippy::option_option, reason = "a worker may be admitted without a ticket")]
    fn admits(
        &self,
        waiting: &WaitingStep<'_>,
        i: usize,
        round: &Round,
        now: Millis,
    ) -> Option<Option<(Box<str>, Millis)>> {
        if !self.is_eligible(waiting, i, now) || round.reserved.binary_search(&i).is_ok() {
            return None;
        }
        if waiting.job.policy.advisor_timing.is_none() {
            return Some(None);
        }
        match self.queries.permission(
            &waiting.step_id,
            &self.hosts[i].incarnation.worker,
            self.record_delay,
            now,
        ) {
            Permission::Allowed(ticket, until) => Some(Some((ticket, until))),
            _ => None,
        }
    }

    /// Returns whether a worker accepts work and has the pool and label that the step requires.
    fn is_eligible(&self, waiting: &WaitingStep<'_>, i: usize, now: Millis) -> bool {
        let host = &self.hosts[i];
        host.takes_work(now)
            && host.entry.pool == waiting.job.policy.pool
            && waiting.step.label.as_deref().is_none_or(|l| host.has_label(l))
    }

    /// Returns how many tasks of a step fit into the free capacity of a worker.
    fn fits(&self, step: &Step, i: usize, needs: &Capacity) -> usize {
        let fits = usize::try_from(self.hosts[i].free().times_held(needs)).unwrap_or(usize::MAX);
        let spread = usize::try_from(step.spread).unwrap_or(usize::MAX);
        let limit = if spread == 0 { usize::MAX } else { spread };
        fits.min(limit).min(usize::try_from(step.count).unwrap_or(usize::MAX))
    }

    /// Returns whether the step's limit of tasks per worker permits one more task on a worker.
    fn is_spread(&self, waiting: &WaitingStep<'_>, host: &Host) -> bool {
        let spread = usize::try_from(waiting.step.spread).unwrap_or(usize::MAX);
        if spread == 0 {
            return true;
        }
        let of_step = self.runs.of_step(&waiting.step_id).iter();
        of_step.filter(|(_, r)| r.on.worker == host.incarnation.worker).count() < spread
    }

    /// Returns the waiting tasks of a step that have no open run.
    fn startable_tasks(&self, waiting: &WaitingStep<'_>) -> Vec<Task> {
        let step_id = waiting.step_id;
        (0..)
            .zip(&waiting.state.tasks)
            .filter(|(_, t)| t.is_waiting())
            .map(|(index, _)| Task { step_id, index })
            .filter(|task| !self.is_running(task))
            .collect()
    }

    fn add_run(
        &mut self,
        waiting: &WaitingStep<'_>,
        run: Run,
        (i, ticket): Assignment,
        round: &mut Round,
        now: Millis,
    ) {
        let on = Arc::clone(&self.hosts[i].incarnation);
        let (ticket, valid_until) = ticket.unzip();
        self.insert(Running {
            run,
            on: Arc::clone(&on),
            needs: counted(waiting.step),
            phase: Phase::Recording,
            ticket,
            valid_until: valid_until.unwrap_or(Millis::MAX),
            stop_requested: false,
            reason: StopReason::Stray,
            progress: (0, now),
        });
        round.count += 1;
        match round.starts.iter_mut().find(|(incarnation, _)| *incarnation == on) {
            Some((_, runs)) => runs.push(run),
            None => round.starts.push((on, vec![run])),
        }
    }

    /// Reserves enough workers for a gang, those with the least processor time in use first. Does
    /// nothing if all eligible workers together are too small.
    fn reserve(&self, waiting: &WaitingStep<'_>, count: usize, round: &mut Round, now: Millis) {
        let needs = counted(waiting.step);
        let is_advised = waiting.job.policy.advisor_timing.is_some();
        let mut able: Vec<(u64, usize, usize)> = Vec::new();
        for i in 0..self.hosts.len() {
            if !self.is_eligible(waiting, i, now) || round.reserved.binary_search(&i).is_ok() {
                continue;
            }
            let host = &self.hosts[i];
            let permission = self.queries.permission(
                &waiting.step_id,
                &host.incarnation.worker,
                self.record_delay,
                now,
            );
            if is_advised && !matches!(permission, Permission::Allowed(..) | Permission::Expired) {
                continue;
            }
            let fits = host.entry.capacity.times_held(&needs);
            let fits = usize::try_from(fits).unwrap_or(usize::MAX);
            if fits > 0 {
                able.push((host.used.cpu_milli, i, fits));
            }
        }
        able.sort_unstable();
        let mut selected = Vec::new();
        let mut room = 0_usize;
        for (_, i, fits) in able {
            if room >= count {
                break;
            }
            room = room.saturating_add(fits);
            selected.push(i);
        }
        if room < count {
            return;
        }
        round.reserving += 1;
        for i in selected {
            if let Err(at) = round.reserved.binary_search(&i) {
                round.reserved.insert(at, i);
            }
        }
    }

    /// Queries the advisor about workers for `count` tasks if the answer can lead to a placement.
    ///
    /// Tickets that have expired are renewed first if their workers have room. Workers not asked
    /// about before are named if the allowed ones can't hold all tasks even when empty, if they are
    /// full (unless for a gang), or if the unasked ones have at least twice the room needed.
    fn ask(
        &mut self,
        waiting: &WaitingStep<'_>,
        timing: AdvisorTiming,
        count: usize,
        round: &mut Round,
        now: Millis,
    ) {
        let wanted = waiting.step.needs.cpu_milli * u64::try_from(count).unwrap_or(u64::MAX);
        if round.query_budget == 0 {
            return;
        }
        round.query_budget = round.query_budget.saturating_sub(wanted);
        if !self.queries.may_ask(&waiting.step_id, now) {
            return;
        }
        self.examine_all();
        let needs = counted(waiting.step);
        let (mut expired, mut valid, mut unknown) = (Vec::new(), Vec::new(), Vec::new());
        let (mut allowed_free, mut allowed_total, mut unasked_free) = (0_usize, 0_usize, 0_usize);
        for i in 0..self.hosts.len() {
            if !self.is_eligible(waiting, i, now) {
                continue;
            }
            let host = &self.hosts[i];
            let free = self.fits(waiting.step, i, &needs);
            let whole = host.entry.capacity.times_held(&needs);
            let whole = usize::try_from(whole).unwrap_or(usize::MAX);
            let entry = (free.min(count), host.free().cpu_milli, host.incarnation.worker.clone());
            match self.queries.permission(
                &waiting.step_id,
                &host.incarnation.worker,
                self.record_delay,
                now,
            ) {
                Permission::Unknown if free > 0 || (whole > 0 && waiting.step.gang) => {
                    unasked_free += free;
                    unknown.push(entry);
                }
                Permission::Expired if whole > 0 => {
                    allowed_total += whole;
                    if free > 0 {
                        allowed_free += free;
                        expired.push(entry);
                    }
                }
                Permission::Allowed(..) => {
                    allowed_total += whole;
                    allowed_free += free;
                    if free > 0 {
                        valid.push(entry);
                    }
                }
                _ => {}
            }
        }
        let workers = if !expired.is_empty() && (!waiting.step.gang || allowed_free >= count) {
            if waiting.step.gang {
                // All tickets of a gang must be valid at the same time, so one expired ticket
                // renews them all.
                expired.append(&mut valid);
            }
            select_workers(expired, count, 10, 0)
        } else if allowed_total < count
            || (allowed_free == 0 && !waiting.step.gang)
            || unasked_free >= count * 2
        {
            let share = self.queries.share(&waiting.job.policy.queue);
            select_workers(unknown, count, NAMED_ROOM_TENTHS * 1000 / share, MIN_NAMED)
        } else {
            return;
        };
        if workers.is_empty() {
            return;
        }
        if let Some(query) = self.queries.ask(waiting.step_id, timing, workers, now) {
            self.effects.push(Effect::QueryAdvisor(query));
        }
    }
}

/// Returns the workers to name in a query, those with the most room first: enough to hold
/// `count * room_tenths / 10` tasks, but at least `min_named`. Each of `workers` is the number of
/// tasks that fit, the free processor time and the name.
fn select_workers(
    mut workers: Vec<(usize, u64, Box<str>)>,
    count: usize,
    room_tenths: u64,
    min_named: u64,
) -> Vec<Box<str>> {
    workers.sort_by(|a, b| b.cmp(a));
    let wanted = u64::try_from(count).unwrap_or(u64::MAX).saturating_mul(room_tenths) / 10;
    let (mut room, mut named) = (0, Vec::new());
    for (fits, _, worker) in workers {
        let count = u64::try_from(named.len()).unwrap_or(u64::MAX);
        if named.len() >= super::advice::MAX_NAMED || (room >= wanted && count >= min_named) {
            break;
        }
        room += u64::try_from(fits.max(1)).unwrap_or(u64::MAX);
        named.push(worker);
    }
    named
}

fn rank(replica: &Replica, step_id: StepId, now: Millis) -> Option<Rank> {
    let waiting = waiting(replica, step_id)?;
    if waiting.state.waiting() == 0 {
        return None;
    }
    let state = replica.job(step_id.job)?;
    let objective = state.objective;
    let left = state.chains.get(usize::from(step_id.step)).copied().unwrap_or_default();
    let finish = now + left;
    Some(Rank {
        is_worthless: finish > state.seen + objective.times(WORTHLESS_OBJECTIVES)
            && !waiting.step.lasting,
        is_late: finish > state.seen + objective && !waiting.step.lasting,
        priority: state.job.policy.priority,
        latest_start: (state.seen + objective).since(left),
        step_id,
    })
}

fn waiting(replica: &Replica, step_id: StepId) -> Option<WaitingStep<'_>> {
    let job = replica.job(step_id.job)?;
    let occurrence = job.occurrences.get(usize::try_from(step_id.occurrence).ok()?)?;
    let state = occurrence.steps.get(usize::from(step_id.step))?;
    let step = job.job.steps.get(usize::from(step_id.step))?;
    Some(WaitingStep { step_id, job: &job.job, step, state })
}
