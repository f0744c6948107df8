//! Placement: which waiting tasks start now, and where.
//!
//! Steps go by rank: jobs that can still earn something before those that can't, then by the
//! queue's priority, then by how little time is left. A gang that does not fit at its turn keeps
//! room on the workers where it will: lower ranks leave these alone, or it would wait for ever
//! behind small tasks.

use super::advice::Standing;
use super::order::Why;
use super::{Effect, Owner, Phase, Running};
use crate::clock::Millis;
use crate::contract::work::{Advised, Job, Stage, Step, Task};
use crate::ledger::shard::book::Book;
use crate::ledger::shard::state::StepState;
use crate::ledger::shard::{Entry, Life, Run};
use crate::machine::capacity::Capacity;
use crate::machine::host::Host;
use std::sync::Arc;

/// A job is worth nothing after this multiple of its objective.
const LATE_FACTOR: u64 = 3;
/// Workers that a question names for each one that the step needs, in tenths.
const SPARE_TENTHS: u64 = 35;
/// Fewest workers that a question names.
const MIN_NAMED: u64 = 6;
/// Room that questions may be asked for at the same time, in tenths of what is free: not every
/// worker is allowed.
const ASK_FREE_TENTHS: u64 = 15;
/// Further room that questions may be asked for, in hundredths of all: it becomes free meanwhile.
const ASK_WHOLE_PERCENT: u64 = 6;
/// Gangs that may keep room free at the same time while room is scarce.
const MAX_RESERVING: usize = 2;
/// The same while there is plenty: then gangs wait for tickets rather than for room.
const MAX_RESERVING_IDLE: usize = 8;
/// Share of the room that is free, in tenths, from which on there is plenty.
const PLENTY_TENTHS: u64 = 4;
/// Most starts of one placement: the rest follows with the next tick.
const MAX_STARTS: usize = 200;

/// Rank of a waiting step; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_hopeless: bool,
    is_late: bool,
    priority: u32,
    latest_start: Millis,
    stage: Stage,
}

/// One step that waits, with all that placement needs to know.
struct Waiting<'a> {
    stage: Stage,
    job: &'a Arc<Job>,
    step: &'a Step,
    state: &'a StepState,
}

/// Where tasks would go: positions in the list of workers, with the ticket.
type Spot = (usize, Option<(Box<str>, Millis)>);

/// What one placement has decided so far.
#[derive(Default)]
struct Round {
    /// Positions of workers that a higher rank keeps, sorted.
    reserved: Vec<usize>,
    reserving: usize,
    max_reserving: usize,
    /// Processor time, in thousandths of a core, that questions may still be asked for.
    askable: u64,
    /// Greatest free processor time of a worker.
    widest: u64,
    /// Runs to record, by worker.
    starts: Vec<(Arc<Life>, Vec<Run>)>,
    count: usize,
}

/// Returns what of a task's needs counts against a worker's capacity.
pub(super) const fn counted(step: &Step) -> Capacity {
    if step.fills { Capacity { cpu_milli: 0, ..step.needs } } else { step.needs }
}

impl Owner {
    /// Places what can be placed.
    pub(super) fn place(&mut self, book: &Book, now: Millis) {
        self.desk.expire(now);
        let mut ranks: Vec<Rank> =
            book.open().iter().filter_map(|stage| rank(book, *stage, now)).collect();
        ranks.sort_unstable();
        let mut round = self.round(now);
        for rank in ranks {
            if round.count >= MAX_STARTS {
                self.is_dirty = true;
                break;
            }
            let Some(waiting) = waiting(book, rank.stage) else { continue };
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
        let (mut free, mut whole, mut widest) = (0, 0, 0);
        for host in self.hosts.iter().filter(|h| h.takes_work(now)) {
            let room = host.free().cpu_milli;
            free += room;
            whole += host.listed.capacity.cpu_milli;
            widest = widest.max(room);
        }
        let askable = free * ASK_FREE_TENTHS / 10 + whole * ASK_WHOLE_PERCENT / 100;
        let is_idle = free * 10 >= whole * PLENTY_TENTHS;
        let max_reserving = if is_idle { MAX_RESERVING_IDLE } else { MAX_RESERVING };
        Round { askable, widest, max_reserving, ..Round::default() }
    }

    fn place_gang(&mut self, waiting: &Waiting<'_>, round: &mut Round, now: Millis) {
        let tasks = self.idle_tasks(waiting);
        if tasks.len() != waiting.state.tasks.len() {
            return;
        }
        let spots = self.gang_spots(waiting, tasks.len(), round, now);
        if let Some(spots) = spots {
            let number = 1 + waiting.state.tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
            for (task, spot) in tasks.iter().zip(spots) {
                self.plan(waiting, Run { task: *task, number }, spot, round, now);
            }
            return;
        }
        let advised = waiting.job.policy.advised;
        let is_next = round.reserving < round.max_reserving;
        if is_next {
            self.reserve(waiting, tasks.len(), round, now);
        }
        if let Some(advised) = advised.filter(|_| is_next || self.has_room(waiting, round, now)) {
            self.ask(waiting, advised, tasks.len(), round, now);
        }
    }

    /// Returns whether a gang would fit if every worker with room were allowed.
    fn has_room(&self, waiting: &Waiting<'_>, round: &Round, now: Millis) -> bool {
        let needs = counted(waiting.step);
        let is_open = |i: &usize| round.reserved.binary_search(i).is_err();
        let able = (0..self.hosts.len()).filter(|i| is_open(i) && self.suits(waiting, *i, now));
        let room: usize = able.map(|i| self.fits(waiting.step, i, &needs)).sum();
        room >= waiting.state.tasks.len()
    }

    /// Returns a spot for each task of a gang, `None` if not all fit.
    fn gang_spots(
        &self,
        waiting: &Waiting<'_>,
        count: usize,
        round: &Round,
        now: Millis,
    ) -> Option<Vec<Spot>> {
        let needs = counted(waiting.step);
        let mut open: Vec<(usize, Spot)> = Vec::new();
        for i in 0..self.hosts.len() {
            if let Some(ticket) = self.admits(waiting, i, round, now) {
                let fits = self.fits(waiting.step, i, &needs);
                if fits > 0 {
                    open.push((fits, (i, ticket)));
                }
            }
        }
        // The fullest use of few workers keeps the members near each other.
        open.sort_by(|(fits, (i, _)), (other, (j, _))| other.cmp(fits).then(i.cmp(j)));
        let mut spots = Vec::with_capacity(count);
        for (fits, spot) in open {
            for _ in 0..fits {
                if spots.len() < count {
                    spots.push(spot.clone());
                }
            }
        }
        (spots.len() == count).then_some(spots)
    }

    fn place_singles(&mut self, waiting: &Waiting<'_>, round: &mut Round, now: Millis) {
        let needs = counted(waiting.step);
        if needs.cpu_milli > round.widest {
            return;
        }
        let tasks = self.idle_tasks(waiting);
        let mut left = tasks.len();
        for task in &tasks {
            let Some(spot) = self.single_spot(waiting, &needs, round, now) else { break };
            let last = self.last_run(waiting, task);
            self.plan(waiting, Run { task: *task, number: last + 1 }, spot, round, now);
            left -= 1;
        }
        if let Some(advised) = waiting.job.policy.advised.filter(|_| left > 0) {
            self.ask(waiting, advised, left, round, now);
        }
    }

    fn last_run(&self, waiting: &Waiting<'_>, task: &Task) -> u32 {
        let index = usize::try_from(task.index).unwrap_or(usize::MAX);
        waiting.state.tasks.get(index).map_or(0, |t| t.last_run)
    }

    /// Returns the worker on which a task leaves the least idle, preferring the rack of its data.
    fn single_spot(
        &self,
        waiting: &Waiting<'_>,
        needs: &Capacity,
        round: &Round,
        now: Millis,
    ) -> Option<Spot> {
        let mut best: Option<((bool, u64), Spot)> = None;
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
        best.map(|(_, spot)| spot)
    }

    /// Returns whether a worker may run the step now, with the ticket if one is needed.
    #[expect(clippy::option_option, reason = "a worker may be admitted without a ticket")]
    fn admits(
        &self,
        waiting: &Waiting<'_>,
        i: usize,
        round: &Round,
        now: Millis,
    ) -> Option<Option<(Box<str>, Millis)>> {
        if !self.suits(waiting, i, now) || round.reserved.binary_search(&i).is_ok() {
            return None;
        }
        if waiting.job.policy.advised.is_none() {
            return Some(None);
        }
        match self.desk.standing(&waiting.stage, &self.hosts[i].life.worker, self.lead, now) {
            Standing::Allowed(ticket, until) => Some(Some((ticket, until))),
            _ => None,
        }
    }

    /// Returns whether a worker is of the right pool and kind and takes work.
    fn suits(&self, waiting: &Waiting<'_>, i: usize, now: Millis) -> bool {
        let host = &self.hosts[i];
        host.takes_work(now)
            && host.listed.pool == waiting.job.policy.pool
            && waiting.step.label.as_deref().is_none_or(|l| host.has_label(l))
    }

    /// Returns how many tasks of a step fit on a worker now.
    fn fits(&self, step: &Step, i: usize, needs: &Capacity) -> usize {
        let fits = usize::try_from(self.hosts[i].free().times_held(needs)).unwrap_or(usize::MAX);
        let spread = usize::try_from(step.spread).unwrap_or(usize::MAX);
        let limit = if spread == 0 { usize::MAX } else { spread };
        fits.min(limit).min(usize::try_from(step.count).unwrap_or(usize::MAX))
    }

    /// Returns whether one more task of the step may run on a worker.
    fn is_spread(&self, waiting: &Waiting<'_>, host: &Host) -> bool {
        let spread = usize::try_from(waiting.step.spread).unwrap_or(usize::MAX);
        if spread == 0 {
            return true;
        }
        let from = self.runs.partition_point(|r| r.run.task.stage < waiting.stage);
        let of_step = self.runs[from..].iter().take_while(|r| r.run.task.stage == waiting.stage);
        of_step.filter(|r| r.on.worker == host.life.worker).count() < spread
    }

    /// Returns the tasks of a step that could be started.
    fn idle_tasks(&self, waiting: &Waiting<'_>) -> Vec<Task> {
        let stage = waiting.stage;
        (0..)
            .zip(&waiting.state.tasks)
            .filter(|(_, t)| t.is_waiting())
            .map(|(index, _)| Task { stage, index })
            .filter(|task| !self.is_running(task))
            .collect()
    }

    fn plan(
        &mut self,
        waiting: &Waiting<'_>,
        run: Run,
        (i, ticket): Spot,
        round: &mut Round,
        now: Millis,
    ) {
        let on = Arc::clone(&self.hosts[i].life);
        let (ticket, valid_until) = ticket.unzip();
        self.insert(Running {
            run,
            on: Arc::clone(&on),
            needs: counted(waiting.step),
            phase: Phase::Recording,
            ticket,
            valid_until: valid_until.unwrap_or(Millis::MAX),
            doomed: false,
            why: Why::Stray,
            progress: (0, now),
        });
        round.count += 1;
        match round.starts.iter_mut().find(|(life, _)| *life == on) {
            Some((_, runs)) => runs.push(run),
            None => round.starts.push((on, vec![run])),
        }
    }

    /// Keeps the workers on which a gang will fit soonest.
    fn reserve(&self, waiting: &Waiting<'_>, count: usize, round: &mut Round, now: Millis) {
        let needs = counted(waiting.step);
        let is_advised = waiting.job.policy.advised.is_some();
        let mut able: Vec<(u64, usize, usize)> = Vec::new();
        for i in 0..self.hosts.len() {
            if !self.suits(waiting, i, now) || round.reserved.binary_search(&i).is_ok() {
                continue;
            }
            let host = &self.hosts[i];
            let standing = self.desk.standing(&waiting.stage, &host.life.worker, self.lead, now);
            if is_advised && !matches!(standing, Standing::Allowed(..) | Standing::Expired) {
                continue;
            }
            let fits = host.listed.capacity.times_held(&needs);
            let fits = usize::try_from(fits).unwrap_or(usize::MAX);
            if fits > 0 {
                able.push((host.used.cpu_milli, i, fits));
            }
        }
        able.sort_unstable();
        let mut kept = Vec::new();
        let mut room = 0_usize;
        for (_, i, fits) in able {
            if room >= count {
                break;
            }
            room = room.saturating_add(fits);
            kept.push(i);
        }
        if room < count {
            return;
        }
        round.reserving += 1;
        for i in kept {
            if let Err(at) = round.reserved.binary_search(&i) {
                round.reserved.insert(at, i);
            }
        }
    }

    /// Asks the advisor about workers for `count` tasks, if an answer would help now.
    fn ask(
        &mut self,
        waiting: &Waiting<'_>,
        advised: Advised,
        count: usize,
        round: &mut Round,
        now: Millis,
    ) {
        let wanted = waiting.step.needs.cpu_milli * u64::try_from(count).unwrap_or(u64::MAX);
        if round.askable == 0 {
            return;
        }
        round.askable = round.askable.saturating_sub(wanted);
        if !self.desk.may_ask(&waiting.stage, now) {
            return;
        }
        let needs = counted(waiting.step);
        let (mut expired, mut valid, mut unknown) = (Vec::new(), Vec::new(), Vec::new());
        let (mut room, mut able, mut hidden) = (0_usize, 0_usize, 0_usize);
        for i in 0..self.hosts.len() {
            if !self.suits(waiting, i, now) {
                continue;
            }
            let host = &self.hosts[i];
            let free = self.fits(waiting.step, i, &needs);
            let whole = host.listed.capacity.times_held(&needs);
            let whole = usize::try_from(whole).unwrap_or(usize::MAX);
            let entry = (free.min(count), host.free().cpu_milli, host.life.worker.clone());
            match self.desk.standing(&waiting.stage, &host.life.worker, self.lead, now) {
                Standing::Unknown if free > 0 || (whole > 0 && waiting.step.gang) => {
                    hidden += free;
                    unknown.push(entry);
                }
                Standing::Expired if whole > 0 => {
                    able += whole;
                    if free > 0 {
                        room += free;
                        expired.push(entry);
                    }
                }
                Standing::Allowed(..) => {
                    able += whole;
                    room += free;
                    if free > 0 {
                        valid.push(entry);
                    }
                }
                _ => {}
            }
        }
        let workers = if !expired.is_empty() && (!waiting.step.gang || room >= count) {
            if waiting.step.gang {
                // Tickets of a gang must be valid together: all are renewed when one has expired.
                expired.append(&mut valid);
            }
            chosen(expired, count, 10, 0)
        } else if able < count || (room == 0 && !waiting.step.gang) || hidden >= count * 2 {
            let share = self.desk.share(&waiting.job.policy.queue);
            chosen(unknown, count, SPARE_TENTHS * 1000 / share, MIN_NAMED)
        } else {
            return;
        };
        if workers.is_empty() {
            return;
        }
        if let Some(question) = self.desk.ask(waiting.stage, advised, workers, now) {
            self.effects.push(Effect::Ask(question));
        }
    }
}

/// Returns the workers with most room, enough for `count` tasks times `spare` tenths, and at least
/// `least`.
fn chosen(
    mut workers: Vec<(usize, u64, Box<str>)>,
    count: usize,
    spare: u64,
    least: u64,
) -> Vec<Box<str>> {
    workers.sort_by(|a, b| b.cmp(a));
    let wanted = u64::try_from(count).unwrap_or(u64::MAX).saturating_mul(spare) / 10;
    let (mut room, mut named) = (0, Vec::new());
    for (fits, _, worker) in workers {
        let count = u64::try_from(named.len()).unwrap_or(u64::MAX);
        if named.len() >= super::advice::MAX_NAMED || (room >= wanted && count >= least) {
            break;
        }
        room += u64::try_from(fits.max(1)).unwrap_or(u64::MAX);
        named.push(worker);
    }
    named
}

fn rank(book: &Book, stage: Stage, now: Millis) -> Option<Rank> {
    let waiting = waiting(book, stage)?;
    if waiting.state.waiting() == 0 {
        return None;
    }
    let state = book.job(stage.job)?;
    let objective = state.objective;
    let left = state.chains.get(usize::from(stage.step)).copied().unwrap_or_default();
    let finish = now + left;
    Some(Rank {
        is_hopeless: finish > state.seen + objective.times(LATE_FACTOR) && !waiting.step.lasting,
        is_late: finish > state.seen + objective && !waiting.step.lasting,
        priority: state.job.policy.priority,
        latest_start: (state.seen + objective).since(left),
        stage,
    })
}

fn waiting(book: &Book, stage: Stage) -> Option<Waiting<'_>> {
    let job = book.job(stage.job)?;
    let pass = job.passes.get(usize::try_from(stage.occurrence).ok()?)?;
    let state = pass.steps.get(usize::from(stage.step))?;
    let step = job.job.steps.get(usize::from(stage.step))?;
    Some(Waiting { stage, job: &job.job, step, state })
}
