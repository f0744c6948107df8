//! Placement: selects the waiting tasks to start and their workers.
//!
//! Steps are served by [`Rank`](super::backlog::Rank): first the jobs that can still finish while their result has
//! value, then those that can still meet their objective, then by the queue's priority, then by
//! latest start time. A gang that does not fit reserves the workers on which it can fit soonest,
//! and steps of lower rank are not placed there: small tasks would otherwise starve it.

use super::advice::Permission;
use super::backlog::Candidate;
use super::order::StopReason;
use super::{Effect, Owner, Phase, Running};
use crate::clock::Millis;
use crate::contract::work::{AdvisorTiming, Job, Step, StepId, Task};
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::state::StepState;
use crate::ledger::shard::{Entry, Incarnation, Run};
use crate::machine::capacity::Capacity;
use crate::machine::host::Host;
use std::rc::Rc;
use std::sync::Arc;

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

/// A step with waiting tasks, and the data that its placement needs.
pub(super) struct WaitingStep<'a> {
    step_id: StepId,
    job: &'a Arc<Job>,
    pub(super) step: &'a Step,
    pub(super) state: &'a StepState,
}

/// State of one placement pass.
#[derive(Default)]
struct Round {
    /// For each worker, whether a gang of higher rank reserves it.
    is_reserved: Vec<bool>,
    /// Number of gangs with reserved workers.
    reserving: usize,
    /// Upper bound of `reserving` in this pass.
    max_reserving: usize,
    /// Processor time, in thousandths of a core, that this pass may still query for.
    query_budget: u64,
    /// The greatest amount of each resource that is free on any worker.
    roomiest: Capacity,
    /// Free capacity of all workers.
    free: Capacity,
    /// Indices of the workers that accept work, by pool and required label.
    eligible: Vec<Eligible>,
    /// Runs to record as started, grouped by worker.
    starts: Vec<(Arc<Incarnation>, Vec<Run>)>,
    /// Number of runs in `starts`.
    count: usize,
}

/// The workers that accept work of a pool's steps that require a label.
struct Eligible {
    pool: Box<str>,
    label: Option<Box<str>>,
    /// Indices in `Owner::hosts`.
    hosts: Rc<[usize]>,
}

/// Returns the part of a task's needs that counts against a worker's capacity.
pub(super) const fn counted(step: &Step) -> Capacity {
    if step.fills { Capacity { cpu_milli: 0, ..step.needs } } else { step.needs }
}

impl Owner {
    /// Runs a placement pass over the waiting steps that may get a worker or a ticket, in the order
    /// of [`Rank`](super::backlog::Rank).
    pub(super) fn place(&mut self, replica: &Replica, now: Millis) {
        self.queries.expire(now);
        self.update_backlog(replica);
        let mut round = self.round(now);
        for rank in self.backlog.ranks(now) {
            if round.count >= MAX_STARTS {
                self.is_dirty = true;
                break;
            }
            let candidate = self.backlog.candidate(rank.at);
            if self.is_hopeless(candidate, &round) {
                continue;
            }
            let (is_gang, startable) = (candidate.is_gang, candidate.startable);
            let Some(waiting) = waiting(replica, rank.step_id) else { continue };
            self.effort.steps += 1;
            let before = round.count;
            if is_gang {
                self.place_gang(&waiting, replica, &mut round, now);
            } else {
                self.place_singles(&waiting, startable, replica, &mut round, now);
            }
            if round.count > before {
                self.update_room(&mut round, now);
            }
        }
        for (on, runs) in round.starts {
            let on = (*on).clone();
            self.effects.push(Effect::Record(Entry::Started { on, runs }));
        }
    }

    fn round(&self, now: Millis) -> Round {
        let mut round = Round { is_reserved: vec![false; self.hosts.len()], ..Round::default() };
        let hosts = self.hosts.iter().filter(|h| h.takes_work(now));
        let whole: u64 = hosts.map(|h| h.entry.capacity.cpu_milli).sum();
        self.update_room(&mut round, now);
        let free = round.free.cpu_milli;
        round.query_budget = free * QUERY_FREE_TENTHS / 10 + whole * QUERY_TOTAL_PERCENT / 100;
        let is_idle = free * 10 >= whole * IDLE_FREE_TENTHS;
        round.max_reserving = if is_idle { MAX_RESERVING_IDLE } else { MAX_RESERVING };
        round
    }

    fn update_room(&self, round: &mut Round, now: Millis) {
        (round.roomiest, round.free) = (Capacity::ZERO, Capacity::ZERO);
        for host in self.hosts.iter().filter(|h| h.takes_work(now)) {
            let free = host.free();
            round.roomiest = round.roomiest.greatest(&free);
            round.free = round.free.plus(&free);
        }
    }

    /// Returns whether this pass can neither start tasks of a step nor reserve workers or query the
    /// advisor for it.
    fn is_hopeless(&self, candidate: &Candidate, round: &Round) -> bool {
        let Candidate { step_id, startable, tasks, needs, is_gang, is_advised, .. } = candidate;
        let can_start = if *is_gang {
            round.free.times_held(needs) >= u64::try_from(*tasks).unwrap_or(u64::MAX)
        } else {
            round.roomiest.holds(needs)
        };
        let may_reserve = *is_gang && round.reserving < round.max_reserving;
        if startable < if *is_gang { tasks } else { &1 } || !(can_start || may_reserve) {
            return true;
        }
        *is_advised && round.query_budget == 0 && self.queries.tickets(step_id).is_empty()
    }

    /// Returns the workers that accept tasks of a step.
    fn eligible(&self, waiting: &WaitingStep<'_>, round: &mut Round, now: Millis) -> Rc<[usize]> {
        let (pool, label) = (&waiting.job.policy.pool, &waiting.step.label);
        if let Some(known) = round.eligible.iter().find(|e| e.pool == *pool && e.label == *label) {
            return Rc::clone(&known.hosts);
        }
        let all = 0..self.hosts.len();
        let hosts: Rc<[usize]> = all.filter(|i| self.is_eligible(waiting, *i, now)).collect();
        let (pool, label) = (pool.clone(), label.clone());
        round.eligible.push(Eligible { pool, label, hosts: Rc::clone(&hosts) });
        hosts
    }

    /// Returns the workers on which tasks of a step may be placed now, apart from their capacity
    /// and reservations: those with a valid ticket if the step needs one.
    fn admitting(&self, waiting: &WaitingStep<'_>, round: &mut Round, now: Millis) -> Rc<[usize]> {
        if waiting.job.policy.advisor_timing.is_none() {
            return self.eligible(waiting, round, now);
        }
        let tickets = self.queries.tickets(&waiting.step_id).iter();
        let is_valid = |permission| matches!(permission, Permission::Allowed(..));
        let valid = tickets.filter(|t| is_valid(t.permission(self.record_delay, now)));
        valid.map(|t| t.host).filter(|i| self.is_eligible(waiting, *i, now)).collect()
    }

    fn place_gang(
        &mut self,
        waiting: &WaitingStep<'_>,
        replica: &Replica,
        round: &mut Round,
        now: Millis,
    ) {
        let count = waiting.state.tasks.len();
        if let Some(hosts) = self.gang_hosts(waiting, count, round, now) {
            let tasks: Vec<Task> = self.startable(replica, &waiting.step_id).collect();
            let number = 1 + waiting.state.tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
            for (task, host) in tasks.into_iter().zip(hosts) {
                self.add_run(waiting, Run { task, number }, host, round, now);
            }
            return;
        }
        let timing = waiting.job.policy.advisor_timing;
        let is_next = round.reserving < round.max_reserving;
        if is_next {
            self.reserve(waiting, count, round, now);
        }
        let Some(timing) = timing.filter(|_| round.query_budget > 0) else { return };
        if is_next || self.has_room(waiting, round, now) {
            self.ask(waiting, timing, count, round, now);
        }
    }

    /// Returns whether a gang would fit if the advisor allowed every eligible worker.
    fn has_room(&mut self, waiting: &WaitingStep<'_>, round: &mut Round, now: Millis) -> bool {
        let needs = counted(waiting.step);
        let count = waiting.state.tasks.len();
        if round.free.times_held(&needs) < u64::try_from(count).unwrap_or(u64::MAX) {
            return false;
        }
        let able = self.eligible(waiting, round, now);
        self.examine(&able);
        let open = able.iter().filter(|i| !round.is_reserved[**i]);
        let room: usize = open.map(|i| self.fits(waiting.step, *i, &needs)).sum();
        room >= count
    }

    /// Returns a worker for each task of a gang, or `None` if not all of them fit.
    fn gang_hosts(
        &mut self,
        waiting: &WaitingStep<'_>,
        count: usize,
        round: &mut Round,
        now: Millis,
    ) -> Option<Vec<usize>> {
        let needs = counted(waiting.step);
        if round.free.times_held(&needs) < u64::try_from(count).unwrap_or(u64::MAX) {
            return None;
        }
        let admitting = self.admitting(waiting, round, now);
        self.examine(&admitting);
        let open = admitting.iter().filter(|i| !round.is_reserved[**i]);
        let fits = open.map(|i| (self.fits(waiting.step, *i, &needs), *i));
        let mut open: Vec<(usize, usize)> = fits.filter(|(fits, _)| *fits > 0).collect();
        // Workers that hold the most members come first: a gang on few workers has its members
        // near each other.
        open.sort_unstable_by(|(fits, i), (other, j)| other.cmp(fits).then(i.cmp(j)));
        let members = open.into_iter().flat_map(|(fits, i)| std::iter::repeat_n(i, fits));
        let hosts: Vec<usize> = members.take(count).collect();
        (hosts.len() == count).then_some(hosts)
    }

    fn place_singles(
        &mut self,
        waiting: &WaitingStep<'_>,
        startable: usize,
        replica: &Replica,
        round: &mut Round,
        now: Millis,
    ) {
        let needs = counted(waiting.step);
        let hosts = self.single_hosts(waiting, &needs, round, now);
        let mut left = startable;
        if !hosts.is_empty() {
            let tasks: Vec<Task> = self.startable(replica, &waiting.step_id).collect();
            let mut tasks = tasks.into_iter().peekable();
            for i in hosts {
                let has_room = |owner: &Self| {
                    owner.hosts[i].free().holds(&needs) && owner.is_spread(waiting, &owner.hosts[i])
                };
                while let Some(task) = tasks.next_if(|_| has_room(self)) {
                    let number = self.last_run(waiting, &task) + 1;
                    self.add_run(waiting, Run { task, number }, i, round, now);
                    left -= 1;
                }
            }
        }
        if let Some(timing) = waiting.job.policy.advisor_timing.filter(|_| left > 0) {
            self.ask(waiting, timing, left, round, now);
        }
    }

    fn last_run(&self, waiting: &WaitingStep<'_>, task: &Task) -> u32 {
        let index = usize::try_from(task.index).unwrap_or(usize::MAX);
        waiting.state.tasks.get(index).map_or(0, |t| t.last_run)
    }

    /// Counts workers as examined.
    fn examine(&mut self, hosts: &[usize]) {
        self.effort.hosts += u64::try_from(hosts.len()).unwrap_or(u64::MAX);
    }

    /// Returns the workers with room for a task, the best fit first: those on the rack of its data,
    /// then those with the least free processor time. Tasks that fill spare processor time go where
    /// most is free.
    fn single_hosts(
        &mut self,
        waiting: &WaitingStep<'_>,
        needs: &Capacity,
        round: &mut Round,
        now: Millis,
    ) -> Vec<usize> {
        let admitting = self.admitting(waiting, round, now);
        self.examine(&admitting);
        let mut best: Vec<(bool, u64, usize)> = Vec::new();
        for i in admitting.iter().copied().filter(|i| !round.is_reserved[*i]) {
            let host = &self.hosts[i];
            let free = host.free();
            if !free.holds(needs) {
                continue;
            }
            let is_far = waiting.step.data_rack.as_deref().is_some_and(|r| !host.has_label(r));
            let rest = if waiting.step.fills { u64::MAX - free.cpu_milli } else { free.cpu_milli };
            best.push((is_far, rest, i));
        }
        best.sort_unstable();
        best.into_iter().map(|(_, _, i)| i).collect()
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

    fn add_run(
        &mut self,
        waiting: &WaitingStep<'_>,
        run: Run,
        i: usize,
        round: &mut Round,
        now: Millis,
    ) {
        let on = Arc::clone(&self.hosts[i].incarnation);
        let permission = self.queries.permission(&waiting.step_id, i, self.record_delay, now);
        let (ticket, valid_until) = match permission {
            Permission::Allowed(ticket, until) => (Some(ticket.into()), Some(until)),
            _ => (None, None),
        };
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
    fn reserve(&mut self, waiting: &WaitingStep<'_>, count: usize, round: &mut Round, now: Millis) {
        let needs = counted(waiting.step);
        let is_advised = waiting.job.policy.advisor_timing.is_some();
        // Whether a ticket is still valid doesn't matter: it can be renewed.
        let hosts: Rc<[usize]> = if is_advised {
            let tickets = self.queries.tickets(&waiting.step_id).iter().map(|t| t.host);
            tickets.filter(|i| self.is_eligible(waiting, *i, now)).collect()
        } else {
            self.eligible(waiting, round, now)
        };
        self.examine(&hosts);
        let mut able: Vec<(u64, usize, usize)> = Vec::new();
        for i in hosts.iter().copied().filter(|i| !round.is_reserved[*i]) {
            let host = &self.hosts[i];
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
        selected.into_iter().for_each(|i| round.is_reserved[i] = true);
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
        let needs = counted(waiting.step);
        let hosts = self.eligible(waiting, round, now);
        self.examine(&hosts);
        let (mut expired, mut valid, mut unknown) = (Vec::new(), Vec::new(), Vec::new());
        let (mut allowed_free, mut allowed_total, mut unasked_free) = (0_usize, 0_usize, 0_usize);
        for i in hosts.iter().copied() {
            let host = &self.hosts[i];
            let free = self.fits(waiting.step, i, &needs);
            let whole = host.entry.capacity.times_held(&needs);
            let whole = usize::try_from(whole).unwrap_or(usize::MAX);
            let entry = (free.min(count), host.free().cpu_milli, &*host.incarnation.worker);
            match self.queries.permission(&waiting.step_id, i, self.record_delay, now) {
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
    mut workers: Vec<(usize, u64, &str)>,
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
        named.push(worker.into());
    }
    named
}

/// Returns a step and its state; `None` if the replica has no such step.
pub(super) fn waiting(replica: &Replica, step_id: StepId) -> Option<WaitingStep<'_>> {
    let job = replica.job(step_id.job)?;
    let occurrence = job.occurrences.get(usize::try_from(step_id.occurrence).ok()?)?;
    let state = occurrence.steps.get(usize::from(step_id.step))?;
    let step = job.job.steps.get(usize::from(step_id.step))?;
    Some(WaitingStep { step_id, job: &job.job, step, state })
}
