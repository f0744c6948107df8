//! Open steps with tasks that can start, with what decides their order and whether they can fit.
//!
//! The list is compact and is brought up to date before each placement pass, so that a pass looks
//! up a step in the replica only if it may place some of its tasks.

use super::account::{Accounts, Arrival};
use super::lead::Leads;
use super::overrun::Overruns;
use super::wait::{Turn, Wait, Waited};
use super::{Owner, place};
use crate::clock::Millis;
use crate::contract::work::{Job, Step, StepId, Task};
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::state::StepState;
use crate::machine::capacity::Capacity;
use crate::name::Name;
use std::sync::Arc;

/// Multiple of its objective after which a job's result has no value.
pub(super) const WORTHLESS_OBJECTIVES: u64 = 3;
/// Share of the workers' processor time that late steps ranked as if they were in time may need, in
/// percent. They take room from work that can still meet its objective.
const LAST_CHANCES_PERCENT: u64 = 1;

/// Order in which waiting steps are placed, the smallest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether the job can't finish before its result loses its value.
    is_worthless: bool,
    /// Whether the job is beyond the rate of its team.
    is_beyond: bool,
    /// Whether the job can't meet its objective and has no last chance; see
    /// [`Backlog::give_last_chances`].
    is_late: bool,
    priority: u32,
    /// Whether the job's team uses more than its share of the workers.
    is_over_share: bool,
    /// Latest first turn with which the job will probably meet its objective.
    latest_turn: Millis,
    pub(super) step_id: StepId,
    /// Position in the backlog.
    pub(super) at: usize,
}

impl Rank {
    /// Returns whether the step can meet its objective and is of a higher priority than another.
    pub(super) const fn is_more_urgent(&self, other: &Self) -> bool {
        !self.is_worthless && !self.is_beyond && !self.is_late && self.priority < other.priority
    }
}

/// Work of one open step that waits and is not late, and of the steps after it.
pub(super) struct Waiting {
    pub(super) priority: u32,
    /// Whether the job is beyond the rate of its team.
    pub(super) is_beyond: bool,
    /// Time until its latest turn.
    pub(super) turn_in: Millis,
    /// Work in core milliseconds, thousandths.
    pub(super) work: u64,
}

/// An open step.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) step_id: StepId,
    /// Number of its tasks that can start.
    pub(super) startable: usize,
    /// Number of its tasks.
    pub(super) tasks: usize,
    /// What one of its tasks counts against a worker.
    pub(super) needs: Capacity,
    pub(super) is_gang: bool,
    pub(super) is_advised: bool,
    job: Arc<Job>,
    /// When the job was first seen.
    seen: Millis,
    /// Latest start with which the job meets its objective; `None` for a lasting step.
    late_after: Option<Millis>,
    /// One objective before [`Self::worthless_after`].
    last_chance_after: Option<Millis>,
    /// Latest start with which the job's result has value; `None` for a lasting step.
    worthless_after: Option<Millis>,
    latest_start: Millis,
    /// Number of steps that follow each other from this one to the end of the job.
    depth: u64,
    /// Time that the job may take beyond its estimate.
    slack: Millis,
    /// How it has waited, if it is a gang.
    wait: Wait,
}

/// The open steps of the shard.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    /// Sorted by step.
    steps: Vec<Candidate>,
    /// Steps of which a run was added or removed since the last update.
    changed: Vec<StepId>,
    /// What gangs needed from their first turn to their start.
    leads: Leads,
}

impl Backlog {
    /// Notes that a run of a step was added or removed.
    pub(super) fn mark_changed(&mut self, step_id: StepId) {
        self.changed.push(step_id);
    }

    pub(super) fn candidate(&self, at: usize) -> &Candidate {
        &self.steps[at]
    }

    /// Notes what a pass did for a waiting gang. Returns its wait if it became late or starts.
    pub(super) fn note_turn(
        &mut self,
        at: usize,
        turn: Turn,
        overruns: &Overruns,
        now: Millis,
    ) -> Option<Waited> {
        let candidate = &mut self.steps[at];
        let overrun = candidate.overrun(overruns);
        let Candidate { step_id, tasks, wait, .. } = candidate;
        let (step_id, tasks) = (*step_id, *tasks);
        let was_late = wait.late > Millis::ZERO;
        wait.late =
            candidate.late_after.map_or(Millis::ZERO, |limit| now.since(limit.since(overrun)));
        wait.add(turn, now);
        let (wait, has_started) = (*wait, turn == Turn::Started);
        if has_started {
            self.leads.record(&candidate.job.policy.queue, tasks, wait.since_first_turn());
            candidate.wait = wait.after_start();
        }
        let is_news = has_started || !was_late && wait.late > Millis::ZERO;
        is_news.then_some(Waited { step_id, tasks, has_started, wait })
    }

    /// Returns the teams of the steps with tasks that can start, once for each step.
    pub(super) fn waiting_teams(&self) -> impl Iterator<Item = &Name> {
        self.steps.iter().filter(|c| c.startable > 0).filter_map(Candidate::team)
    }

    /// Returns the waiting work that can still be in time.
    pub(super) fn waiting(
        &self,
        replica: &Replica,
        accounts: &Accounts,
        overruns: &Overruns,
        now: Millis,
    ) -> impl Iterator<Item = Waiting> {
        let startable = self.steps.iter().enumerate().filter(|(_, c)| c.startable > 0);
        startable.filter_map(move |(at, c)| {
            let rank = c.rank(at, &self.leads, accounts, overruns, now);
            let is_first = at == 0 || self.steps[at - 1].step_id.job != c.step_id.job;
            let (is_beyond, priority) = (rank.is_beyond, rank.priority);
            (!rank.is_late && !rank.is_worthless).then(|| Waiting {
                priority,
                is_beyond,
                turn_in: rank.latest_turn.since(now),
                work: c.work(replica, is_first),
            })
        })
    }

    /// Returns the steps with tasks that can start, in the order of placement. `cpu_milli` is the
    /// processor time of all workers, in thousandths of a core.
    pub(super) fn ranks(
        &self,
        cpu_milli: u64,
        accounts: &Accounts,
        overruns: &Overruns,
        now: Millis,
    ) -> Vec<Rank> {
        let startable = self.steps.iter().enumerate().filter(|(_, c)| c.startable > 0);
        let rank = |(at, c): (usize, &Candidate)| c.rank(at, &self.leads, accounts, overruns, now);
        let mut ranks: Vec<Rank> = startable.map(rank).collect();
        self.give_last_chances(&mut ranks, cpu_milli * LAST_CHANCES_PERCENT / 100, overruns, now);
        ranks.sort_unstable();
        ranks
    }

    /// Ranks late steps as if they were in time once their results lose all value within one objective,
    /// the next to lose it first: one, and further ones while `budget` is left, in thousandths of a core.
    /// While more work arrives than fits, no room is left for a wide step behind all work that can
    /// still be in time.
    fn give_last_chances(
        &self,
        ranks: &mut [Rank],
        mut budget: u64,
        overruns: &Overruns,
        now: Millis,
    ) {
        let has_last_chance = |rank: &Rank| {
            let candidate = &self.steps[rank.at];
            let overrun = candidate.overrun(overruns);
            let is_near_end =
                candidate.last_chance_after.is_some_and(|limit| now > limit.since(overrun));
            is_near_end && !rank.is_worthless && !rank.is_beyond
        };
        let mut late: Vec<&mut Rank> = ranks.iter_mut().filter(|r| has_last_chance(r)).collect();
        late.sort_unstable_by_key(|rank| (self.steps[rank.at].worthless_after, rank.step_id));
        for (i, rank) in late.into_iter().enumerate() {
            if i > 0 && budget == 0 {
                break;
            }
            rank.is_late = false;
            let Candidate { needs, startable, .. } = &self.steps[rank.at];
            let startable = u64::try_from(*startable).unwrap_or(u64::MAX);
            budget = budget.saturating_sub(needs.cpu_milli.saturating_mul(startable));
        }
    }
}

impl Candidate {
    /// Returns the team of the job.
    pub(super) fn team(&self) -> Option<&Name> {
        self.job.policy.team.as_ref()
    }

    /// Returns whether this is the job's first step.
    const fn is_first(&self) -> bool {
        self.step_id.step == 0 && self.step_id.occurrence == 0
    }

    /// Returns the arrival of the job, if the job is of a team.
    fn arrival(&self) -> Option<Arrival> {
        let (at, job) = (self.seen, self.job.id);
        self.team().map(|team| Arrival { at, job, team: team.clone() })
    }

    /// Returns the work of the tasks that can start, in core milliseconds, thousandths, and of the steps that
    /// are not open yet if this is the job's first open step.
    fn work(&self, replica: &Replica, is_first: bool) -> u64 {
        let steps = &self.job.steps;
        let estimate =
            steps.get(usize::from(self.step_id.step)).map_or(Millis::ZERO, |s| s.estimate_ms);
        let each = self.needs.cpu_milli.saturating_mul(estimate.get());
        let own = each.saturating_mul(u64::try_from(self.startable).unwrap_or(u64::MAX));
        let occurrence = usize::try_from(self.step_id.occurrence).unwrap_or(usize::MAX);
        let state = replica.job(self.step_id.job).filter(|_| is_first);
        let Some(occurrence) = state.and_then(|state| state.occurrences.get(occurrence)) else {
            return own;
        };
        let later = |(i, step): &(usize, &Step)| {
            let is_done = occurrence.steps.get(*i).is_none_or(StepState::is_done);
            !is_done && !occurrence.is_open(&self.job, *i) && !step.lasting
        };
        let later = steps.iter().enumerate().filter(later).map(|(_, step)| step.effort());
        later.fold(own, u64::saturating_add)
    }

    /// Returns how much longer than estimated the rest of the job will probably take.
    fn overrun(&self, overruns: &Overruns) -> Millis {
        overruns.expected(&self.job.policy.queue, self.depth, self.slack)
    }

    /// A wide gang needs more time from its first turn to its start, so that its turn has to come
    /// earlier than that of a narrow one with the same latest start.
    fn rank(
        &self,
        at: usize,
        leads: &Leads,
        accounts: &Accounts,
        overruns: &Overruns,
        now: Millis,
    ) -> Rank {
        let overrun = self.overrun(overruns);
        let is_after =
            |limit: Option<Millis>| limit.is_some_and(|limit| now > limit.since(overrun));
        let policy = &self.job.policy;
        let lead =
            if self.is_gang { leads.expected(&policy.queue, self.tasks) } else { Millis::ZERO };
        Rank {
            is_worthless: is_after(self.worthless_after),
            is_beyond: self.team().is_some() && accounts.is_beyond(self.job.id),
            is_late: is_after(self.late_after),
            priority: policy.priority,
            is_over_share: accounts.is_over_share(self.team()),
            latest_turn: self.latest_start.since(overrun).since(lead).max(self.seen),
            step_id: self.step_id,
            at,
        }
    }
}

impl Owner {
    /// Brings the backlog up to date with the open steps of `replica` and with the open runs, and
    /// discards the advisor's answers about steps that are closed.
    pub(super) fn update_backlog(&mut self, replica: &Replica) {
        let old = std::mem::take(&mut self.backlog.steps);
        let mut steps = Vec::with_capacity(replica.open().len());
        let mut arrivals = Vec::new();
        let mut old = old.into_iter().peekable();
        for step_id in replica.open() {
            while let Some(closed) = old.next_if(|c| c.step_id < *step_id) {
                self.queries.forget(&closed.step_id);
            }
            let known = old.next_if(|c| c.step_id == *step_id);
            let added = known.is_none();
            steps.extend(known.or_else(|| self.candidate(replica, *step_id)));
            if let Some(candidate) = steps.last().filter(|c| added && c.is_first()) {
                self.inflow.add(&candidate.job, candidate.seen);
                arrivals.extend(candidate.arrival());
            }
        }
        if !arrivals.is_empty() {
            self.accounts.judge(arrivals);
            self.accounts.forget_ended(replica);
        }
        old.for_each(|closed| self.queries.forget(&closed.step_id));
        let mut changed = std::mem::take(&mut self.backlog.changed);
        changed.sort_unstable();
        changed.dedup();
        for step_id in changed {
            if let Ok(at) = steps.binary_search_by(|c| c.step_id.cmp(&step_id)) {
                steps[at].startable = self.startable(replica, &step_id).count();
            }
        }
        self.backlog.steps = steps;
    }

    fn candidate(&self, replica: &Replica, step_id: StepId) -> Option<Candidate> {
        let state = replica.job(step_id.job)?;
        let waiting = place::waiting(replica, step_id)?;
        let left = state.chains.get(usize::from(step_id.step)).copied().unwrap_or_default();
        let latest_start = |objectives: u64| {
            let limit = (state.seen + state.objective.times(objectives)).since(left);
            (!waiting.step.lasting).then_some(limit)
        };
        Some(Candidate {
            step_id,
            startable: self.startable(replica, &step_id).count(),
            tasks: waiting.state.tasks.len(),
            needs: waiting.step.counted_needs(),
            is_gang: waiting.step.gang,
            is_advised: state.job.policy.advisor_timing.is_some(),
            job: Arc::clone(&state.job),
            seen: state.seen,
            late_after: latest_start(1),
            last_chance_after: latest_start(WORTHLESS_OBJECTIVES - 1),
            worthless_after: latest_start(WORTHLESS_OBJECTIVES),
            latest_start: (state.seen + state.objective).since(left),
            depth: state.job.depth(usize::from(step_id.step)),
            slack: state.objective.since(state.chains.iter().copied().max().unwrap_or_default()),
            wait: Wait::default(),
        })
    }

    /// Returns the waiting tasks of a step that have no open run.
    pub(super) fn startable<'a>(
        &'a self,
        replica: &'a Replica,
        step_id: &StepId,
    ) -> impl Iterator<Item = Task> + 'a {
        let step_id = *step_id;
        let state = place::waiting(replica, step_id).map(|waiting| waiting.state);
        let tasks = (0..).zip(state.into_iter().flat_map(|s| &s.tasks));
        let waiting = tasks.filter(|(_, t)| t.is_waiting());
        waiting.map(move |(index, _)| Task { step_id, index }).filter(|t| !self.is_running(t))
    }
}
