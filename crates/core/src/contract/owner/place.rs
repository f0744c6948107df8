//! Placement: selects the waiting tasks to start and their workers.
//!
//! Steps are served by [`Rank`]: first the jobs that can still finish while their result has
//! value, then those that can still meet their objective, then by the queue's priority, then by
//! latest start time. Gangs hold or reserve capacity of workers ([`super::gang`]), and steps of
//! lower rank are not placed there: small tasks would otherwise starve them.

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
pub(super) const NAMED_ROOM_TENTHS: u64 = 35;
/// Minimum number of workers named in a query.
pub(super) const MIN_NAMED: u64 = 6;
/// Processor time that a pass may query for, in tenths of the free processor time. Above 10
/// because the advisor denies some of the workers.
const QUERY_FREE_TENTHS: u64 = 15;
/// Additional processor time that a pass may query for, in percent of the total: it is expected
/// to become free while the queries run.
const QUERY_TOTAL_PERCENT: u64 = 6;
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
pub(super) struct WaitingStep<'a> {
    pub(super) step_id: StepId,
    pub(super) job: &'a Arc<Job>,
    pub(super) step: &'a Step,
    pub(super) state: &'a StepState,
}

/// A worker for one task: its index in `Owner::hosts`, with the ticket and its expiry for steps
/// that need one.
pub(super) type Assignment = (usize, Option<(Box<str>, Millis)>);

/// State of one placement pass.
#[derive(Default)]
pub(super) struct Round {
    /// Capacity that gangs of higher rank reserve, by index of the worker, sorted.
    reserved: Vec<(usize, Capacity)>,
    /// Number of gangs with reserved workers that wait for room.
    pub(super) reserving: usize,
    /// Processor time, in thousandths of a core, that this pass may still query for.
    query_budget: u64,
    /// Largest free processor time of any worker, in thousandths of a core.
    max_free_cpu: u64,
    /// Runs to record as started, grouped by worker.
    starts: Vec<(Arc<Incarnation>, Vec<Run>)>,
    /// Number of runs in `starts`.
    count: usize,
}

impl Round {
    /// Returns the free capacity of a worker that no gang of higher rank reserves.
    pub(super) fn room(&self, i: usize, host: &Host) -> Capacity {
        match self.reserved.binary_search_by_key(&i, |(at, _)| *at) {
            Ok(at) => host.free().saturating_sub(&self.reserved[at].1),
            Err(_) => host.free(),
        }
    }

    /// Returns whether gangs of higher rank reserve capacity of a worker.
    pub(super) fn is_reserved(&self, i: usize) -> bool {
        self.reserved.binary_search_by_key(&i, |(at, _)| *at).is_ok()
    }

    /// Keeps capacity of a worker free of steps of lower rank.
    pub(super) fn reserve(&mut self, i: usize, capacity: &Capacity) {
        match self.reserved.binary_search_by_key(&i, |(at, _)| *at) {
            Ok(at) => self.reserved[at].1 = self.reserved[at].1.plus(capacity),
            Err(at) => self.reserved.insert(at, (i, *capacity)),
        }
    }

    /// Takes the needs of `count` tasks from the processor time to query for. Returns whether any
    /// was left.
    pub(super) fn take_query_budget(&mut self, step: &Step, count: usize) -> bool {
        let wanted = step.needs.cpu_milli * u64::try_from(count).unwrap_or(u64::MAX);
        let had_any = self.query_budget > 0;
        self.query_budget = self.query_budget.saturating_sub(wanted);
        had_any
    }
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
        Round { query_budget, max_free_cpu, ..Round::default() }
    }

    fn place_singles(&mut self, waiting: &WaitingStep<'_>, round: &mut Round, now: Millis) {
        let needs = counted(waiting.step);
        if needs.cpu_milli > round.max_free_cpu {
            return;
        }
        let tasks = self.startable_tasks(waiting);
        let mut left = tasks.len();
        for task in &tasks {
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
            let free = round.room(i, host);
            if !free.holds(needs) || !self.is_spread(waiting, host) {
                continue;
            }
            let is_far = waiting.step.data_rack.as_deref().is_some_and(|r| !host.has_label(r));
            let rest = if waiting.step.fills { u64::MAX - free.cpu_milli } else { free.cpu_milli };
            let key = (is_far, rest);
            if best.as_ref().is_some_and(|(k, _)| *k <= key) {
                continue;
            }
            if let Some(ticket) = self.admits(waiting, i, now) {
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
        now: Millis,
    ) -> Option<Option<(Box<str>, Millis)>> {
        if !self.is_eligible(waiting, i, now) {
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
    pub(super) fn is_eligible(&self, waiting: &WaitingStep<'_>, i: usize, now: Millis) -> bool {
        let host = &self.hosts[i];
        host.takes_work(now)
            && host.entry.pool == waiting.job.policy.pool
            && waiting.step.label.as_deref().is_none_or(|l| host.has_label(l))
    }

    /// Returns how many tasks of a step fit into `room` on one worker.
    pub(super) fn fits(step: &Step, room: &Capacity) -> usize {
        let fits = usize::try_from(room.times_held(&counted(step))).unwrap_or(usize::MAX);
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
        let from = self.runs.partition_point(|r| r.run.task.step_id < waiting.step_id);
        let of_step =
            self.runs[from..].iter().take_while(|r| r.run.task.step_id == waiting.step_id);
        of_step.filter(|r| r.on.worker == host.incarnation.worker).count() < spread
    }

    /// Returns the waiting tasks of a step that have no open run.
    pub(super) fn startable_tasks(&self, waiting: &WaitingStep<'_>) -> Vec<Task> {
        let step_id = waiting.step_id;
        (0..)
            .zip(&waiting.state.tasks)
            .filter(|(_, t)| t.is_waiting())
            .map(|(index, _)| Task { step_id, index })
            .filter(|task| !self.is_running(task))
            .collect()
    }

    pub(super) fn add_run(
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

    /// Queries the advisor about workers for `count` single tasks if the answer can lead to a
    /// placement.
    ///
    /// Tickets that have expired are renewed first if their workers have room. Workers not asked
    /// about before are named if the allowed ones can't hold all tasks even when empty, if they are
    /// full, or if the unasked ones have at least twice the room needed.
    fn ask(
        &mut self,
        waiting: &WaitingStep<'_>,
        timing: AdvisorTiming,
        count: usize,
        round: &mut Round,
        now: Millis,
    ) {
        if !round.take_query_budget(waiting.step, count)
            || !self.queries.may_ask(&waiting.step_id, now)
        {
            return;
        }
        let needs = counted(waiting.step);
        let (mut expired, mut unknown) = (Vec::new(), Vec::new());
        let (mut allowed_free, mut allowed_total, mut unasked_free) = (0_usize, 0_usize, 0_usize);
        for i in 0..self.hosts.len() {
            if !self.is_eligible(waiting, i, now) {
                continue;
            }
            let host = &self.hosts[i];
            let free = Self::fits(waiting.step, &round.room(i, host));
            let whole = host.entry.capacity.times_held(&needs);
            let whole = usize::try_from(whole).unwrap_or(usize::MAX);
            let entry = (free.min(count), host.free().cpu_milli, host.incarnation.worker.clone());
            match self.queries.permission(
                &waiting.step_id,
                &host.incarnation.worker,
                self.record_delay,
                now,
            ) {
                Permission::Unknown if free > 0 => {
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
                }
                _ => {}
            }
        }
        let workers = if !expired.is_empty() {
            select_workers(expired, count, 10, 0)
        } else if allowed_total < count || allowed_free == 0 || unasked_free >= count * 2 {
            let share = self.queries.share(&waiting.job.policy.queue);
            select_workers(unknown, count, NAMED_ROOM_TENTHS * 1000 / share, MIN_NAMED)
        } else {
            return;
        };
        self.send_query(waiting.step_id, timing, workers, now);
    }
}

/// Returns the workers to name in a query, those with the most room first: enough to hold
/// `count * room_tenths / 10` tasks, but at least `min_named`. Each of `workers` is the number of
/// tasks that fit, the free processor time and the name.
pub(super) fn select_workers(
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
