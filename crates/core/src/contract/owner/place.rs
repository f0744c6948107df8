//! Placement: selects the waiting tasks to start and their workers.
//!
//! Steps are served by [`Rank`]: first the jobs that can still finish while their result has value,
//! then those that can still meet their objective, then by the queue's priority, then by the latest
//! first turn with which they will probably meet it. A few late steps whose results are about to lose
//! their value count as in time. Gangs hold or gather room on workers ([`super::gang`]), and steps of
//! lower rank are not placed there: small tasks would otherwise starve them.

use super::account::Accounts;
use super::advice::Permission;
use super::backlog::{Candidate, Rank};
use super::gang::{EXAMINED_PER_WORKER, GATHERED_PERCENT, MIN_GATHERING, scatter};
use super::haste::{Haste, SHUNNED};
use super::order::StopReason;
use super::wait::Turn;
use super::{Effect, Owner, Phase, Running, Usage};
use crate::clock::Millis;
use crate::contract::work::{AdvisorTiming, Id, Job, Step, StepId, Task};
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::state::StepState;
use crate::ledger::shard::{Entry, Incarnation, Run};
use crate::machine::capacity::Capacity;
use crate::machine::host::Host;
use crate::name::Name;
use std::cmp::Reverse;
use std::rc::Rc;
use std::sync::Arc;

/// Processor time that a pass may query for, in tenths of the free processor time. Above 10
/// because the advisor denies some of the workers.
const QUERY_FREE_TENTHS: u64 = 15;
/// Additional processor time that a pass may query for, in percent of the total, so that a fleet
/// without ends has some queries in flight.
const QUERY_TOTAL_PERCENT: u64 = 6;
/// Time ahead for which a pass queries for processor time that runs will release: a slow query, and
/// the time for which its tickets are then valid.
const QUERY_AHEAD: Millis = Millis(1500);
/// Number of workers that a search for workers to name considers for each that it names.
const SEARCHED_PER_NAMED: usize = 4;
/// Maximum number of starts in one placement pass; the next pass continues.
const MAX_STARTS: usize = 200;

/// A step with waiting tasks, and the data that its placement needs.
pub(super) struct WaitingStep<'a> {
    pub(super) step_id: StepId,
    pub(super) job: &'a Arc<Job>,
    pub(super) step: &'a Step,
    pub(super) state: &'a StepState,
    /// What it can't bear of a worker.
    pub(super) haste: Haste,
}

/// State of one placement pass.
#[derive(Default)]
pub(super) struct Round {
    /// Capacity of each worker that gangs of higher rank reserve.
    reserved: Vec<Capacity>,
    /// Processor time of all workers, in thousandths of a core.
    whole: u64,
    /// Capacity of all workers.
    capacity: Capacity,
    /// Number of gangs that gather room.
    gathering: usize,
    /// Number of workers that were examined for gangs, once for each gang.
    pub(super) examined: usize,
    /// Processor time, in thousandths of a core, that further gangs may gather.
    gather_budget: u64,
    /// The gang of the highest rank that had no turn because as many as may gather room.
    crowded: Option<Rank>,
    /// Processor time, in thousandths of a core, that this pass may still query for.
    query_budget: u64,
    /// Whether runs end, so that workers without room may have some soon.
    pub(super) expects_room: bool,
    /// The greatest amount of each resource that is free on any worker.
    roomiest: Capacity,
    /// Free capacity of all workers that is not reserved.
    room: Capacity,
    /// Indices of the workers that accept work, by pool and required label.
    eligible: Vec<Rc<Eligible>>,
    /// Teams of which a step of higher rank waits for the quota.
    teams_at_quota: Vec<Name>,
    /// Workers that execute suspected tasks, each with a job of such a task.
    pub(super) suspects: Vec<(usize, Id)>,
    /// Runs to record as started, grouped by worker.
    starts: Vec<(Arc<Incarnation>, Vec<Run>)>,
    /// Number of runs in `starts`.
    count: usize,
}

impl Round {
    /// Returns the free capacity of a worker that no gang of higher rank reserves.
    pub(super) fn room(&self, i: usize, host: &Host) -> Capacity {
        host.free().saturating_sub(&self.reserved[i])
    }

    /// Returns whether gangs of higher rank reserve capacity of a worker.
    pub(super) fn is_reserved(&self, i: usize) -> bool {
        self.reserved[i] != Capacity::ZERO
    }

    /// Returns whether one more gang may gather room.
    pub(super) const fn may_gather(&self) -> bool {
        let may_examine = self.examined < self.reserved.len() * EXAMINED_PER_WORKER;
        self.gathering < MIN_GATHERING || may_examine && self.gather_budget > 0
    }

    /// Returns why a gang that can't start has no turn.
    pub(super) const fn without_turn(&self) -> Turn {
        if self.may_gather() { Turn::PassedOver } else { Turn::Crowded }
    }

    /// Counts a gang with `count` members that gathers room.
    pub(super) fn gather(&mut self, needs: &Capacity, count: usize) {
        self.gathering += 1;
        let wanted = needs.cpu_milli.saturating_mul(u64::try_from(count).unwrap_or(u64::MAX));
        self.gather_budget = self.gather_budget.saturating_sub(wanted);
    }

    /// Keeps capacity of a worker free of steps of lower rank.
    pub(super) fn reserve(&mut self, i: usize, host: &Host, capacity: &Capacity) {
        let before = self.room(i, host);
        self.reserved[i] = self.reserved[i].plus(capacity);
        let taken = before.saturating_sub(&self.room(i, host));
        self.room = self.room.saturating_sub(&taken);
    }

    /// Takes the needs of `count` tasks, each in thousandths of a core, from the processor time to
    /// query for.
    pub(super) fn take_query_budget(&mut self, cpu_milli: u64, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        let wanted = cpu_milli.saturating_mul(count);
        self.query_budget = self.query_budget.saturating_sub(wanted);
    }

    /// Returns whether processor time to query for is left.
    pub(super) const fn has_query_budget(&self) -> bool {
        self.query_budget > 0
    }
}

/// The workers that accept work of a pool's steps that require a label.
pub(super) struct Eligible {
    pool: Box<str>,
    label: Option<Box<str>>,
    /// Indices in `Owner::hosts`.
    pub(super) hosts: Vec<usize>,
    /// For each of `Owner::hosts`, whether `hosts` has it.
    pub(super) includes: Vec<bool>,
}

impl Owner {
    /// Runs a placement pass over the waiting steps that may get a worker or a ticket, in the order
    /// of [`Rank`](super::backlog::Rank).
    pub(super) fn place(&mut self, replica: &Replica, now: Millis) {
        self.queries.expire(now);
        self.update_backlog(replica);
        self.compare_speeds(now);
        let mut round = self.round(now);
        if !self.accounts.is_empty() {
            self.accounts.begin_pass();
            self.accounts.update_shares(&round.capacity, self.backlog.waiting_teams());
        }
        for rank in self.backlog.ranks(round.whole, &self.accounts, &self.overruns, now) {
            if round.count >= MAX_STARTS {
                self.is_dirty = true;
                break;
            }
            let candidate = self.backlog.candidate(rank.at);
            let (is_gang, startable) = (candidate.is_gang, candidate.startable);
            if is_gang && startable < candidate.tasks {
                self.stop_gang(&rank.step_id, now);
                continue;
            }
            let Some(startable) = within_quota(&mut self.accounts, candidate, &mut round, now)
            else {
                self.effort.over_quota += 1;
                if is_gang {
                    self.note_turn(rank, round.without_turn(), &mut round, now);
                }
                continue;
            };
            if self.is_hopeless(candidate, &round) {
                if is_gang {
                    self.note_turn(rank, round.without_turn(), &mut round, now);
                }
                continue;
            }
            // A gang that may gather room keeps it anew in each pass.
            let may_wait = candidate.is_advised && !(is_gang && round.may_gather());
            if may_wait && self.queries.is_stuck(&rank.step_id, &self.hosts, now) {
                if is_gang {
                    self.note_turn(rank, round.without_turn(), &mut round, now);
                } else {
                    round.take_query_budget(candidate.needs.cpu_milli, startable);
                }
                continue;
            }
            let Some(mut waiting) = waiting(replica, rank.step_id) else { continue };
            waiting.haste = self.haste(&waiting, replica, now);
            self.effort.steps += 1;
            let before = round.count;
            if is_gang {
                let turn = self.place_gang(&waiting, replica, &mut round, now);
                self.note_turn(rank, turn, &mut round, now);
            } else {
                self.place_singles(&waiting, startable, replica, &mut round, now);
                if round.crowded.is_some_and(|gang| gang.is_more_urgent(&rank)) {
                    let started = round.count - before;
                    self.effort.overtaking += u64::try_from(started).unwrap_or(u64::MAX);
                }
            }
            let is_stuck = round.count == before;
            self.queries.examined(&rank.step_id, is_stuck, self.releases, now);
            if !is_stuck {
                self.update_room(&mut round, now);
            }
        }
        self.usage = self.measure(&round, now);
        for (on, runs) in round.starts {
            let on = (*on).clone();
            self.effects.push(Effect::Record(Entry::Started { on, runs }));
        }
    }

    fn note_turn(&mut self, rank: Rank, turn: Turn, round: &mut Round, now: Millis) {
        if turn == Turn::Crowded {
            round.crowded.get_or_insert(rank);
        }
        self.waited.extend(self.backlog.note_turn(rank.at, turn, &self.overruns, now));
    }

    fn round(&mut self, now: Millis) -> Round {
        let reserved = vec![Capacity::ZERO; self.hosts.len()];
        let mut round = Round { reserved, ..Round::default() };
        let hosts = self.hosts.iter().filter(|h| h.takes_work(now));
        let capacity = hosts.fold(Capacity::ZERO, |sum, h| sum.plus(&h.entry.capacity));
        let whole = capacity.cpu_milli;
        self.update_room(&mut round, now);
        let free = round.room.cpu_milli;
        let released = self.turnover.expected(QUERY_AHEAD, now).min(whole);
        round.expects_room = released > 0;
        round.suspects = self.suspect_hosts();
        (round.whole, round.capacity) = (whole, capacity);
        round.gather_budget = whole * GATHERED_PERCENT / 100;
        round.query_budget =
            free * QUERY_FREE_TENTHS / 10 + released.max(whole * QUERY_TOTAL_PERCENT / 100);
        round
    }

    fn measure(&self, round: &Round, now: Millis) -> Usage {
        let mut usage = Usage::default();
        for (i, host) in self.hosts.iter().enumerate().filter(|(_, h)| h.takes_work(now)) {
            usage.total += host.entry.capacity.cpu_milli;
            usage.used += host.used.cpu_milli;
            usage.held += host.free().cpu_milli - round.room(i, host).cpu_milli;
        }
        usage
    }

    fn update_room(&self, round: &mut Round, now: Millis) {
        (round.roomiest, round.room) = (Capacity::ZERO, Capacity::ZERO);
        for (i, host) in self.hosts.iter().enumerate().filter(|(_, h)| h.takes_work(now)) {
            let room = round.room(i, host);
            round.roomiest = round.roomiest.greatest(&room);
            round.room = round.room.plus(&room);
        }
    }

    /// Returns whether this pass can neither start tasks of a step nor reserve workers or query the
    /// advisor for it.
    fn is_hopeless(&self, candidate: &Candidate, round: &Round) -> bool {
        let Candidate { step_id, startable, tasks, needs, is_gang, is_advised, .. } = candidate;
        let can_gain = if *is_gang {
            let has_room =
                round.room.times_held(needs) >= u64::try_from(*tasks).unwrap_or(u64::MAX);
            has_room || round.may_gather()
        } else {
            let may_ask = *is_advised && round.expects_room && round.has_query_budget();
            *startable > 0 && (may_ask || round.roomiest.holds(needs))
        };
        let lacks_advice =
            *is_advised && round.query_budget == 0 && self.queries.tickets(step_id).is_empty();
        !can_gain || lacks_advice
    }

    /// Returns the workers that accept tasks of a step.
    pub(super) fn eligible(
        &self,
        waiting: &WaitingStep<'_>,
        round: &mut Round,
        now: Millis,
    ) -> Rc<Eligible> {
        let (pool, label) = (&waiting.job.policy.pool, &waiting.step.label);
        if let Some(known) = round.eligible.iter().find(|e| e.pool == *pool && e.label == *label) {
            return Rc::clone(known);
        }
        let hosts = 0..self.hosts.len();
        let includes: Vec<bool> =
            hosts.map(|i| self.hosts[i].accepts(waiting.job, waiting.step, now)).collect();
        let hosts = (0..).zip(&includes).filter(|(_, includes)| **includes);
        let hosts = hosts.map(|(i, _)| i).collect();
        let (pool, label) = (pool.clone(), label.clone());
        let eligible = Rc::new(Eligible { pool, label, hosts, includes });
        round.eligible.push(Rc::clone(&eligible));
        eligible
    }

    /// Returns the workers on which tasks of a step may be placed now, apart from their capacity:
    /// only those with a valid ticket if the step needs one.
    fn admitting(&self, waiting: &WaitingStep<'_>, round: &mut Round, now: Millis) -> Vec<usize> {
        let eligible = self.eligible(waiting, round, now);
        if waiting.job.policy.advisor_timing.is_none() {
            return eligible.hosts.clone();
        }
        let is_valid = |permission| matches!(permission, Permission::Allowed(..));
        let tickets = self.queries.tickets(&waiting.step_id).iter();
        let open = tickets.filter(|t| eligible.includes[t.host]);
        let valid = open.filter(|t| is_valid(t.permission(self.record_delay, now)));
        valid.map(|t| t.host).collect()
    }

    fn place_singles(
        &mut self,
        waiting: &WaitingStep<'_>,
        startable: usize,
        replica: &Replica,
        round: &mut Round,
        now: Millis,
    ) {
        let needs = waiting.step.counted_needs();
        let hosts = self.single_hosts(waiting, &needs, round, now);
        let mut left = startable;
        if !hosts.is_empty() {
            let tasks: Vec<Task> = self.startable(replica, &waiting.step_id).collect();
            let mut tasks = tasks.into_iter().take(startable).peekable();
            for i in hosts {
                let has_room = |owner: &Self, round: &Round| {
                    let host = &owner.hosts[i];
                    round.room(i, host).holds(&needs)
                        && owner.is_spread(waiting, host)
                        && owner.keeps_suspects_apart(waiting, i, round)
                };
                while let Some(task) = tasks.next_if(|_| has_room(self, round)) {
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
    pub(super) fn examine(&mut self, hosts: &[usize]) {
        self.effort.hosts += u64::try_from(hosts.len()).unwrap_or(u64::MAX);
    }

    /// Returns the workers with room for a task, the best first: those that it does not shun, on the rack
    /// of its data, of the best [grade](Self::grade), then those with the least free processor time. Tasks that fill spare processor time go where
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
        let mut best: Vec<((bool, bool, u64), u64, usize)> = Vec::new();
        for i in admitting {
            let host = &self.hosts[i];
            let free = round.room(i, host);
            if !free.holds(needs) {
                continue;
            }
            let is_far = waiting.step.data_rack.as_deref().is_some_and(|r| !host.has_label(r));
            let rest = if waiting.step.fills { u64::MAX - free.cpu_milli } else { free.cpu_milli };
            let grade = self.grade(waiting.haste, i, now);
            best.push(((grade == SHUNNED, is_far, grade), rest, i));
        }
        best.sort_unstable();
        best.into_iter().map(|(_, _, i)| i).collect()
    }

    /// Returns how many tasks of a step fit into `room` on one worker.
    pub(super) fn fits(step: &Step, room: &Capacity) -> usize {
        let needs = step.counted_needs();
        if !room.holds(&needs) {
            return 0;
        }
        let fits = usize::try_from(room.times_held(&needs)).unwrap_or(usize::MAX);
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

    pub(super) fn add_run(
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
            team: waiting.job.policy.team.clone(),
            needs: waiting.step.counted_needs(),
            phase: Phase::Recording,
            ticket,
            valid_until: valid_until.unwrap_or(Millis::MAX),
            stop_requested: false,
            reason: StopReason::Stray,
            stopping_since: None,
            placed_at: Some(now),
            progress: (0, now),
            has_begun: false,
            has_open_order: false,
            is_accounted: false,
            timed: None,
        });
        if self.is_suspect(&run.task) {
            round.suspects.push((i, run.task.step_id.job));
        }
        round.count += 1;
        match round.starts.iter_mut().find(|(incarnation, _)| *incarnation == on) {
            Some((_, runs)) => runs.push(run),
            None => round.starts.push((on, vec![run])),
        }
    }

    /// Queries the advisor about workers for `count` single tasks if the answer can lead to a
    /// placement.
    ///
    /// Workers without room are named too, after those with room: their runs end while the tickets
    /// are valid. Tickets that have expired are renewed first, if their workers have room or the
    /// valid ones are for too few workers. Workers not asked about before are named if the allowed
    /// ones can't hold all tasks even when empty, or if others have room and they have none, or if
    /// the others have at least twice the room needed.
    fn ask(
        &mut self,
        waiting: &WaitingStep<'_>,
        timing: AdvisorTiming,
        count: usize,
        round: &mut Round,
        now: Millis,
    ) {
        let had_budget = round.has_query_budget();
        // A step with tickets will take room that no other step needs to query for.
        round.take_query_budget(waiting.step.needs.cpu_milli, count);
        if !had_budget || !self.queries.may_ask(&waiting.step_id, now) {
            return;
        }
        let plan = self.queries.plan(&waiting.job.policy.queue, timing, now);
        let Allowance { expired, free, whole, valid } = self.allowance(waiting, count, round, now);
        let workers = if expired.iter().any(|worker| worker.fits > 0)
            || (!expired.is_empty() && valid < count)
        {
            select_workers(expired, count, |needed| needed)
        } else if self.queries.may_explore(&waiting.step_id, now) {
            let hosts = &self.eligible(waiting, round, now).hosts;
            let most = SEARCHED_PER_NAMED * plan.named(count);
            self.examine(&hosts[..most.min(hosts.len())]);
            let unknown = self.unasked(waiting, hosts, (count, most), round, now);
            let room: usize = unknown.iter().map(|worker| worker.fits).sum();
            let is_full = free == 0 && room > 0;
            if unknown.is_empty() || whole >= count && !is_full && room < count * 2 {
                return self.queries.explored(&waiting.step_id, now);
            }
            select_workers(unknown, count, |needed| plan.named(needed))
        } else {
            return;
        };
        self.send_queries(waiting.step_id, &plan, &workers, now);
    }

    /// Returns what the workers that the advisor allows can hold of a step with `count` tasks.
    fn allowance(
        &self,
        waiting: &WaitingStep<'_>,
        count: usize,
        round: &mut Round,
        now: Millis,
    ) -> Allowance<'_> {
        let eligible = self.eligible(waiting, round, now);
        let mut allowance = Allowance::default();
        let tickets = self.queries.tickets(&waiting.step_id).iter();
        for ticket in tickets.filter(|t| eligible.includes[t.host]) {
            let host = &self.hosts[ticket.host];
            let whole = Self::fits(waiting.step, &host.entry.capacity);
            let free = Self::fits(waiting.step, &round.room(ticket.host, host));
            allowance.free += free;
            allowance.whole += whole;
            let permission = ticket.permission(self.record_delay, now);
            if matches!(permission, Permission::Allowed(..)) {
                allowance.valid += whole;
            } else {
                let candidate = self.candidate_worker(waiting, ticket.host, count, round, now);
                allowance.expired.extend(candidate);
            }
        }
        allowance
    }

    /// Returns up to `most` of `hosts` that the advisor was not asked about for a step with `count`
    /// tasks, as [`select_workers`] takes them. The search begins at another worker for each step.
    fn unasked(
        &self,
        waiting: &WaitingStep<'_>,
        hosts: &[usize],
        (count, most): (usize, usize),
        round: &Round,
        now: Millis,
    ) -> Vec<Nominee<'_>> {
        let length = u64::try_from(hosts.len()).unwrap_or(u64::MAX).max(1);
        let start = usize::try_from(scatter(&waiting.step_id, 0) % length).unwrap_or(0);
        let (before, after) = hosts.split_at(start.min(hosts.len()));
        let said =
            |hosts| self.queries.permissions(&waiting.step_id, hosts, self.record_delay, now);
        let said = said(after).chain(said(before));
        let unknown = said.filter(|(_, permission)| *permission == Permission::Unknown);
        let worker = |(i, _)| self.candidate_worker(waiting, i, count, round, now);
        unknown.filter_map(worker).take(most).collect()
    }

    /// Returns a worker on which `fits` tasks of a step fit, as [`select_workers`] takes it.
    pub(super) fn nominee(
        &self,
        waiting: &WaitingStep<'_>,
        i: usize,
        fits: usize,
        now: Millis,
    ) -> Nominee<'_> {
        let grade = self.grade(waiting.haste, i, now);
        let (is_fit, key) = (fits > 0 && grade != SHUNNED, scatter(&waiting.step_id, i));
        let worker = &*self.hosts[i].incarnation.worker;
        Nominee { is_fit, grade: Reverse(grade), fits, key, worker }
    }

    /// Returns a worker as [`select_workers`] takes it, or `None` if it has no room and can't be
    /// expected to have some soon: it is too small, gangs of higher rank keep it, or no runs end.
    fn candidate_worker(
        &self,
        waiting: &WaitingStep<'_>,
        i: usize,
        count: usize,
        round: &Round,
        now: Millis,
    ) -> Option<Nominee<'_>> {
        let host = &self.hosts[i];
        let free = Self::fits(waiting.step, &round.room(i, host)).min(count);
        let is_able = free > 0
            || round.expects_room
                && !round.is_reserved(i)
                && Self::fits(waiting.step, &host.entry.capacity) > 0;
        is_able.then(|| self.nominee(waiting, i, free, now))
    }
}

/// Returns how many of a step's startable tasks the quota of its team lets start now, or `None` if the
/// step has no turn. A step of which not even one task, or not the whole gang, has room in the quota
/// keeps the rest free of the team's steps of lower rank, as long as [`Accounts::keeps_quota`] says.
fn within_quota(
    accounts: &mut Accounts,
    candidate: &Candidate,
    round: &mut Round,
    now: Millis,
) -> Option<usize> {
    let Candidate { startable, tasks, needs, is_gang, .. } = candidate;
    let Some(team) = candidate.team() else { return Some(*startable) };
    if round.teams_at_quota.contains(team) {
        return None;
    }
    let together = if *is_gang { *tasks } else { 1 };
    let headroom = accounts.headroom(Some(team), needs);
    if headroom >= together {
        return Some(headroom.min(*startable));
    }
    let whole = needs.times(u64::try_from(together).unwrap_or(u64::MAX));
    if accounts.may_ever_run(Some(team), &whole) && accounts.keeps_quota(team, now) {
        round.teams_at_quota.push(team.clone());
    }
    None
}

/// A worker that a query may name. The greatest are named first: those with room, of the best grade, with
/// the most room.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Nominee<'a> {
    /// Whether it has room and the step does not shun it.
    is_fit: bool,
    grade: Reverse<u64>,
    /// Number of tasks that fit.
    fits: usize,
    /// Orders workers with the same room.
    key: u64,
    worker: &'a str,
}

/// What the workers that the advisor allows can hold of a step.
#[derive(Default)]
struct Allowance<'a> {
    /// Workers whose tickets have expired, as [`select_workers`] takes them.
    expired: Vec<Nominee<'a>>,
    /// Number of tasks that fit now.
    free: usize,
    /// Number of tasks that fit while nothing else runs.
    whole: usize,
    /// The part of `whole` on workers with valid tickets.
    valid: usize,
}

/// Returns the workers to name in a round of queries, the greatest first. `named` is
/// given how many of them `count` tasks need, and returns how many to name.
pub(super) fn select_workers(
    mut workers: Vec<Nominee<'_>>,
    count: usize,
    named: impl Fn(usize) -> usize,
) -> Vec<Box<str>> {
    workers.sort_by(|a, b| b.cmp(a));
    let mut left = count;
    let has_need = |nominee: &&Nominee<'_>| {
        let needs_more = left > 0;
        left = left.saturating_sub(nominee.fits.max(1));
        needs_more
    };
    let needed = workers.iter().take_while(has_need).count();
    workers.iter().take(named(needed)).map(|nominee| nominee.worker.into()).collect()
}

/// Returns a step and its state; `None` if the replica has no such step.
pub(super) fn waiting(replica: &Replica, step_id: StepId) -> Option<WaitingStep<'_>> {
    let job = replica.job(step_id.job)?;
    let occurrence = job.occurrences.get(usize::try_from(step_id.occurrence).ok()?)?;
    let state = occurrence.steps.get(usize::from(step_id.step))?;
    let step = job.job.steps.get(usize::from(step_id.step))?;
    Some(WaitingStep { step_id, job: &job.job, step, state, haste: Haste::default() })
}
